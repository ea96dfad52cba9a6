#include <catch2/catch.hpp>
#include <chrono>

#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using Kind = EndpointCommand::Kind;
using std::chrono::milliseconds;

constexpr SessionId kCaller = 1;

}  // namespace

// Guards against a write that is said not to have run though it may have, and
// against one that is sent twice.
TEST_CASE("A write without an answer is in doubt and never repeated",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(kCaller, "strict");
  fixture.Say(kCaller, StatementKind::kWrite, "WRITE a b");
  const ConnectionId id = fixture.AcceptOpening();

  SECTION("The connection breaks") {
    fixture.proxy->OnConnectionClosed(fixture.now, id);
  }
  SECTION("The statement's time is over") {
    fixture.Advance(milliseconds(999));
    CHECK(fixture.AnswerCount(kCaller) == 1);
    fixture.Advance(milliseconds(1));
  }
  CHECK(fixture.Last(kCaller).outcome == Outcome::kInDoubt);
  CHECK(fixture.Last(kCaller).state == TransactionState::kIdle);
  CHECK(fixture.opening.empty());
}

TEST_CASE("A write that was refused by a replica goes to the new primary",
          "[statements]") {
  ProxyFixture fixture;
  fixture.OpenSession(kCaller, "strict");
  fixture.Say(kCaller, StatementKind::kWrite, "WRITE a b");
  fixture.Reply(fixture.AcceptOpening(), {1, 5}, Outcome::kReadOnly);
  messages::PrimaryAssignment assignment;
  assignment.group = "g";
  assignment.endpoint = "r2";
  assignment.order = 7;
  fixture.proxy->OnAssignment(fixture.now, assignment);
  const ConnectionId id = fixture.AcceptOpening();
  CHECK(fixture.endpoint_of.at(id) == "r2");
  fixture.Reply(id, {2, 6});
  CHECK(fixture.Last(kCaller).outcome == Outcome::kDone);
}

// Guards against statements of one transaction on two connections, and against
// a commit that is reported as done or refused when it is neither.
TEST_CASE("A transaction keeps its connection", "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(kCaller, "own");
  fixture.Say(kCaller, StatementKind::kBegin, "BEGIN");
  CHECK(fixture.Last(kCaller).state == TransactionState::kOpen);
  CHECK(fixture.opening.empty());
  fixture.Say(kCaller, StatementKind::kWrite, "WRITE a b");
  const ConnectionId id = fixture.AcceptOpening();
  CHECK(fixture.endpoint_of.at(id) == "p");
  fixture.Reply(id, {1, 5});
  fixture.Reply(id, {1, 5});
  CHECK(fixture.Last(kCaller).outcome == Outcome::kDone);

  SECTION("The commit is passed on unchanged") {
    fixture.Say(kCaller, StatementKind::kCommit, "COMMIT");
    CHECK(fixture.Sent(id).back().text == "COMMIT");
    fixture.Reply(id, {1, 6});
    CHECK(fixture.Last(kCaller).state == TransactionState::kIdle);
    CHECK(fixture.opening.empty());
  }
  SECTION("A commit without an answer is in doubt") {
    fixture.Say(kCaller, StatementKind::kCommit, "COMMIT");
    fixture.proxy->OnConnectionClosed(fixture.now, id);
    CHECK(fixture.Last(kCaller).outcome == Outcome::kInDoubt);
  }
  SECTION("A connection lost between statements aborts it") {
    fixture.proxy->OnConnectionClosed(fixture.now, id);
    fixture.Say(kCaller, StatementKind::kRead, "READ a");
    CHECK(fixture.Last(kCaller).outcome == Outcome::kAborted);
    fixture.Say(kCaller, StatementKind::kCommit, "COMMIT");
    CHECK(fixture.Last(kCaller).outcome == Outcome::kAborted);
    CHECK(fixture.Last(kCaller).state == TransactionState::kIdle);
  }
  SECTION("A caller that leaves has it rolled back") {
    fixture.proxy->OnSessionClosed(fixture.now, kCaller);
    CHECK(fixture.Sent(id).back().kind == Kind::kRollback);
  }
  SECTION("One that idles is ended, and its connection is free") {
    fixture.Advance(milliseconds(3000));
    CHECK(fixture.Sent(id).back().kind == Kind::kRollback);
    fixture.Say(kCaller, StatementKind::kRead, "READ a");
    CHECK(fixture.Last(kCaller).outcome == Outcome::kAborted);
  }
}

