// Operations that an entry hands to another entry, and those that it runs for
// others. The test plays the other entry.

#include <catch2/catch.hpp>
#include <chrono>

#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;

constexpr const char* kRelay = "relay:1";

// An entry of a fleet in which an entry's part of the connections is small.
class RelayFixture : public ProxyFixture {
 public:
  RelayFixture() {
    proxy->OnEntryCount(100);
    messages::RelayInstance relay;
    relay.instance = kRelay;
    relay.zone = "z1";
    relay.available = true;
    proxy->OnRelay(relay);
    proxy->OnRelayLink(now, kRelay, true);
  }

  messages::RelayAnswer AnswerToLastRequest() const {
    const messages::RelayRequest& request = relay_requests.back().second;
    messages::RelayAnswer answer;
    answer.process = request.process;
    answer.operation = request.operation;
    answer.number = request.number;
    return answer;
  }

  void AnswerAsRelay(Outcome outcome, TransactionState state) {
    messages::RelayAnswer answer = AnswerToLastRequest();
    answer.outcome = static_cast<std::int32_t>(outcome);
    answer.state = static_cast<std::int32_t>(state);
    answer.ended = state == TransactionState::kIdle;
    answer.configuration_version = 1;
    proxy->OnRelayAnswer(now, kRelay, answer);
  }

  // A request of the other entry, whose operation 7 is the only one. A first
  // statement has the number 1, each other one the next.
  void ReceiveStatement(StatementKind kind,
                        const std::string& text,
                        bool first,
                        std::int64_t version = 1) {
    messages::RelayRequest request;
    request.process = process;
    request.operation = 7;
    statement_number = first ? 1 : statement_number + 1;
    request.number = statement_number;
    if (first) {
      messages::RelayedSession session;
      session.database = "own";
      session.key = "key";
      session.configuration_version = version;
      request.__set_session(session);
    }
    messages::RelayedStatement statement;
    statement.kind = static_cast<std::int32_t>(kind);
    statement.id = "remote";
    statement.text = text;
    statement.writes = kind == StatementKind::kWrite;
    request.__set_statement(statement);
    last_request = request;
    proxy->OnRelayRequest(now, kRelay, request);
  }

  std::int64_t process = 50;  // of the other entry
  std::int32_t statement_number = 0;
  messages::RelayRequest last_request;
};

}  // namespace

TEST_CASE("An operation runs on the relay and ends with its answer",
          "[statements]") {
  RelayFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a 1");
  REQUIRE(fixture.relay_requests.size() == 1);
  CHECK(fixture.relay_requests.back().first == kRelay);
  CHECK(fixture.relay_requests.back().second.statement.text == "WRITE a 1");
  CHECK(fixture.opening_connections.empty());
  fixture.AnswerAsRelay(Outcome::kDone, TransactionState::kIdle);
  CHECK(fixture.LastAnswer(1).outcome == Outcome::kDone);
}

TEST_CASE("A transaction stays on its relay, with the values set inside it",
          "[statements]") {
  RelayFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kBegin, "BEGIN");
  fixture.AnswerAsRelay(Outcome::kDone, TransactionState::kOpen);
  CHECK(fixture.LastAnswer(1).state == TransactionState::kOpen);
  fixture.SendStatement(1, StatementKind::kSet, "name value");
  REQUIRE(fixture.relay_requests.size() == 2);
  fixture.AnswerAsRelay(Outcome::kDone, TransactionState::kOpen);
  fixture.SendStatement(1, StatementKind::kCommit, "COMMIT");
  CHECK(fixture.relay_requests.back().second.operation ==
        fixture.relay_requests.front().second.operation);
  fixture.AnswerAsRelay(Outcome::kDone, TransactionState::kIdle);
  CHECK(fixture.AnswerCount(1) == 4);  // with the start of the session
}

// Guards against a write that runs twice, or is reported as not run, when the
// relay is lost after it was sent.
TEST_CASE("What a lost relay may have run is not run again", "[statements]") {
  RelayFixture fixture;
  SECTION("A write is in doubt") {
    fixture.OpenSession(1, "strict");
    fixture.SendStatement(1, StatementKind::kWrite, "WRITE a 1");
    fixture.proxy->OnRelayLink(fixture.now, kRelay, false);
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kInDoubt);
  }
  SECTION("A commit is in doubt") {
    fixture.OpenSession(1, "strict");
    fixture.SendStatement(1, StatementKind::kBegin, "BEGIN");
    fixture.AnswerAsRelay(Outcome::kDone, TransactionState::kOpen);
    fixture.SendStatement(1, StatementKind::kCommit, "COMMIT");
    fixture.proxy->OnRelayLink(fixture.now, kRelay, false);
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kInDoubt);
  }
  SECTION("A transaction without a statement under way is aborted") {
    fixture.OpenSession(1, "strict");
    fixture.SendStatement(1, StatementKind::kBegin, "BEGIN");
    fixture.AnswerAsRelay(Outcome::kDone, TransactionState::kOpen);
    fixture.proxy->OnRelayLink(fixture.now, kRelay, false);
    fixture.SendStatement(1, StatementKind::kWrite, "WRITE a 1");
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kAborted);
  }
  SECTION("A read runs here") {
    fixture.OpenSession(1, "strict");
    fixture.SendStatement(1, StatementKind::kRead, "READ a");
    fixture.proxy->OnRelayLink(fixture.now, kRelay, false);
    CHECK(fixture.opening_connections.size() == 1);
  }
}

