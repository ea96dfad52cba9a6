#include <catch2/catch.hpp>
#include <chrono>
#include <utility>

#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using Kind = EndpointCommand::Kind;
using std::chrono::milliseconds;

constexpr SessionId kCaller = 1;

}  // namespace

// Guards against a write that is reported as not run although it may have run,
// and against a write that is sent twice.
TEST_CASE("A write without an answer is in doubt and never repeated",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(kCaller, "strict");
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
  const ConnectionId id = fixture.AcceptConnection();

  SECTION("The connection breaks") {
    fixture.proxy->OnConnectionClosed(fixture.now, id);
  }
  SECTION("The statement times out") {
    fixture.Advance(milliseconds(999));
    CHECK(fixture.AnswerCount(kCaller) == 1);
    fixture.Advance(milliseconds(1));
  }
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kInDoubt);
  CHECK(fixture.LastAnswer(kCaller).state == TransactionState::kIdle);
  CHECK(fixture.opening_connections.empty());
}

TEST_CASE("A write that was refused by a replica goes to the new primary",
          "[statements]") {
  ProxyFixture fixture;
  fixture.OpenSession(kCaller, "strict");
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
  fixture.Reply(fixture.AcceptConnection(), {1, 5}, Outcome::kReadOnly);
  messages::PrimaryAssignment assignment;
  assignment.group = "g";
  assignment.endpoint = "r2";
  assignment.order = 7;
  fixture.proxy->OnAssignment(fixture.now, assignment);
  const ConnectionId id = fixture.AcceptConnection();
  CHECK(fixture.endpoint_of.at(id) == "r2");
  fixture.Reply(id, {2, 6});
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kDone);
}

// Guards against a primary that gets new work for as long as it drains, while
// the platform that promotes another one is down.
TEST_CASE("A draining primary gets new work for a limited time",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.SetRole("p", true, true);
  fixture.OpenSession(kCaller, "strict");
  fixture.Advance(milliseconds(5'900));
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
  fixture.Reply(fixture.AcceptConnection(), {1, 5});
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kDone);
  fixture.Advance(milliseconds(100));
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
  fixture.Advance(milliseconds(600));
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kBusy);
  CHECK(fixture.opening_connections.empty());

  SECTION("Another one is promoted") {
    fixture.SetRole("r1", true);
    fixture.SetRole("p", false, true);
  }
  SECTION("It drains no more") {
    fixture.SetRole("p", true);
  }
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
  fixture.Reply(fixture.AcceptConnection(), {2, 6});
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kDone);
}

// Guards against a group that is not served because an odd entry of another
// writer calls itself primary as well, at an address where nothing answers.
TEST_CASE("A write goes to the primary that can be reached",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.Advance(milliseconds(1));
  fixture.SetRole("odd", true);
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
  for (int i = 0; i < 20 && fixture.AnswerCount(1) < 2; ++i) {
    for (const auto& [id, target] :
         std::exchange(fixture.opening_connections, {})) {
      if (target.endpoint == "odd") {
        fixture.proxy->OnOpenFailed(fixture.now, id, Outcome::kFailed);
        continue;
      }
      fixture.proxy->OnOpened(fixture.now, id);
      fixture.Reply(id, {1, 5});
    }
    fixture.Advance(milliseconds(20));
  }
  REQUIRE(fixture.AnswerCount(1) == 2);
  CHECK(fixture.LastAnswer(1).outcome == Outcome::kDone);
}

// Guards against statements of one transaction on two connections, and against
// a commit of unknown outcome that is reported as done or refused.
TEST_CASE("A transaction keeps its connection", "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(kCaller, "own");
  fixture.SendStatement(kCaller, StatementKind::kBegin, "BEGIN");
  CHECK(fixture.LastAnswer(kCaller).state == TransactionState::kOpen);
  CHECK(fixture.opening_connections.empty());
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
  const ConnectionId id = fixture.AcceptConnection();
  CHECK(fixture.endpoint_of.at(id) == "p");
  fixture.Reply(id, {1, 5});
  fixture.Reply(id, {1, 5});
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kDone);

  SECTION("The commit is forwarded unchanged") {
    fixture.SendStatement(kCaller, StatementKind::kCommit, "COMMIT");
    CHECK(fixture.SentCommands(id).back().text == "COMMIT");
    fixture.Reply(id, {1, 6});
    CHECK(fixture.LastAnswer(kCaller).state == TransactionState::kIdle);
    CHECK(fixture.opening_connections.empty());
  }
  SECTION("A commit without an answer is in doubt") {
    fixture.SendStatement(kCaller, StatementKind::kCommit, "COMMIT");
    fixture.proxy->OnConnectionClosed(fixture.now, id);
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kInDoubt);
  }
  SECTION("A connection lost between statements aborts the transaction") {
    fixture.proxy->OnConnectionClosed(fixture.now, id);
    fixture.SendStatement(kCaller, StatementKind::kRead, "READ a");
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kAborted);
    fixture.SendStatement(kCaller, StatementKind::kCommit, "COMMIT");
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kAborted);
    CHECK(fixture.LastAnswer(kCaller).state == TransactionState::kIdle);
  }
  SECTION("A closed session rolls back its transaction") {
    fixture.proxy->OnSessionClosed(fixture.now, kCaller);
    CHECK(fixture.SentCommands(id).back().kind == Kind::kRollback);
  }
  SECTION("An idle transaction is rolled back and frees its connection") {
    fixture.Advance(milliseconds(3000));
    CHECK(fixture.SentCommands(id).back().kind == Kind::kRollback);
    fixture.SendStatement(kCaller, StatementKind::kRead, "READ a");
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kAborted);
  }
}