// Guards against session values of one caller that another one's statement
// sees.
TEST_CASE("A connection gets the values of the session that uses it",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.Say(1, StatementKind::kSet, "color red");
  fixture.Say(1, StatementKind::kWrite, "WRITE a b");
  const ConnectionId id = fixture.AcceptOpening();
  REQUIRE(fixture.Sent(id).size() == 2);
  CHECK(fixture.Sent(id)[0].kind == Kind::kSet);
  CHECK(fixture.Sent(id)[0].value == "red");
  fixture.Reply(id, {1, 5});
  fixture.Reply(id, {1, 5});

  fixture.OpenSession(2, "strict");
  fixture.Say(2, StatementKind::kWrite, "WRITE c d");
  REQUIRE(fixture.Sent(id).size() == 4);
  CHECK(fixture.Sent(id)[2].kind == Kind::kReset);
  CHECK(fixture.Sent(id)[3].text == "WRITE c d");
}

// Guards against a key that was taken away and still works, and against a
// customer's name that changes under a key.
TEST_CASE("A withdrawn key is refused from the next operation on",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(kCaller, "strict");
  fixture.table.keys.clear();
  fixture.table.customers[0].keys.clear();
  fixture.ApplyTable(2);
  fixture.Say(kCaller, StatementKind::kWrite, "WRITE a b");
  CHECK(fixture.Last(kCaller).outcome == Outcome::kUnknownKey);
  fixture.OpenSession(2, "strict");
  CHECK(fixture.Last(2).outcome == Outcome::kUnknownKey);
  CHECK(fixture.closed_sessions == std::vector<SessionId>{2});

  SECTION("An older configuration is ignored") {
    fixture.table.keys["key"] = 0;
    fixture.ApplyTable(1);
    fixture.Say(kCaller, StatementKind::kWrite, "WRITE a b");
    CHECK(fixture.Last(kCaller).outcome == Outcome::kUnknownKey);
  }
}

// Guards against a customer above its rate whose operations are all served
// late.
TEST_CASE("Of the operations that wait for tokens the newest goes first",
          "[statements]") {
  ProxyFixture fixture;
  fixture.table.customers.front().rate_per_second = 1;
  fixture.table.customers.front().burst = 1;
  fixture.ApplyTable(2);
  for (const SessionId id : {11, 12}) {
    fixture.OpenSession(id, "own");
    fixture.Say(id, StatementKind::kBegin, "BEGIN");
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
  CHECK(fixture.Last(11).outcome == Outcome::kBusy);
}

TEST_CASE("A statement that finds no endpoint is refused as not run in time",
          "[statements]") {
  ProxyFixture fixture;
  fixture.SetRole("p", false);
  fixture.OpenSession(kCaller, "strict");
  fixture.Say(kCaller, StatementKind::kWrite, "WRITE a b");
  fixture.Advance(milliseconds(499));
  CHECK(fixture.AnswerCount(kCaller) == 1);
  fixture.Advance(milliseconds(1));
  CHECK(fixture.Last(kCaller).outcome == Outcome::kBusy);
  CHECK(fixture.sent.empty());
}

// Guards against a stop that cuts an operation.
TEST_CASE("A planned stop closes sessions between operations only",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.OpenSession(2, "strict");
  fixture.Advance(milliseconds(500));
  fixture.Say(2, StatementKind::kWrite, "WRITE a b");
  fixture.proxy->BeginDrain(fixture.now);
  CHECK(fixture.closed_sessions == std::vector<SessionId>{1});
  fixture.Reply(fixture.AcceptOpening(), {1, 5});
  CHECK(fixture.Last(2).outcome == Outcome::kDone);
  fixture.Advance(milliseconds(100));
  CHECK(fixture.closed_sessions == std::vector<SessionId>{1, 2});
  CHECK(fixture.proxy->SessionCount() == 0);
}

}  // namespace goldcrest::statements
