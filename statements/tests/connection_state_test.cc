#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <utility>

#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using Kind = EndpointCommand::Kind;
using std::chrono::milliseconds;

// Runs a read of session 1 inside a transaction of the primary. Its connection
// has been sent ROLLBACK then.
ConnectionId RunReadAtPrimary(ProxyFixture& fixture) {
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kRead, "READ a");
  const ConnectionId id = fixture.AcceptConnection();
  fixture.Reply(id, {1, 5});  // BEGIN
  fixture.Reply(id, {1, 5});
  REQUIRE(fixture.LastAnswer(1).outcome == Outcome::kDone);
  REQUIRE(fixture.SentCommands(id).back().kind == Kind::kRollback);
  return id;
}

bool WasClosed(const ProxyFixture& fixture, ConnectionId id) {
  return std::ranges::count(fixture.closed, id) > 0;
}

}  // namespace

// Guards against a write that runs in the transaction of another caller and is
// acknowledged, but never committed.
TEST_CASE("A connection is used again only once its rollback is confirmed",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  const ConnectionId id = RunReadAtPrimary(fixture);
  const std::size_t sent = fixture.SentCommands(id).size();
  fixture.OpenSession(2, "strict");
  fixture.SendStatement(2, StatementKind::kWrite, "WRITE a b");
  CHECK(fixture.SentCommands(id).size() == sent);
  CHECK(fixture.opening_connections.empty());

  SECTION("The write follows the answer to the rollback") {
    fixture.Reply(id, {1, 5});
    REQUIRE(fixture.SentCommands(id).size() == sent + 1);
    CHECK(fixture.SentCommands(id).back().text == "WRITE a b");
  }
  SECTION("A refused rollback is repeated") {
    fixture.Reply(id, {1, 5}, Outcome::kBusy);
    CHECK(fixture.SentCommands(id).size() == sent);
    fixture.Advance(milliseconds(60));
    REQUIRE(fixture.SentCommands(id).size() == sent + 1);
    CHECK(fixture.SentCommands(id).back().kind == Kind::kRollback);
    fixture.Reply(id, {1, 5});
    CHECK(fixture.SentCommands(id).back().text == "WRITE a b");
  }
  SECTION("A connection that is never rolled back is closed") {
    for (int i = 0; i < 50 && !WasClosed(fixture, id); ++i) {
      fixture.Reply(id, {1, 5}, Outcome::kBusy);
      fixture.Advance(milliseconds(60));
    }
    CHECK(WasClosed(fixture, id));
    CHECK(std::ranges::all_of(
        fixture.SentCommands(id),
        [](const auto& command) { return command.text != "WRITE a b"; }));
  }
  SECTION("A failed rollback closes the connection") {
    fixture.ReplyInState(id, TransactionState::kFailed, Outcome::kFailed);
    CHECK(WasClosed(fixture, id));
  }
  SECTION("The write opens a connection if the answer takes too long") {
    fixture.Advance(milliseconds(100));
    CHECK(fixture.opening_connections.size() == 1);
  }
}

// Guards against a connection with an open transaction after a refused COMMIT.
TEST_CASE("A refused commit leaves no transaction open on its connection",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kBegin, "BEGIN");
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
  const ConnectionId id = fixture.AcceptConnection();
  fixture.Reply(id, {1, 5});
  fixture.Reply(id, {1, 5});
  fixture.SendStatement(1, StatementKind::kCommit, "COMMIT");
  const auto state =
      GENERATE(TransactionState::kOpen, TransactionState::kFailed);
  fixture.ReplyInState(id, state, Outcome::kBusy);
  CHECK(fixture.LastAnswer(1).outcome == Outcome::kBusy);
  CHECK(fixture.SentCommands(id).back().kind == Kind::kRollback);
  fixture.ReplyInState(id, state, Outcome::kBusy);
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a c");
  CHECK(fixture.SentCommands(id).back().kind == Kind::kRollback);
}

// Guards against ROLLBACK outside a transaction, which endpoints refuse.
TEST_CASE("A refused BEGIN is rolled back only if it opened a transaction",
          "[statements]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kRead, "READ a");
  const ConnectionId id = fixture.AcceptConnection();
  const auto state = GENERATE(TransactionState::kIdle, TransactionState::kOpen,
                              TransactionState::kFailed);
  fixture.ReplyInState(id, state, Outcome::kBusy);
  const bool rolled_back =
      fixture.SentCommands(id).back().kind == Kind::kRollback;
  CHECK(rolled_back == (state != TransactionState::kIdle));
}