// Guards against statements that see the session values of another caller.
TEST_CASE("A connection gets the values of the session that uses it",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kSet, "color red");
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
  const ConnectionId id = fixture.AcceptConnection();
  REQUIRE(fixture.SentCommands(id).size() == 1);
  CHECK(fixture.SentCommands(id)[0].kind == Kind::kSet);
  CHECK(fixture.SentCommands(id)[0].value == "red");
  fixture.Reply(id, {1, 5});
  REQUIRE(fixture.SentCommands(id).size() == 2);
  CHECK(fixture.SentCommands(id)[1].text == "WRITE a b");
  fixture.Reply(id, {1, 5});

  fixture.OpenSession(2, "strict");
  fixture.SendStatement(2, StatementKind::kWrite, "WRITE c d");
  REQUIRE(fixture.SentCommands(id).size() == 3);
  CHECK(fixture.SentCommands(id)[2].kind == Kind::kReset);
  fixture.Reply(id, {1, 5});
  REQUIRE(fixture.SentCommands(id).size() == 4);
  CHECK(fixture.SentCommands(id)[3].text == "WRITE c d");
}

// Guards against a withdrawn key that is still accepted, and against a key
// whose customer changes its name.
TEST_CASE("A withdrawn key is refused from the next operation on",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(kCaller, "strict");
  fixture.table.keys.clear();
  fixture.table.customers[0].keys.clear();
  fixture.ApplyTable(2);
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kUnknownKey);
  fixture.OpenSession(2, "strict");
  CHECK(fixture.LastAnswer(2).outcome == Outcome::kUnknownKey);
  CHECK(fixture.closed_sessions == std::vector<SessionId>{2});

  SECTION("An older configuration is ignored") {
    fixture.table.keys["key"] = 0;
    fixture.ApplyTable(1);
    fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kUnknownKey);
  }
}

// Guards against a customer above its rate whose operations are all admitted
// just before their deadlines.
TEST_CASE("The newest operation waiting for a token is admitted first",
          "[statements]") {
  ProxyFixture fixture;
  fixture.table.customers.front().rate_per_second = 1;
  fixture.table.customers.front().burst = 1;
  fixture.ApplyTable(2);
  for (const SessionId id : {11, 12}) {
    fixture.OpenSession(id, "own");
    fixture.SendStatement(id, StatementKind::kBegin, "BEGIN");
    fixture.Advance(std::chrono::milliseconds(20));
  }
  CHECK(fixture.AnswerCount(11) == 1);
  CHECK(fixture.AnswerCount(12) == 1);
  quota::Holder& holder = fixture.proxy->holder();
  holder.Report(fixture.now);
  messages::ShareUpdate update;
  update.customer = fixture.table.customers.front().name;
  update.owner_term = 1;
  update.share_sequence = 1;
  update.added_micros = quota::kRequestMicros;
  update.lease_ms = 1'000;
  holder.OnUpdates(fixture.now, fixture.now, {update});
  fixture.proxy->OnShares(fixture.now);
  CHECK(fixture.AnswerCount(11) == 1);
  CHECK(fixture.AnswerCount(12) == 2);
  fixture.Advance(std::chrono::milliseconds(400));
  CHECK(fixture.LastAnswer(11).outcome == Outcome::kBusy);
}

TEST_CASE("A statement without an endpoint is refused as not run in time",
          "[statements]") {
  ProxyFixture fixture;
  fixture.SetRole("p", false);
  fixture.OpenSession(kCaller, "strict");
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
  fixture.Advance(milliseconds(499));
  CHECK(fixture.AnswerCount(kCaller) == 1);
  fixture.Advance(milliseconds(1));
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kBusy);
  CHECK(fixture.sent.empty());
}

