#include <catch2/catch.hpp>

#include "goldcrest/sessions/fleet.h"
#include "tests/requests.h"

namespace goldcrest::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longest time without served writes after any failure.
constexpr Duration kWriteGapBound = seconds(5);

// Longest time until a withdrawn key is refused by all instances.
constexpr Duration kWithdrawalBound = seconds(6);

// Longest time until a silent peer connection is replaced: it is probed every
// 250 ms and replaced after 1 s without an answer.
constexpr Duration kSilenceBound = milliseconds(1250);

// Sends a write whose statement contains `name`, so that the members' logs show
// whether it ran.
void StartWrite(Fleet& fleet,
                const std::string& name,
                const std::string& entry_name,
                bool with_id) {
  fleet.Call(name, entry_name,
             Write("set " + name + " 1", with_id ? name : ""));
}

// Sends one write with a request id and one without, and runs until both have
// run on the primary. The later one has not reached a replica yet.
void RunTwoWrites(Fleet& fleet, const std::string& entry_name) {
  StartWrite(fleet, "with-id", entry_name, true);
  StartWrite(fleet, "without-id", entry_name, false);
  REQUIRE(fleet.RunUntil(
      [&] {
        FakeGroup& group = fleet.group("bookings");
        return group.CountRuns("bookings-1", "set with-id 1") == 1 &&
               group.CountRuns("bookings-1", "set without-id 1") == 1;
      },
      seconds(1)));
}

// Checks that the answer to a write agrees with the members' logs: a done write
// is in the primary's log once, a write that was not run is in no log, and a
// write with an unknown outcome is in the primary's log at most once.
void CheckOutcomeMatchesLogs(Fleet& fleet, const std::string& name) {
  INFO(name);
  const entry::CallerAnswer* answer = fleet.AnswerTo(name);
  REQUIRE(answer != nullptr);
  FakeGroup& group = fleet.group("bookings");
  const std::string statement = "set " + name + " 1";
  const int on_primary =
      group.CountRuns(fleet.PrimaryOf("bookings"), statement);
  switch (InfoOf(answer->code).outcome) {
    case Outcome::kDone:
      CHECK(on_primary == 1);
      break;
    case Outcome::kNotRun:
      for (const auto& [endpoint, member] : group.members())
        CHECK(group.CountRuns(endpoint, statement) == 0);
      break;
    case Outcome::kUnknown:
      CHECK(on_primary <= 1);
      break;
  }
}

// Resends a write through `entry_name` until it is done, and checks that this
// takes less than kWriteGapBound after `failed` and that the write ran once.
void CheckServedAgain(Fleet& fleet,
                      const std::string& entry_name,
                      Time failed) {
  ResultCode code = ResultCode::kIncompleteRequest;
  for (int i = 1;
       code != ResultCode::kOk && fleet.now() < failed + kWriteGapBound; ++i)
    code = fleet
               .CallAndWait("after-" + std::to_string(i), entry_name,
                            Write("set after 1", "a"))
               .code;
  CHECK(code == ResultCode::kOk);
  CHECK(fleet.now() - failed < kWriteGapBound);
  fleet.Run(seconds(6));
  CHECK(fleet.group("bookings")
            .CountRuns(fleet.PrimaryOf("bookings"), "set after 1") == 1);
}

}  // namespace

TEST_CASE("A control leader lost while a primary fails loses no write",
          "[sessions][guarantee]") {
  // Guards against a new leader that repeats a promotion, or logs it for a
  // coordinator although the old leader gave the lease to another one.
  Fleet fleet(6, 5);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  const std::string leader = fleet.ControlLeader();
  const std::string coordinator = fleet.CoordinatorOf("bookings");
  REQUIRE(leader != coordinator);
  RunTwoWrites(fleet, "e6");
  const Time failed = fleet.now();
  fleet.KillEndpoint("bookings-1");
  std::string golden;

  SECTION("at the same moment") {
    golden = "leader_and_primary";
    fleet.Kill(leader);
  }
  SECTION("while it logs the promotion") {
    golden = "leader_while_promoting";
    REQUIRE(fleet.RunUntil(
        [&] {
          return fleet.entry(coordinator)
                     .coordinators()
                     .at("bookings")
                     ->phase() ==
                 coordinator::GroupCoordinator::Phase::kProposing;
        },
        seconds(1)));
    fleet.Run(milliseconds(6));
    fleet.Kill(leader);
  }
  SECTION("together with the coordinator") {
    golden = "leader_coordinator_and_primary";
    fleet.Kill(leader);
    fleet.Kill(coordinator);
  }
  CheckServedAgain(fleet, "e6", failed);
  CheckOutcomeMatchesLogs(fleet, "with-id");
  CheckOutcomeMatchesLogs(fleet, "without-id");
  CheckGolden(fleet, golden);
}

