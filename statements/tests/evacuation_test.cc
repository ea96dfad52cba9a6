#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using Kind = EndpointCommand::Kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SessionId kCaller = 1;
constexpr Duration kTimeout = seconds(5);

// The primary `p` and `r1` are in zone z1, `r2` is in z2.
struct EvacuationFixture : ProxyFixture {
  EvacuationFixture()
      : ProxyFixture(Duration::max(), Duration::max(), kTimeout) {
    zones["r2"] = "z2";
    SetRole("r2", false);
    for (auto& [name, route] : table.routes)
      route.statement_timeout = seconds(20);
    table.transaction_idle_timeout = seconds(20);
    ApplyTable(2);
    Confirm();
  }

  void Confirm() { proxy->OnEvacuationsConfirmed(now, now); }

  void Evacuate(std::int64_t index, const std::vector<std::string>& set) {
    messages::EvacuatedZones evacuated;
    evacuated.index = index;
    evacuated.zones = set;
    proxy->OnEvacuatedZones(now, evacuated);
  }

  // Ticks as a running process does.
  void Run(Duration duration) {
    for (const Time end = now + duration; now < end;)
      Advance(milliseconds(20));
  }

  ConnectionId BeginTransaction() {
    OpenSession(kCaller, "own");
    SendStatement(kCaller, StatementKind::kBegin, "BEGIN");
    SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");
    const ConnectionId id = AcceptConnection();
    Reply(id, {1, 5});  // BEGIN
    Reply(id, {1, 5});
    REQUIRE(LastAnswer(kCaller).outcome == Outcome::kDone);
    return id;
  }

  std::size_t SentCount() const {
    std::size_t count = 0;
    for (const auto& [id, commands] : sent)
      count += commands.size();
    return count;
  }
};

}  // namespace

// Guards against work in the zone after the bound by a transaction that was
// open before.
TEST_CASE("A transaction in an evacuated zone ends within half of the bound",
          "[statements][guarantee]") {
  EvacuationFixture fixture;
  const ConnectionId id = fixture.BeginTransaction();
  fixture.Evacuate(1, {"z1"});
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a c");
  REQUIRE(fixture.SentCommands(id).back().text == "WRITE a c");

  SECTION("It is idle") {
    fixture.Reply(id, {1, 6});
    fixture.Run(kTimeout / 2);
    CHECK(fixture.closed == std::vector<ConnectionId>{id});
    fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a d");
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kAborted);
  }
  SECTION("A statement is under way") {
    fixture.Run(kTimeout / 2);
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kAborted);
    const std::size_t sent = fixture.SentCount();
    fixture.Reply(id, {1, 6});
    CHECK(fixture.SentCount() == sent);
    CHECK(fixture.closed == std::vector<ConnectionId>{id});
  }
  SECTION("Its statement comes before the tick after the deadline") {
    fixture.Reply(id, {1, 6});
    fixture.Run(kTimeout / 2 - milliseconds(20));
    fixture.now += milliseconds(20);
    fixture.SendStatement(kCaller, StatementKind::kCommit, "COMMIT");
    fixture.Advance(milliseconds(1));
    CHECK(fixture.SentCommands(id).back().text == "WRITE a c");
  }
  fixture.SendStatement(kCaller, StatementKind::kCommit, "COMMIT");
  const auto outcome = fixture.LastAnswer(kCaller).outcome;
  CHECK((outcome == Outcome::kAborted || outcome == Outcome::kMalformed));
  CHECK(fixture.LastAnswer(kCaller).state == TransactionState::kIdle);
}

// Guards against a commit that is reported as aborted although it took effect.
TEST_CASE("A commit that was sent to an evacuated zone keeps its outcome",
          "[statements][guarantee]") {
  EvacuationFixture fixture;
  const ConnectionId id = fixture.BeginTransaction();
  fixture.SendStatement(kCaller, StatementKind::kCommit, "COMMIT");
  fixture.Evacuate(1, {"z1"});
  const std::size_t answers = fixture.AnswerCount(kCaller);
  fixture.Run(kTimeout);
  CHECK(fixture.AnswerCount(kCaller) == answers);
  fixture.Reply(id, {1, 6});
  CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kDone);
}

TEST_CASE("Reads leave an evacuated zone at once", "[statements][guarantee]") {
  EvacuationFixture fixture;
  fixture.ConfirmPosition({1, 5});
  fixture.Evacuate(1, {"z1"});
  fixture.OpenSession(kCaller, "stale");
  fixture.SendStatement(kCaller, StatementKind::kRead, "READ a");
  CHECK(fixture.endpoint_of.at(fixture.AcceptConnection()) == "r2");
}