// Guards against a planned stop that interrupts an operation.
TEST_CASE("A planned stop closes sessions between operations only",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.OpenSession(2, "strict");
  fixture.Advance(milliseconds(500));
  fixture.SendStatement(2, StatementKind::kWrite, "WRITE a b");
  fixture.proxy->BeginDrain(fixture.now);
  CHECK(fixture.closed_sessions == std::vector<SessionId>{1});
  fixture.Reply(fixture.AcceptConnection(), {1, 5});
  CHECK(fixture.LastAnswer(2).outcome == Outcome::kDone);
  fixture.Advance(milliseconds(100));
  CHECK(fixture.closed_sessions == std::vector<SessionId>{1, 2});
  CHECK(fixture.proxy->SessionCount() == 0);
}

// Guards against an entry that denies a route or a key that a newer
// configuration, which it has not received, contains.
TEST_CASE("Only a current configuration denies a database or a key",
          "[statements][guarantee]") {
  ProxyFixture fixture(milliseconds(1'500));
  const auto outcome_of = [&](SessionId id, const char* database,
                              const char* key) {
    fixture.OpenSession(id, database, key);
    return fixture.LastAnswer(id).outcome;
  };
  fixture.Advance(milliseconds(1'501));
  CHECK(outcome_of(1, "unknown", "key") == Outcome::kBusy);
  fixture.ConfirmVersion(1);
  CHECK(outcome_of(2, "unknown", "key") == Outcome::kUnknownDatabase);
  CHECK(outcome_of(3, "strict", "no key") == Outcome::kUnknownKey);
  CHECK(outcome_of(4, "strict", "key") == Outcome::kDone);

  SECTION("The last confirmation is too old") {
    fixture.Advance(milliseconds(1'501));
    CHECK(outcome_of(5, "unknown", "key") == Outcome::kBusy);
    CHECK(outcome_of(6, "strict", "no key") == Outcome::kBusy);
    CHECK(outcome_of(7, "strict", "key") == Outcome::kDone);
  }
  SECTION("A newer version is announced") {
    fixture.proxy->OnVersionAnnounced(2);
    CHECK(outcome_of(5, "unknown", "key") == Outcome::kBusy);
    fixture.ApplyTable(2);
    CHECK(outcome_of(6, "unknown", "key") == Outcome::kUnknownDatabase);
  }
  SECTION("The route of an open session is gone") {
    fixture.proxy->OnVersionAnnounced(3);
    fixture.table.routes.erase("strict");
    fixture.ApplyTable(2);
    fixture.SendStatement(4, StatementKind::kRead, "READ a");
    CHECK(fixture.LastAnswer(4).outcome == Outcome::kBusy);
    fixture.ApplyTable(3);
    fixture.SendStatement(4, StatementKind::kRead, "READ a");
    CHECK(fixture.LastAnswer(4).outcome == Outcome::kUnknownDatabase);
  }
}

// Guards against an entry that has just started and serves or refuses callers
// by a configuration that was replaced before, because a controller that had
// restarted as well offered it.
TEST_CASE("A new entry serves no caller before its configuration is confirmed",
          "[statements][guarantee]") {
  ProxyFixture fixture(milliseconds(1'500));
  fixture.table.customers.front().keys.emplace_back("withdrawn");
  fixture.table.keys["withdrawn"] = 0;
  fixture.StartEntry();
  fixture.ApplyTable(5);
  CHECK_FALSE(fixture.proxy->HasConfirmedConfiguration());
  fixture.OpenSession(1, "strict");
  fixture.OpenSession(2, "strict", "withdrawn");
  CHECK(fixture.AnswerCount(1) == 0);
  CHECK(fixture.AnswerCount(2) == 0);

  SECTION("The leader has a newer version, which withdraws a key") {
    fixture.ConfirmVersion(7);
    CHECK_FALSE(fixture.proxy->HasConfirmedConfiguration());
    CHECK(fixture.AnswerCount(1) == 0);
    fixture.table.customers.front().keys.pop_back();
    fixture.table.keys.erase("withdrawn");
    fixture.ApplyTable(7);
    CHECK(fixture.proxy->HasConfirmedConfiguration());
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kDone);
    CHECK(fixture.LastAnswer(2).outcome == Outcome::kUnknownKey);
  }
  SECTION("The leader has the same version") {
    fixture.ConfirmVersion(5);
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kDone);
    CHECK(fixture.LastAnswer(2).outcome == Outcome::kDone);
  }
  SECTION("An older word of a leader confirms nothing newer") {
    fixture.Advance(milliseconds(10));
    fixture.ConfirmVersion(7);
    fixture.proxy->OnNewestVersion(fixture.now, 5,
                                   fixture.now - milliseconds(5));
    CHECK_FALSE(fixture.proxy->HasConfirmedConfiguration());
  }
  SECTION("No leader is heard from") {
    fixture.Advance(milliseconds(1'499));
    CHECK(fixture.AnswerCount(1) == 0);
    fixture.Advance(milliseconds(1));
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kBusy);
    CHECK(fixture.LastAnswer(2).outcome == Outcome::kBusy);
    CHECK(fixture.closed_sessions == std::vector<SessionId>{1, 2});
  }
}

}  // namespace goldcrest::statements
