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

  void AnswerAsRelay(Outcome outcome, TransactionState state) {
    messages::RelayAnswer answer;
    answer.operation = relay_requests.back().second.operation;
    answer.outcome = static_cast<std::int32_t>(outcome);
    answer.state = static_cast<std::int32_t>(state);
    answer.ended = state == TransactionState::kIdle;
    answer.configuration_version = 1;
    proxy->OnRelayAnswer(now, kRelay, answer);
  }

  // A request of the other entry, whose operation 7 is the only one.
  void ReceiveStatement(StatementKind kind,
                        const std::string& text,
                        bool first,
                        std::int64_t version = 1) {
    messages::RelayRequest request;
    request.operation = 7;
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
    proxy->OnRelayRequest(now, kRelay, request);
  }
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
  messages::RelayAnswer answer;
  answer.operation = fixture.relay_requests.back().second.operation;
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
  messages::RelayAnswer answer;
  answer.operation = fixture.relay_requests.back().second.operation;
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

}  // namespace goldcrest::statements
