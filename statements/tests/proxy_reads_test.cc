#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using Kind = EndpointCommand::Kind;
using std::chrono::milliseconds;

constexpr SessionId kReader = 1;

}  // namespace

// Guards against reads on an endpoint that is no longer primary while the entry
// does not know it yet: the endpoint checks its role when the transaction
// begins.
TEST_CASE("A read on a primary route runs inside a transaction of the primary",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(kReader, "strict");
  fixture.SendStatement(kReader, StatementKind::kRead, "READ a");
  const ConnectionId id = fixture.AcceptConnection();
  CHECK(fixture.endpoint_of.at(id) == "p");
  REQUIRE(fixture.SentCommands(id).size() == 1);
  CHECK(fixture.SentCommands(id)[0].kind == Kind::kBegin);

  SECTION("The statement is sent once the transaction has begun") {
    fixture.Reply(id, {1, 5});
    REQUIRE(fixture.SentCommands(id).size() == 2);
    CHECK(fixture.SentCommands(id)[1].text == "READ a");
    CHECK(fixture.SentCommands(id)[1].id == "id1");
    fixture.Reply(id, {1, 5});
    CHECK(fixture.LastAnswer(kReader).outcome == Outcome::kDone);
    CHECK(fixture.SentCommands(id).back().kind == Kind::kRollback);
  }
  SECTION("A refused transaction is retried on the new primary") {
    fixture.Reply(id, {1, 5}, Outcome::kReadOnly);
    CHECK(fixture.AnswerCount(kReader) == 1);  // to the session's start
    fixture.SetRole("p", false);
    fixture.SetRole("r1", true);
    fixture.Advance(milliseconds(20));
    CHECK(fixture.opening_connections.back().second.endpoint == "r1");
  }
}

// Guards against reads that miss commits older than the staleness bound (stale
// reads after a freeze) or commits of their own session.
TEST_CASE("A read on a replica requires a position that covers its bound",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.ConfirmPosition({1, 10});
  fixture.SetRole("p", true, true);  // Leaves reads to the replicas.

  SECTION("With a position of the last 1.5 s a replica serves the read") {
    fixture.Advance(milliseconds(1200));
    fixture.OpenSession(kReader, "stale");
    fixture.SendStatement(kReader, StatementKind::kRead, "READ a");
    const ConnectionId id = fixture.AcceptConnection();
    CHECK(fixture.endpoint_of.at(id) != "p");
    REQUIRE(fixture.SentCommands(id).size() == 1);
    CHECK(fixture.SentCommands(id)[0].required_position == LogPosition{1, 10});
  }
  SECTION("With an older position the primary serves the read") {
    fixture.Advance(milliseconds(1600));
    fixture.OpenSession(kReader, "stale");
    fixture.SendStatement(kReader, StatementKind::kRead, "READ a");
    REQUIRE_FALSE(fixture.opening_connections.empty());
    CHECK(fixture.opening_connections.back().second.endpoint == "p");
  }
  SECTION("A lagging replica is not tried again for the same position") {
    fixture.OpenSession(kReader, "stale");
    fixture.SendStatement(kReader, StatementKind::kRead, "READ a");
    const ConnectionId first = fixture.AcceptConnection();
    fixture.Reply(first, {1, 3}, Outcome::kBehind);
    const ConnectionId second = fixture.AcceptConnection();
    CHECK(fixture.endpoint_of.at(second) != fixture.endpoint_of.at(first));
    fixture.Reply(second, {1, 4}, Outcome::kBehind);
    REQUIRE_FALSE(fixture.opening_connections.empty());
    CHECK(fixture.opening_connections.back().second.endpoint == "p");
  }
}

// Guards against stale reads after a promotion: a former primary still commits
// a transaction that has written nothing, and its own position lags.
TEST_CASE("A commit that wrote nothing confirms neither primary nor position",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(kReader, "strict");
  fixture.SendStatement(kReader, StatementKind::kBegin, "BEGIN");
  const bool writes = GENERATE(false, true);
  fixture.SendStatement(
      kReader, writes ? StatementKind::kWrite : StatementKind::kRead, "a b");
  const ConnectionId id = fixture.AcceptConnection();
  fixture.Reply(id, {1, 10});  // BEGIN
  fixture.Reply(id, {1, 10});
  fixture.Advance(milliseconds(1600));
  fixture.SetRole("p", false);
  fixture.SetRole("r1", true);
  fixture.SendStatement(kReader, StatementKind::kCommit, "COMMIT");
  fixture.Reply(id, {1, 10});
  CHECK(fixture.LastAnswer(kReader).outcome == Outcome::kDone);

  fixture.OpenSession(2, "stale");
  fixture.SendStatement(2, StatementKind::kRead, "READ a");
  // The endpoint refuses this if it is no longer primary.
  const bool asks_primary =
      fixture.SentCommands(id).back().kind == Kind::kBegin;
  CHECK(asks_primary != writes);
}