TEST_CASE("A frozen relay holds up no read for long", "[statements]") {
  RelayFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kRead, "READ a");
  fixture.Advance(milliseconds(250));
  CHECK(fixture.relay_requests.back().second.operation == 0);  // a probe
  fixture.Advance(milliseconds(240));
  CHECK(fixture.opening_connections.empty());
  fixture.Advance(milliseconds(20));
  // The relay is told to abandon the read, and it is too late to run it again.
  CHECK(fixture.relay_requests.back().second.abandoned);
  CHECK(fixture.LastAnswer(1).outcome == Outcome::kTimedOut);
  fixture.SendStatement(1, StatementKind::kRead, "READ a");
  CHECK(fixture.opening_connections.size() == 1);
}

TEST_CASE("A declined operation runs here", "[statements]") {
  RelayFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a 1");
  messages::RelayAnswer answer = fixture.AnswerToLastRequest();
  answer.declined = true;
  fixture.proxy->OnRelayAnswer(fixture.now, kRelay, answer);
  CHECK(fixture.opening_connections.size() == 1);
  CHECK(fixture.AnswerCount(1) == 1);  // the start of the session only
}

// Guards against a caller that sees an older configuration after the effect of
// a newer one.
TEST_CASE("An entry does not go back behind its relay's configuration",
          "[statements]") {
  RelayFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a 1");
  messages::RelayAnswer answer = fixture.AnswerToLastRequest();
  answer.ended = true;
  answer.configuration_version = 2;
  fixture.proxy->OnRelayAnswer(fixture.now, kRelay, answer);
  fixture.proxy->OnRelayLink(fixture.now, kRelay, false);
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a 1");
  CHECK(fixture.LastAnswer(1).outcome == Outcome::kBusy);
  fixture.ApplyTable(2);
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a 1");
  CHECK(fixture.opening_connections.size() == 1);
}

TEST_CASE("A relay runs another entry's operation", "[statements]") {
  RelayFixture fixture;
  SECTION("It answers and forgets the operation") {
    fixture.ReceiveStatement(StatementKind::kWrite, "WRITE a 1", true);
    const ConnectionId id = fixture.AcceptConnection();
    fixture.Reply(id, LogPosition{1, 5});
    REQUIRE(fixture.relay_answers.size() == 1);
    CHECK(fixture.relay_answers.back().second.ended);
    CHECK(fixture.relay_answers.back().second.last_commit_number == 5);
    CHECK(fixture.proxy->SessionCount() == 0);
  }
  SECTION("It declines what it does not know the configuration for") {
    fixture.ReceiveStatement(StatementKind::kWrite, "WRITE a 1", true, 2);
    CHECK(fixture.relay_answers.back().second.declined);
    CHECK(fixture.opening_connections.empty());
  }
  SECTION("It declines during a planned stop") {
    fixture.proxy->BeginDrain(fixture.now);
    fixture.ReceiveStatement(StatementKind::kWrite, "WRITE a 1", true);
    CHECK(fixture.relay_answers.back().second.declined);
  }
  SECTION("It rolls back when the other entry is lost") {
    fixture.ReceiveStatement(StatementKind::kBegin, "BEGIN", true);
    fixture.ReceiveStatement(StatementKind::kWrite, "WRITE a 1", false);
    const ConnectionId id = fixture.AcceptConnection();
    fixture.Reply(id, LogPosition{1, 4});
    fixture.Reply(id, LogPosition{1, 4});
    fixture.proxy->OnRelayLink(fixture.now, kRelay, false);
    CHECK(fixture.proxy->SessionCount() == 0);
    CHECK(fixture.SentCommands(id).back().kind ==
          EndpointCommand::Kind::kRollback);
  }
  SECTION("It aborts a transaction that it does not know") {
    fixture.ReceiveStatement(StatementKind::kCommit, "COMMIT", false);
    REQUIRE(fixture.relay_answers.size() == 1);
    CHECK(fixture.relay_answers.back().second.outcome ==
          static_cast<std::int32_t>(Outcome::kAborted));
    CHECK(fixture.relay_answers.back().second.ended);
  }
  SECTION("A statement of an unknown kind has no effect") {
    messages::RelayRequest request;
    request.operation = 8;
    request.__set_session({});
    messages::RelayedStatement statement;
    statement.kind = 99;
    request.__set_statement(statement);
    fixture.proxy->OnRelayRequest(fixture.now, kRelay, request);
    CHECK(fixture.proxy->SessionCount() == 0);
  }
}

