#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;

constexpr SessionId kCaller = 1;

// Sends a read outside a transaction; returns its connection.
ConnectionId SendRead(ProxyFixture& fixture) {
  fixture.ConfirmPosition({1, 5});
  fixture.OpenSession(kCaller, "stale");
  fixture.SendStatement(kCaller, StatementKind::kRead, "READ a");
  return fixture.AcceptConnection();
}

}  // namespace

// Guards against values and names of a session that are kept without a bound.
TEST_CASE("Values and prepared names beyond their bound are refused",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(kCaller, "stale");
  const StatementKind kind =
      GENERATE(StatementKind::kSet, StatementKind::kPrepare);
  const auto add = [&](const std::string& text) {
    fixture.SendStatement(kCaller, kind, text);
    return fixture.LastAnswer(kCaller).outcome;
  };
  SECTION("By their length") {
    CHECK(add("a " + std::string(40'000, 'x')) == Outcome::kDone);
    CHECK(add("b " + std::string(20'000, 'x')) == Outcome::kTooLarge);
    CHECK(add("a " + std::string(20'000, 'x')) == Outcome::kDone);
    CHECK(add("b " + std::string(20'000, 'x')) == Outcome::kDone);
  }
  SECTION("By their number") {
    for (const char* text : {"a 1", "b 1", "c 1", "d 1", "e 1", "e 2"})
      CHECK(add(text) == Outcome::kDone);
    CHECK(add("f 1") == Outcome::kTooLarge);
  }
  CHECK(fixture.proxy->MemoryOf(kCaller).total_bytes > 1'000);
}

// Guards against statements that are run for a caller that reads no answers.
TEST_CASE("A queued statement waits while its caller's output is full",
          "[statements]") {
  ProxyFixture fixture;
  const ConnectionId id = SendRead(fixture);
  fixture.SendStatement(kCaller, StatementKind::kSet, "a 1");
  CHECK(fixture.proxy->MemoryOf(kCaller).queued_bytes > 0);
  fixture.full_outputs.insert(kCaller);
  fixture.Reply(id, {1, 5});
  CHECK(fixture.AnswerCount(kCaller) == 2);
  fixture.full_outputs.clear();
  fixture.proxy->OnOutputRoom(fixture.now, kCaller);
  CHECK(fixture.AnswerCount(kCaller) == 3);
  CHECK(fixture.proxy->MemoryOf(kCaller).queued_bytes == 0);
}

// Guards against rows that reach a caller twice, and against a long answer that
// is cut by the timeout of its statement.
TEST_CASE("A statement whose rows were passed on is not repeated",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  const ConnectionId id = SendRead(fixture);
  for (int i = 0; i < 5; ++i) {
    fixture.Advance(milliseconds(300));
    CHECK(fixture.proxy->OnRows(fixture.now, id, {"row"}) == kCaller);
  }
  CHECK(fixture.passed_rows[kCaller] == 5);
  CHECK(fixture.AnswerCount(kCaller) == 1);
  SECTION("The connection breaks") {
    fixture.proxy->OnConnectionClosed(fixture.now, id);
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kTimedOut);
  }
  SECTION("No more rows come") {
    fixture.Advance(milliseconds(1'000));
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kTimedOut);
    CHECK(fixture.proxy->OnRows(fixture.now, id, {"row"}) == 0);
  }
  CHECK(fixture.AnswerCount(kCaller) == 2);
  CHECK(fixture.opening_connections.empty());
}

// Guards against an idle connection that keeps the long values of a session.
TEST_CASE("A connection with long session values is not kept", "[statements]") {
  ProxyFixture fixture;
  fixture.OpenSession(kCaller, "stale");
  const std::size_t size = GENERATE(100U, 40'000U);
  fixture.SendStatement(kCaller, StatementKind::kSet,
                        "a " + std::string(size, 'x'));
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
  const ConnectionId id = fixture.AcceptConnection();
  fixture.Reply(id, {1, 1});
  CHECK(fixture.closed.empty());
  fixture.Reply(id, {1, 1});
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kDone);
  CHECK(fixture.closed.empty() == (size == 100));
}

}  // namespace goldcrest::statements
