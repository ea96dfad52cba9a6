#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>

#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using Kind = EndpointCommand::Kind;
using std::chrono::milliseconds;

constexpr SessionId kCaller = 1;

// Withdraws the callers' key, in one of the ways in which a key stops working.
void WithdrawKey(ProxyFixture& fixture, std::int64_t version = 2) {
  fixture.table.keys.erase("key");
  fixture.table.customers[0].keys.clear();
  fixture.table.customers[0].keys.emplace_back("other");
  fixture.table.keys["other"] = 0;
  fixture.ApplyTable(version);
}

// Begins a transaction and runs its first statement.
ConnectionId BeginTransaction(ProxyFixture& fixture,
                              StatementKind begin = StatementKind::kBegin,
                              StatementKind first = StatementKind::kWrite) {
  fixture.OpenSession(kCaller, "own");
  fixture.SendStatement(kCaller, begin, "BEGIN");
  fixture.SendStatement(kCaller, first, "a b");
  const ConnectionId id = fixture.AcceptConnection();
  fixture.Reply(id, {1, 5});  // BEGIN
  fixture.Reply(id, {1, 5});
  REQUIRE(fixture.LastAnswer(kCaller).outcome == Outcome::kDone);
  return id;
}

void CheckEnded(ProxyFixture& fixture, ConnectionId id) {
  CHECK(fixture.SentCommands(id).back().kind == Kind::kRollback);
  fixture.Reply(id, {1, 5});
  const std::size_t sent = fixture.SentCommands(id).size();
  SECTION("Its next statement is aborted") {
    fixture.SendStatement(kCaller, StatementKind::kRead, "READ a");
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kAborted);
    fixture.SendStatement(kCaller, StatementKind::kCommit, "COMMIT");
  }
  SECTION("Only its commit was to come") {
    fixture.SendStatement(kCaller, StatementKind::kCommit, "COMMIT");
  }
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kAborted);
  CHECK(fixture.LastAnswer(kCaller).state == TransactionState::kIdle);
  CHECK(fixture.SentCommands(id).size() == sent);
  CHECK(fixture.opening_connections.empty());
}

}  // namespace

// Guards against a withdrawn key that goes on running statements, and commits,
// in a transaction that was open when the key was withdrawn.
TEST_CASE("A withdrawn key ends its open transaction at once",
          "[statements][guarantee]") {
  ProxyFixture fixture;

  SECTION("Its customer keeps another key") {
    const ConnectionId id = BeginTransaction(fixture);
    WithdrawKey(fixture);
    CheckEnded(fixture, id);
  }
  SECTION("Its customer is removed") {
    const ConnectionId id = BeginTransaction(fixture);
    fixture.table.keys.clear();
    fixture.table.customers.clear();
    fixture.ApplyTable(2);
    CheckEnded(fixture, id);
  }
  SECTION("It belongs to another customer now") {
    const ConnectionId id = BeginTransaction(fixture);
    fixture.table.customers[0].keys.clear();
    fixture.table.customers.push_back({"successor", {"key"}, 1000, 1000});
    fixture.table.keys["key"] = 1;
    fixture.ApplyTable(2);
    CheckEnded(fixture, id);
  }
  SECTION("The transaction only reads") {
    fixture.ConfirmPosition({1, 5});
    const ConnectionId id = BeginTransaction(
        fixture, StatementKind::kBeginReadOnly, StatementKind::kRead);
    WithdrawKey(fixture);
    CheckEnded(fixture, id);
  }
}

TEST_CASE("A withdrawn key ends a transaction whose statement is under way",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  const ConnectionId id = BeginTransaction(fixture);
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a c");
  WithdrawKey(fixture);
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kAborted);
  CHECK(fixture.LastAnswer(kCaller).state == TransactionState::kFailed);
  fixture.SendStatement(kCaller, StatementKind::kCommit, "COMMIT");
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kAborted);
  CHECK(fixture.LastAnswer(kCaller).state == TransactionState::kIdle);
  CHECK(fixture.SentCommands(id).back().text == "WRITE a c");
  fixture.Reply(id, {1, 5});
  CHECK(fixture.SentCommands(id).back().kind == Kind::kRollback);
}