TEST_CASE("An entry that restarts during a withdrawal serves the key no more",
          "[sessions][guarantee]") {
  // Guards against a withdrawal that takes the report or the expired lease of
  // the earlier process for one of the restarted process.
  Fleet fleet(5, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  fleet.AddToTranscript("e5 hears nothing from control");
  for (const char* control : {"e1", "e2", "e3"})
    fleet.Partition("e5", control);
  const Time start = fleet.now();
  const std::uint64_t change = fleet.StartChange(
      "e1", MakeChange("withdraw", -1, {KeyWithdrawal("k-town-hall")}));
  fleet.Run(seconds(1));
  fleet.Kill("e5");
  fleet.Run(milliseconds(300));
  fleet.HealAll();
  fleet.Restart("e5");
  std::vector<std::string> reads_after_answer;
  for (int i = 0; i < 10; ++i) {
    const std::string name = "read " + std::to_string(i);
    if (fleet.AnswerToChange(change) != nullptr)
      reads_after_answer.push_back(name);
    fleet.Call(name, "e5", Read("get a"));
    fleet.Run(milliseconds(50));
  }
  REQUIRE(fleet.AnswerToChange(change) != nullptr);
  CHECK(fleet.AnswerToChange(change)->code == 0);
  CHECK(fleet.now() - start < kWithdrawalBound);
  fleet.Run(seconds(1));
  REQUIRE(!reads_after_answer.empty());
  for (const std::string& name : reads_after_answer) {
    REQUIRE(fleet.AnswerTo(name) != nullptr);
    CHECK(InfoOf(fleet.AnswerTo(name)->code).outcome == Outcome::kNotRun);
  }
  CheckGolden(fleet, "restart_during_withdrawal");
}

TEST_CASE("Writes survive and resume after the loss of an availability zone",
          "[sessions][guarantee]") {
  // Guards against lost writes when several roles fail at once. Availability
  // zone z1 holds the primary, the coordinator and a control member, z3 the
  // control leader and a replica.
  Fleet fleet(6, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  REQUIRE(fleet.ControlLeader() == "e3");
  REQUIRE(fleet.CoordinatorOf("bookings") == "e1");
  const std::string zone = GENERATE("z1", "z2", "z3");
  const std::string entry_name = zone == "z2" ? "e6" : "e5";
  RunTwoWrites(fleet, entry_name);
  const Time failed = fleet.now();
  fleet.KillZone(zone);
  CheckServedAgain(fleet, entry_name, failed);
  CheckOutcomeMatchesLogs(fleet, "with-id");
  CheckOutcomeMatchesLogs(fleet, "without-id");
  CheckGolden(fleet, "lost_zone_" + zone);
}

TEST_CASE("A silent connection between two roles leaves no wrong outcome",
          "[sessions][guarantee]") {
  // Guards against requests that are never answered, and against a second run
  // of a request that was resent. Messages are lost until the connection is
  // replaced.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  REQUIRE(fleet.ControlLeader() == "e3");
  REQUIRE(fleet.CoordinatorOf("bookings") == "e1");
  struct Link {
    const char* roles;
    const char* a;
    const char* b;
  };
  const Link link = GENERATE(
      Link{"entry_coordinator", "e4", "e1"}, Link{"entry_leader", "e4", "e3"},
      Link{"coordinator_leader", "e1", "e3"}, Link{"leader_member", "e3", "e2"},
      Link{"coordinator_primary", "e1", "bookings-1"},
      Link{"coordinator_replica", "e1", "bookings-2"},
      Link{"primary_replica", "bookings-1", "bookings-2"});
  INFO(link.roles);
  StartWrite(fleet, "with-id", "e4", true);
  StartWrite(fleet, "without-id", "e4", false);
  fleet.Run(milliseconds(3));
  fleet.AddToTranscript(std::string("silence between ") + link.a + " and " +
                        link.b);
  const Time failed = fleet.now();
  fleet.Partition(link.a, link.b);
  const bool between_endpoints = std::string(link.a) == "bookings-1";
  if (between_endpoints)
    group.member(link.b).replicates = false;
  fleet.Call("read", "e4", Read("get a"));
  fleet.Run(kSilenceBound);
  fleet.AddToTranscript("new connection");
  fleet.HealAll();
  if (between_endpoints)
    group.member(link.b).replicates = true;
  CheckServedAgain(fleet, "e4", failed);
  CheckOutcomeMatchesLogs(fleet, "with-id");
  CheckOutcomeMatchesLogs(fleet, "without-id");
  REQUIRE(fleet.AnswerTo("read") != nullptr);
  CheckGolden(fleet, std::string("silent_") + link.roles);
}

}  // namespace goldcrest::sessions