// Guards against statements that run outside their transaction or inside
// another one, and against a success that the endpoint's state contradicts.
TEST_CASE("A success in an unexpected transaction state closes the connection",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");

  SECTION("BEGIN has opened no transaction") {
    fixture.SendStatement(1, StatementKind::kRead, "READ a");
    const ConnectionId id = fixture.AcceptConnection();
    fixture.ReplyInState(id, TransactionState::kIdle);
    CHECK(WasClosed(fixture, id));
    CHECK(fixture.SentCommands(id).size() == 1);
    CHECK(fixture.AnswerCount(1) == 1);  // to the session's start
    fixture.Advance(milliseconds(20));
    CHECK(fixture.opening_connections.size() == 1);
  }
  SECTION("A write outside a transaction has opened one") {
    fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
    const ConnectionId id = fixture.AcceptConnection();
    fixture.ReplyInState(id, TransactionState::kOpen);
    CHECK(WasClosed(fixture, id));
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kInDoubt);
  }
  SECTION("A transaction ends before its commit") {
    fixture.SendStatement(1, StatementKind::kBegin, "BEGIN");
    fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
    const ConnectionId id = fixture.AcceptConnection();
    fixture.Reply(id, {1, 5});
    const auto state =
        GENERATE(TransactionState::kIdle, TransactionState::kFailed);
    fixture.ReplyInState(id, state);
    CHECK(WasClosed(fixture, id));
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kAborted);
    CHECK(fixture.LastAnswer(1).state == TransactionState::kFailed);
  }
  SECTION("A transaction is open after its commit") {
    fixture.SendStatement(1, StatementKind::kBegin, "BEGIN");
    fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
    const ConnectionId id = fixture.AcceptConnection();
    fixture.Reply(id, {1, 5});
    fixture.Reply(id, {1, 5});
    fixture.SendStatement(1, StatementKind::kCommit, "COMMIT");
    fixture.ReplyInState(id, TransactionState::kOpen);
    CHECK(WasClosed(fixture, id));
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kInDoubt);
  }
}

// Guards against statements that run with the session values of another caller.
TEST_CASE("A statement is sent once its session values are accepted",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kSet, "color red");
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
  const ConnectionId id = fixture.AcceptConnection();
  REQUIRE(fixture.SentCommands(id).size() == 1);
  CHECK(fixture.SentCommands(id)[0].kind == Kind::kSet);

  SECTION("An accepted value is not set again") {
    fixture.Reply(id, {1, 5});
    REQUIRE(fixture.SentCommands(id).size() == 2);
    CHECK(fixture.SentCommands(id)[1].text == "WRITE a b");
    fixture.Reply(id, {1, 5});
    fixture.SendStatement(1, StatementKind::kWrite, "WRITE a c");
    REQUIRE(fixture.SentCommands(id).size() == 3);
    CHECK(fixture.SentCommands(id)[2].text == "WRITE a c");
  }
  SECTION("A refused value is set before the next statement") {
    fixture.Reply(id, {1, 5}, Outcome::kBusy);
    CHECK(fixture.SentCommands(id).size() == 1);
    CHECK(fixture.closed.empty());
    fixture.Advance(milliseconds(100));
    REQUIRE(fixture.SentCommands(id).size() == 2);
    CHECK(fixture.SentCommands(id)[1].kind == Kind::kSet);
    CHECK(fixture.SentCommands(id)[1].value == "red");
  }
  SECTION("A refused reset leaves no values of another session") {
    fixture.Reply(id, {1, 5});
    fixture.Reply(id, {1, 5});
    fixture.OpenSession(2, "strict");
    fixture.SendStatement(2, StatementKind::kWrite, "WRITE c d");
    REQUIRE(fixture.SentCommands(id).size() == 3);
    CHECK(fixture.SentCommands(id)[2].kind == Kind::kReset);
    fixture.Reply(id, {1, 5}, Outcome::kBusy);
    CHECK(fixture.SentCommands(id).size() == 3);
    fixture.Advance(milliseconds(100));
    REQUIRE(fixture.SentCommands(id).size() == 4);
    CHECK(fixture.SentCommands(id)[3].kind == Kind::kReset);
  }
  SECTION("A value that may have been set closes the connection") {
    fixture.Reply(id, {1, 5}, Outcome::kFailed);
    CHECK(WasClosed(fixture, id));
    fixture.Advance(milliseconds(100));
    CHECK(fixture.opening_connections.size() == 1);
    CHECK(fixture.AnswerCount(1) == 2);
  }
}