// Guards against operations that start after the withdrawal because they had
// been accepted before.
TEST_CASE("A withdrawn key refuses what has not been sent",
          "[statements][guarantee]") {
  ProxyFixture fixture;

  SECTION("A statement waits for a primary") {
    fixture.SetRole("p", false);
    fixture.OpenSession(kCaller, "strict");
    fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
    WithdrawKey(fixture);
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kUnknownKey);
    fixture.SetRole("p", true);
    fixture.Advance(milliseconds(100));
    CHECK(fixture.opening_connections.empty());
  }
  SECTION("A commit of an empty transaction waits for a primary") {
    fixture.SetRole("p", false);
    fixture.OpenSession(kCaller, "strict");
    fixture.SendStatement(kCaller, StatementKind::kBegin, "BEGIN");
    fixture.SendStatement(kCaller, StatementKind::kCommit, "COMMIT");
    WithdrawKey(fixture);
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kAborted);
    CHECK(fixture.LastAnswer(kCaller).state == TransactionState::kIdle);
  }
  SECTION("A read waits for its transaction") {
    fixture.OpenSession(kCaller, "strict");
    fixture.SendStatement(kCaller, StatementKind::kRead, "READ a");
    const ConnectionId id = fixture.AcceptConnection();
    WithdrawKey(fixture);
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kUnknownKey);
    fixture.Reply(id, {1, 5});  // BEGIN
    CHECK(fixture.SentCommands(id).back().kind == Kind::kRollback);
  }
  SECTION("An operation waits for a token") {
    fixture.table.customers[0].rate_per_second = 1;
    fixture.table.customers[0].burst = 1;
    fixture.ApplyTable(2);
    fixture.OpenSession(kCaller, "strict");
    const auto kind = GENERATE(StatementKind::kWrite, StatementKind::kBegin);
    fixture.SendStatement(kCaller, kind, "a b");
    CHECK(fixture.AnswerCount(kCaller) == 1);  // to the session's start
    WithdrawKey(fixture, 3);
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kUnknownKey);
    CHECK(fixture.LastAnswer(kCaller).state == TransactionState::kIdle);
  }
  SECTION("A refused statement is not repeated") {
    fixture.OpenSession(kCaller, "strict");
    fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
    const ConnectionId id = fixture.AcceptConnection();
    WithdrawKey(fixture);
    CHECK(fixture.AnswerCount(kCaller) == 1);
    fixture.Reply(id, {1, 5}, Outcome::kBusy);
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kBusy);
    fixture.Advance(milliseconds(100));
    CHECK(fixture.SentCommands(id).size() == 1);
  }
}

// Guards against a caller that is told that nothing was kept, although the
// endpoint has committed.
TEST_CASE("What was sent before its key was withdrawn keeps its outcome",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  std::optional<ConnectionId> id;
  SECTION("A commit") {
    id = BeginTransaction(fixture);
    fixture.SendStatement(kCaller, StatementKind::kCommit, "COMMIT");
  }
  SECTION("A write outside a transaction") {
    fixture.OpenSession(kCaller, "own");
    fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
    id = fixture.AcceptConnection();
  }
  const std::size_t answers = fixture.AnswerCount(kCaller);
  WithdrawKey(fixture);
  CHECK(fixture.AnswerCount(kCaller) == answers);
  fixture.Reply(*id, {1, 6});
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kDone);
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a c");
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kUnknownKey);
}

TEST_CASE("A transaction outlives changes that leave its key",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.table.customers[0].keys.emplace_back("other");
  fixture.table.keys["other"] = 0;
  fixture.ApplyTable(2);
  const ConnectionId id = BeginTransaction(fixture);
  bool storm = false;

  SECTION("Another key is withdrawn") {
    fixture.table.customers[0].keys.pop_back();
    fixture.table.keys.erase("other");
  }
  SECTION("Its route is removed") {
    fixture.table.routes.erase("own");
  }
  SECTION("Its route leads to another group") {
    fixture.table.routes["own"].group.push_back('h');
  }
  SECTION("Limits change") {
    fixture.table.customers[0].rate_per_second = 1;
  }
  SECTION("Customers are reordered") {
    fixture.table.customers.insert(fixture.table.customers.begin(),
                                   {"first", {"new"}, 1, 1});
    fixture.table.keys = {{"new", 0}, {"key", 1}, {"other", 1}};
  }
  SECTION("Many versions follow each other") {
    storm = true;
  }
  for (std::int64_t version = 3; version < (storm ? 63 : 4); ++version)
    fixture.ApplyTable(version);
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a c");
  fixture.Reply(id, {1, 5});
  fixture.SendStatement(kCaller, StatementKind::kCommit, "COMMIT");
  fixture.Reply(id, {1, 6});
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kDone);
  CHECK(fixture.closed.empty());
}

// Guards against a key that works for as long as its transaction lasts at an
// entry that does not learn of the withdrawal.
TEST_CASE("A transaction ends when its key can't be confirmed any more",
          "[statements][guarantee]") {
  ProxyFixture fixture(Duration::max(), milliseconds(9'000));
  const ConnectionId id = BeginTransaction(fixture);
  const auto continue_until = [&](Time end) {
    while (fixture.now < end) {
      fixture.Advance(milliseconds(500));
      fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
      if (fixture.SentCommands(id).back().text == "WRITE a b")
        fixture.Reply(id, {1, 5});
    }
  };
  const Time start = fixture.now;
  continue_until(start + milliseconds(5'000));
  fixture.ConfirmVersion(1);
  continue_until(start + milliseconds(13'500));
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kDone);
  fixture.Advance(milliseconds(500));
  CHECK(fixture.SentCommands(id).back().kind == Kind::kRollback);
  fixture.SendStatement(kCaller, StatementKind::kCommit, "COMMIT");
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kAborted);
}

}  // namespace goldcrest::statements
