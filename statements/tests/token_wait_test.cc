#include <catch2/catch.hpp>
#include <chrono>

#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;

constexpr SessionId kCaller = 1;

}  // namespace

// Guards against a token that is lost: the wait for it used up the statement's
// time, so that the statement was refused while its connection was being
// opened.
TEST_CASE("The wait for a token leaves the time to find a connection",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.table.customers.front().rate_per_second = 1;
  fixture.ApplyTable(2);
  fixture.OpenSession(kCaller, "strict");
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
  fixture.Advance(milliseconds(290));
  CHECK(fixture.AnswerCount(kCaller) == 1);
  fixture.proxy->holder().SetLimit("customer", std::nullopt);
  fixture.proxy->OnShares(fixture.now);
  REQUIRE(fixture.opening_connections.size() == 1);
  fixture.Advance(milliseconds(20));
  REQUIRE(fixture.AnswerCount(kCaller) == 1);
  fixture.Reply(fixture.AcceptConnection(), {1, 5});
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kDone);
}

// Guards against an operation above its customer's rate that is sent in the
// place of the session's last statement, which no endpoint was found for.
TEST_CASE("A statement is sent only once its operation has a token",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(kCaller, "strict");
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE c d");
  fixture.proxy->holder().SetLimit("customer", quota::Limit{});
  fixture.Advance(milliseconds(500));
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kBusy);
  fixture.AcceptConnection();
  CHECK(fixture.sent.empty());
}

}  // namespace goldcrest::statements