// Guards against a statement that runs in the transaction of another caller: an
// entry that restarts numbers its operations from 1 again.
TEST_CASE("A restarted entry's operation continues no earlier transaction",
          "[statements][guarantee]") {
  RelayFixture fixture;
  fixture.ReceiveStatement(StatementKind::kBegin, "BEGIN", true);
  fixture.ReceiveStatement(StatementKind::kWrite, "WRITE a 1", false);
  const ConnectionId earlier = fixture.AcceptConnection();
  fixture.Reply(earlier, LogPosition{1, 4});
  fixture.Reply(earlier, LogPosition{1, 4});
  const messages::RelayRequest late = fixture.last_request;
  fixture.process = 51;
  fixture.ReceiveStatement(StatementKind::kWrite, "WRITE b 2", true);

  SECTION("The earlier transaction is rolled back, and the operation runs") {
    CHECK(fixture.SentCommands(earlier).back().kind ==
          EndpointCommand::Kind::kRollback);
    fixture.Reply(earlier, LogPosition{1, 4});
    REQUIRE(fixture.SentCommands(earlier).back().text == "WRITE b 2");
    fixture.Reply(earlier, LogPosition{1, 5});
    CHECK(fixture.relay_answers.back().second.process == 51);
    CHECK(fixture.relay_answers.back().second.ended);
    CHECK(fixture.proxy->SessionCount() == 0);
  }
  SECTION("A late statement of the earlier process has no effect") {
    const std::size_t answers = fixture.relay_answers.size();
    fixture.proxy->OnRelayRequest(fixture.now, kRelay, late);
    CHECK(fixture.relay_answers.size() == answers);
    CHECK(fixture.proxy->SessionCount() == 1);
  }
}

// Guards against an answer that reaches another caller than the one that asked:
// a restarted entry has given the number of the operation anew.
TEST_CASE("An answer to an earlier process of the entry reaches no caller",
          "[statements][guarantee]") {
  RelayFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a 1");
  const std::size_t answers = fixture.AnswerCount(1);
  messages::RelayAnswer answer = fixture.AnswerToLastRequest();
  answer.ended = true;
  SECTION("To another process") {
    ++answer.process;
  }
  SECTION("To another statement") {
    ++answer.number;
  }
  fixture.proxy->OnRelayAnswer(fixture.now, kRelay, answer);
  CHECK(fixture.AnswerCount(1) == answers);
}

// Guards against writes that run twice.
TEST_CASE("A statement that arrives twice runs once",
          "[statements][guarantee]") {
  RelayFixture fixture;
  SECTION("Of an open transaction") {
    fixture.ReceiveStatement(StatementKind::kBegin, "BEGIN", true);
    fixture.ReceiveStatement(StatementKind::kWrite, "WRITE a 1", false);
    const ConnectionId id = fixture.AcceptConnection();
    fixture.Reply(id, LogPosition{1, 4});
    fixture.Reply(id, LogPosition{1, 4});
    const std::size_t sent = fixture.SentCommands(id).size();
    fixture.proxy->OnRelayRequest(fixture.now, kRelay, fixture.last_request);
    CHECK(fixture.SentCommands(id).size() == sent);
  }
  SECTION("Of an operation that has ended") {
    fixture.ReceiveStatement(StatementKind::kWrite, "WRITE a 1", true);
    const ConnectionId id = fixture.AcceptConnection();
    fixture.Reply(id, LogPosition{1, 5});
    fixture.proxy->OnRelayRequest(fixture.now, kRelay, fixture.last_request);
    CHECK(fixture.proxy->SessionCount() == 0);
    CHECK(fixture.opening_connections.empty());
  }
}

// Guards against a commit without a statement that its caller relies on.
TEST_CASE("A transaction that lacks a statement is rolled back",
          "[statements][guarantee]") {
  RelayFixture fixture;
  fixture.ReceiveStatement(StatementKind::kBegin, "BEGIN", true);
  ++fixture.statement_number;
  fixture.ReceiveStatement(StatementKind::kCommit, "COMMIT", false);
  CHECK(fixture.relay_answers.back().second.outcome ==
        static_cast<std::int32_t>(Outcome::kAborted));
  CHECK(fixture.proxy->SessionCount() == 0);
  CHECK(fixture.opening_connections.empty());
}

}  // namespace goldcrest::statements