// Guards against a read that reuses a connection into the zone.
TEST_CASE("Idle connections to an evacuated zone are closed", "[statements]") {
  EvacuationFixture fixture;
  fixture.ConfirmPosition({1, 5});
  fixture.OpenSession(kCaller, "stale");
  fixture.SendStatement(kCaller, StatementKind::kRead, "READ a");
  const ConnectionId id = fixture.AcceptConnection();
  REQUIRE(fixture.endpoint_of.at(id) == "r1");
  fixture.Reply(id, {1, 5});
  fixture.Evacuate(1, {"z1"});
  fixture.Advance(milliseconds(20));
  CHECK(std::ranges::count(fixture.closed, id) == 1);
}

// Guards against writes to the zone, and against a wrong refusal, in a group
// whose primary can't be replaced.
TEST_CASE("Work for a primary in an evacuated zone is refused as not run",
          "[statements][guarantee]") {
  EvacuationFixture fixture;
  fixture.ConfirmPosition({1, 5});  // `p` has led.
  fixture.Evacuate(1, {"z1"});
  fixture.Run(kTimeout / 2);
  fixture.OpenSession(kCaller, "strict");
  const std::size_t sent = fixture.SentCount();
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a b");

  SECTION("No other primary is promoted") {
    fixture.Run(seconds(10));
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kBusy);
    CHECK(fixture.LastAnswer(kCaller).message.starts_with("not run"));
    CHECK(fixture.opening_connections.empty());
    CHECK(fixture.SentCount() == sent);
  }
  SECTION("A primary in another zone is promoted") {
    messages::PrimaryAssignment assignment;
    assignment.group = "g";
    assignment.endpoint = "r2";
    assignment.order = 1;
    fixture.proxy->OnAssignment(fixture.now, assignment);
    CHECK(fixture.endpoint_of.at(fixture.AcceptConnection()) == "r2");
  }
  SECTION("One in another zone leads, but the order of it was missed") {
    fixture.SetRole("r2", true);
    CHECK(fixture.endpoint_of.at(fixture.AcceptConnection()) == "r2");
  }
  SECTION("The evacuation ends") {
    fixture.Evacuate(2, {});
    fixture.Run(milliseconds(20));
    CHECK(fixture.endpoint_of.at(fixture.AcceptConnection()) == "p");
  }
}

// Guards against a statement that an entry sends when it runs again, before it
// knows that the zone was evacuated in the meantime.
TEST_CASE("A frozen entry sends nothing before it knows the evacuated zones",
          "[statements][guarantee]") {
  EvacuationFixture fixture;
  const bool transaction = GENERATE(false, true);
  if (transaction)
    fixture.BeginTransaction();
  else
    fixture.OpenSession(kCaller, "strict");
  fixture.Run(milliseconds(20));
  fixture.Confirm();
  const std::size_t sent = fixture.SentCount();
  fixture.now += kTimeout * 2;
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a c");
  fixture.Run(milliseconds(200));
  CHECK(fixture.SentCount() == sent);
  CHECK(fixture.opening_connections.empty());

  SECTION("The zone was evacuated") {
    fixture.Evacuate(1, {"z1"});
    fixture.Confirm();
    fixture.Run(milliseconds(40));
    CHECK(fixture.opening_connections.empty());
    CHECK(fixture.SentCount() == sent);
    if (transaction)
      CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kAborted);
  }
  SECTION("Nothing has changed") {
    fixture.Confirm();
    fixture.Run(milliseconds(40));
    if (!transaction)
      fixture.AcceptConnection();
    CHECK(fixture.SentCount() == sent + 1);
  }
}

// Guards against an entry that stops serving, or serves the zone again, because
// it has lost its controllers.
TEST_CASE("An entry that is cut off keeps the last set",
          "[statements][guarantee]") {
  EvacuationFixture fixture;
  fixture.Evacuate(1, {"z1"});
  fixture.Run(kTimeout * 2);
  fixture.proxy->OnConfirmedPosition("g", fixture.now, {1, 5});
  fixture.OpenSession(kCaller, "stale");
  fixture.SendStatement(kCaller, StatementKind::kRead, "READ a");
  CHECK(fixture.endpoint_of.at(fixture.AcceptConnection()) == "r2");
  CHECK(fixture.opening_connections.empty());
}

}  // namespace goldcrest::statements
