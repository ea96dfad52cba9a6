#include <catch2/catch.hpp>
#include <chrono>

#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using Kind = EndpointCommand::Kind;
using std::chrono::milliseconds;

constexpr SessionId kReader = 1;

}  // namespace

// Guards against reads on an endpoint that has lost the lead without knowing
// of it here: the transaction makes the endpoint check.
TEST_CASE("A read on a primary route runs inside a transaction of the primary",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(kReader, "strict");
  fixture.Say(kReader, StatementKind::kRead, "READ a");
  const ConnectionId id = fixture.AcceptOpening();
  CHECK(fixture.endpoint_of.at(id) == "p");
  REQUIRE(fixture.Sent(id).size() == 1);
  CHECK(fixture.Sent(id)[0].kind == Kind::kBegin);

  SECTION("The statement follows once the endpoint has begun") {
    fixture.Reply(id, {1, 5});
    REQUIRE(fixture.Sent(id).size() == 2);
    CHECK(fixture.Sent(id)[1].text == "READ a");
    CHECK(fixture.Sent(id)[1].id == "id1");
    fixture.Reply(id, {1, 5});
    CHECK(fixture.Last(kReader).outcome == Outcome::kDone);
    CHECK(fixture.Sent(id).back().kind == Kind::kRollback);
  }
  SECTION("A refusal runs nothing and the new primary is asked") {
    fixture.Reply(id, {1, 5}, Outcome::kReadOnly);
    CHECK(fixture.AnswerCount(kReader) == 1);  // of the session's start
    fixture.SetRole("p", false);
    fixture.SetRole("r1", true);
    fixture.Advance(milliseconds(20));
    CHECK(fixture.opening.back().second.endpoint == "r1");
  }
}

// Guards against reads that miss commits older than the bound (stale reads
// after a freeze) and against commits of the own session that are not seen.
TEST_CASE("A read elsewhere asks for a position that covers its bound",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.ConfirmPosition({1, 10});
  fixture.SetRole("p", true, true);  // Only replicas take reads now.

  SECTION("With a position of the last 1.5 s a replica is asked") {
    fixture.Advance(milliseconds(1200));
    fixture.OpenSession(kReader, "stale");
    fixture.Say(kReader, StatementKind::kRead, "READ a");
    const ConnectionId id = fixture.AcceptOpening();
    CHECK(fixture.endpoint_of.at(id) != "p");
    REQUIRE(fixture.Sent(id).size() == 1);
    CHECK(fixture.Sent(id)[0].required_position == LogPosition{1, 10});
  }
  SECTION("An older position is not used; the primary is asked") {
    fixture.Advance(milliseconds(1600));
    fixture.OpenSession(kReader, "stale");
    fixture.Say(kReader, StatementKind::kRead, "READ a");
    REQUIRE_FALSE(fixture.opening.empty());
    CHECK(fixture.opening.back().second.endpoint == "p");
  }
  SECTION("A replica that is behind is left out for the same position") {
    fixture.OpenSession(kReader, "stale");
    fixture.Say(kReader, StatementKind::kRead, "READ a");
    const ConnectionId first = fixture.AcceptOpening();
    fixture.Reply(first, {1, 3}, Outcome::kBehind);
    const ConnectionId second = fixture.AcceptOpening();
    CHECK(fixture.endpoint_of.at(second) != fixture.endpoint_of.at(first));
    fixture.Reply(second, {1, 4}, Outcome::kBehind);
    REQUIRE_FALSE(fixture.opening.empty());
    CHECK(fixture.opening.back().second.endpoint == "p");
  }
}

TEST_CASE("A session reads its own commit", "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.ConfirmPosition({1, 10});
  fixture.OpenSession(kReader, "own");
  fixture.Say(kReader, StatementKind::kWrite, "WRITE a b");
  fixture.Reply(fixture.AcceptOpening(), {1, 12});
  fixture.SetRole("p", true, true);
  fixture.Say(kReader, StatementKind::kRead, "READ a");
  const ConnectionId id = fixture.AcceptOpening();
  CHECK(fixture.Sent(id)[0].required_position == LogPosition{1, 12});
}

// Guards against a silent endpoint that holds a read until the caller gives up.
TEST_CASE("A read is repeated at another endpoint when its connection breaks",
          "[statements]") {
  ProxyFixture fixture;
  fixture.ConfirmPosition({1, 10});
  fixture.SetRole("p", true, true);
  fixture.OpenSession(kReader, "stale");
  fixture.Say(kReader, StatementKind::kRead, "READ a");
  const ConnectionId first = fixture.AcceptOpening();
  fixture.proxy->OnConnectionClosed(fixture.now, first);
  const ConnectionId second = fixture.AcceptOpening();
  CHECK(fixture.endpoint_of.at(second) != fixture.endpoint_of.at(first));
  fixture.Reply(second, {1, 10});
  CHECK(fixture.Last(kReader).outcome == Outcome::kDone);
}

}  // namespace goldcrest::statements