// Guards against statements at a former primary whose last answer arrives after
// the notice of the promotion.
TEST_CASE("An answer to a statement sent before a promotion confirms nothing",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
  const ConnectionId id = fixture.AcceptConnection();
  fixture.now += milliseconds(20);
  messages::PrimaryAssignment assignment;
  assignment.group = "g";
  assignment.endpoint = "r1";
  assignment.order = 1;
  fixture.proxy->OnAssignment(fixture.now, assignment);
  fixture.now += milliseconds(20);
  fixture.Reply(id, {1, 11});
  CHECK(fixture.LastAnswer(1).outcome == Outcome::kDone);
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a c");
  REQUIRE(fixture.opening_connections.size() == 1);
  CHECK(fixture.opening_connections[0].second.endpoint == "r1");
}

// Guards against a prepared statement that runs another shape, because a blank
// in its shape ends the field of its name.
TEST_CASE("A prepared statement's name is one field whatever its shape",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  std::vector<std::string> names;
  for (const std::string shape : {"q", "q x", "q_.x", "q__x", "q  x"}) {
    Statement prepare;
    prepare.kind = StatementKind::kPrepare;
    prepare.name = "s";
    prepare.value = shape;
    prepare.writes = true;
    fixture.proxy->OnStatement(fixture.now, 1, prepare);
    fixture.SendStatement(1, StatementKind::kExecute, "s a b");
    const ConnectionId id = names.empty() ? fixture.AcceptConnection()
                                          : fixture.sent.begin()->first;
    const EndpointCommand& sent = fixture.SentCommands(id).back();
    CHECK(sent.kind == Kind::kExecute);
    CHECK(sent.value == "a b");
    CHECK(sent.name.find(' ') == std::string::npos);
    CHECK(std::ranges::count(names, sent.name) == 0);
    names.push_back(sent.name);
    fixture.Reply(id, {1, 10});  // PREPARE
    fixture.Reply(id, {1, 10});
  }
}

TEST_CASE("A session reads its own commit", "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.ConfirmPosition({1, 10});
  fixture.OpenSession(kReader, "own");
  fixture.SendStatement(kReader, StatementKind::kWrite, "WRITE a b");
  fixture.Reply(fixture.AcceptConnection(), {1, 12});
  fixture.SetRole("p", true, true);
  fixture.SendStatement(kReader, StatementKind::kRead, "READ a");
  const ConnectionId id = fixture.AcceptConnection();
  CHECK(fixture.SentCommands(id)[0].required_position == LogPosition{1, 12});
}

// Guards against a read on a replica that lacks the session's own commit,
// because the endpoint told no position with it.
TEST_CASE("A session reads its own commit also without its position",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.ConfirmPosition({1, 10});
  fixture.OpenSession(kReader, "own");
  const bool transaction = GENERATE(false, true);
  if (transaction)
    fixture.SendStatement(kReader, StatementKind::kBegin, "BEGIN");
  fixture.SendStatement(kReader, StatementKind::kWrite, "WRITE a b");
  const ConnectionId id = fixture.AcceptConnection();
  if (transaction) {
    fixture.Reply(id, std::nullopt);  // BEGIN
    fixture.Reply(id, std::nullopt);
    fixture.SendStatement(kReader, StatementKind::kCommit, "COMMIT");
  }
  const Time sent_at = fixture.now;
  fixture.now += milliseconds(10);
  fixture.Reply(id, std::nullopt);
  REQUIRE(fixture.LastAnswer(kReader).outcome == Outcome::kDone);
  fixture.proxy->OnConfirmedPosition("g", sent_at, {1, 11});
  fixture.Advance(milliseconds(200));  // The idle connection is closed.
  fixture.SetRole("p", true, true);    // Leaves reads to the replicas.

  SECTION("Without a later position the primary serves the read") {
    fixture.SendStatement(kReader, StatementKind::kRead, "READ a");
    REQUIRE_FALSE(fixture.opening_connections.empty());
    CHECK(fixture.opening_connections.back().second.endpoint == "p");
  }
  SECTION("A replica with a later position serves the read") {
    fixture.proxy->OnConfirmedPosition("g", fixture.now, {1, 12});
    fixture.SendStatement(kReader, StatementKind::kRead, "READ a");
    const ConnectionId replica = fixture.AcceptConnection();
    CHECK(fixture.endpoint_of.at(replica) != "p");
    CHECK(fixture.SentCommands(replica)[0].required_position ==
          LogPosition{1, 12});
  }
  SECTION("Reads of other sessions are not bound by it") {
    fixture.OpenSession(2, "own");
    fixture.SendStatement(2, StatementKind::kRead, "READ a");
    CHECK(fixture.opening_connections.back().second.endpoint != "p");
  }
}

// Guards against a read that waits for an unresponsive endpoint until the
// caller gives up.
TEST_CASE("A read is repeated at another endpoint when its connection breaks",
          "[statements]") {
  ProxyFixture fixture;
  fixture.ConfirmPosition({1, 10});
  fixture.SetRole("p", true, true);
  fixture.OpenSession(kReader, "stale");
  fixture.SendStatement(kReader, StatementKind::kRead, "READ a");
  const ConnectionId first = fixture.AcceptConnection();
  fixture.proxy->OnConnectionClosed(fixture.now, first);
  const ConnectionId second = fixture.AcceptConnection();
  CHECK(fixture.endpoint_of.at(second) != fixture.endpoint_of.at(first));
  fixture.Reply(second, {1, 10});
  CHECK(fixture.LastAnswer(kReader).outcome == Outcome::kDone);
}

}  // namespace goldcrest::statements