TEST_CASE("A transaction whose session values are refused is rolled back",
          "[statements]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kBegin, "BEGIN");
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
  const ConnectionId id = fixture.AcceptConnection();
  fixture.Reply(id, {1, 5});
  fixture.Reply(id, {1, 5});
  fixture.SendStatement(1, StatementKind::kSet, "color red");
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a c");
  fixture.Reply(id, {1, 5}, Outcome::kBusy);
  CHECK(fixture.LastAnswer(1).outcome == Outcome::kBusy);
  CHECK(fixture.LastAnswer(1).state == TransactionState::kFailed);
  CHECK(fixture.SentCommands(id).back().kind == Kind::kRollback);
}

// Guards against an unknown name or another shape under a name that was
// accepted for preparing.
TEST_CASE("A refused PREPARE is repeated before the next EXECUTE",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kPrepare, "s q2c");
  const bool transaction = GENERATE(false, true);
  if (transaction)
    fixture.SendStatement(1, StatementKind::kBegin, "BEGIN");
  fixture.SendStatement(1, StatementKind::kExecute, "s a");
  const ConnectionId id = fixture.AcceptConnection();
  fixture.Reply(id, {1, 5});  // BEGIN, sent for a single read as well
  REQUIRE(fixture.SentCommands(id).size() == 3);
  CHECK(fixture.SentCommands(id)[1].kind == Kind::kPrepare);
  CHECK(fixture.SentCommands(id)[2].kind == Kind::kExecute);
  const std::size_t answers = fixture.AnswerCount(1);
  fixture.Reply(id, {1, 5}, Outcome::kBusy);
  fixture.Reply(id, {1, 5}, Outcome::kUnknownPrepared);
  CHECK(fixture.AnswerCount(1) == answers);
  CHECK(fixture.closed.empty());
  fixture.Reply(id, {1, 5});  // ROLLBACK
  fixture.Advance(milliseconds(100));
  fixture.Reply(id, {1, 5});  // BEGIN
  CHECK(fixture.SentCommands(id).end()[-2].kind == Kind::kPrepare);
  CHECK(fixture.SentCommands(id).back().kind == Kind::kExecute);
}

TEST_CASE("A caller is never told that its prepared statement is unknown",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kPrepare, "s q2c");
  fixture.SendStatement(1, StatementKind::kBegin, "BEGIN");
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
  const ConnectionId id = fixture.AcceptConnection();
  fixture.Reply(id, {1, 5});
  fixture.Reply(id, {1, 5});
  fixture.SendStatement(1, StatementKind::kExecute, "s a");
  fixture.Reply(id, {1, 5}, Outcome::kBusy);
  fixture.Reply(id, {1, 5}, Outcome::kUnknownPrepared);
  CHECK(fixture.LastAnswer(1).outcome == Outcome::kAborted);
}

// Guards against an entry that never opens a connection to an endpoint again,
// because the answers to its first attempts were lost.
TEST_CASE("A connection attempt without an answer is given up",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  const auto write = [&](SessionId id) {
    fixture.OpenSession(id, "strict");
    fixture.SendStatement(id, StatementKind::kWrite, "WRITE a b");
  };
  write(1);
  write(2);
  write(3);
  REQUIRE(fixture.opening_connections.size() == 2);
  const auto unanswered = std::exchange(fixture.opening_connections, {});
  fixture.Advance(milliseconds(1'480));
  CHECK(fixture.closed.empty());
  write(4);
  CHECK(fixture.opening_connections.empty());
  fixture.Advance(milliseconds(20));
  for (const auto& [id, target] : unanswered)
    CHECK(WasClosed(fixture, id));
  fixture.Advance(milliseconds(100));
  fixture.Reply(fixture.AcceptConnection(), {1, 5});
  CHECK(fixture.LastAnswer(4).outcome == Outcome::kDone);
}

}  // namespace goldcrest::statements
