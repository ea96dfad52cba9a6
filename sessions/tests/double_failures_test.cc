#include <catch2/catch.hpp>

#include "goldcrest/sessions/fleet.h"
#include "tests/requests.h"

namespace goldcrest::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Writes are served again within this time after any failure.
constexpr Duration kGapBound = seconds(5);

constexpr Duration kWithdrawalBound = seconds(6);

// A peer connection is probed each 250 ms and replaced after 1 s of silence.
constexpr Duration kSilenceBound = milliseconds(1250);

// Starts a write whose statement stands for it in the members' logs.
void StartWrite(Fleet& fleet,
                const std::string& name,
                const std::string& at,
                bool with_id) {
  fleet.Call(name, at, Write("set " + name + " 1", with_id ? name : ""));
}

// Starts a write with and one without an id and runs until both have run on the
// primary. No replica holds the later one.
void RunTwoWrites(Fleet& fleet, const std::string& at) {
  StartWrite(fleet, "with-id", at, true);
  StartWrite(fleet, "without-id", at, false);
  REQUIRE(fleet.RunUntil(
      [&] {
        FakeGroup& group = fleet.group("bookings");
        return group.TimesRun("bookings-1", "set with-id 1") == 1 &&
               group.TimesRun("bookings-1", "set without-id 1") == 1;
      },
      seconds(1)));
}

// The answer to a write agrees with the members' logs: done is held once by
// the primary, not run is held by nobody, unknown is held once at most.
void CheckTruth(Fleet& fleet, const std::string& name) {
  INFO(name);
  const entry::CallerAnswer* answer = fleet.AnswerTo(name);
  REQUIRE(answer != nullptr);
  FakeGroup& group = fleet.group("bookings");
  const std::string statement = "set " + name + " 1";
  const int on_primary = group.TimesRun(fleet.PrimaryOf("bookings"), statement);
  switch (InfoOf(answer->code).outcome) {
    case Outcome::kDone:
      CHECK(on_primary == 1);
      break;
    case Outcome::kNotRun:
      for (const auto& [endpoint, member] : group.members())
        CHECK(group.TimesRun(endpoint, statement) == 0);
      break;
    case Outcome::kUnknown:
      CHECK(on_primary <= 1);
      break;
  }
}

// A write through `at`, resent until it is done, is done within the bound after
// `failed`, and once.
void CheckServedAgain(Fleet& fleet, const std::string& at, Time failed) {
  ResultCode code = ResultCode::kIncompleteRequest;
  for (int i = 1; code != ResultCode::kOk && fleet.now() < failed + kGapBound;
       ++i)
    code = fleet
               .CallAndWait("after-" + std::to_string(i), at,
                            Write("set after 1", "a"))
               .code;
  CHECK(code == ResultCode::kOk);
  CHECK(fleet.now() - failed < kGapBound);
  fleet.Run(seconds(6));
  CHECK(fleet.group("bookings")
            .TimesRun(fleet.PrimaryOf("bookings"), "set after 1") == 1);
}

}  // namespace

TEST_CASE("A control leader lost while a primary fails loses no write",
          "[sessions][guarantee]") {
  // Guards against a promotion that a new leader repeats, or logs for a
  // coordinator whose lease the old leader gave to another.
  Fleet fleet(6, 5);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(Prepare(fleet));
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
  CheckTruth(fleet, "with-id");
  CheckTruth(fleet, "without-id");
  CheckGolden(fleet, golden);
}

TEST_CASE("An entry that restarts during a withdrawal serves the key no more",
          "[sessions][guarantee]") {
  // Guards against a withdrawal that counts the earlier process's report, or
  // its lapsed lease, for the new process.
  Fleet fleet(5, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(Prepare(fleet));
  fleet.Note("e5 hears nothing from control");
  for (const char* control : {"e1", "e2", "e3"})
    fleet.Cut("e5", control);
  const Time start = fleet.now();
  const std::uint64_t change = fleet.StartChange(
      "e1", ChangeOf("withdraw", -1, {KeyWithdrawal("k-town-hall")}));
  fleet.Run(seconds(1));
  fleet.Kill("e5");
  fleet.Run(milliseconds(300));
  fleet.HealAll();
  fleet.Restart("e5");
  std::vector<std::string> after;
  for (int i = 0; i < 10; ++i) {
    const std::string name = "read " + std::to_string(i);
    if (fleet.AnswerToChange(change) != nullptr)
      after.push_back(name);
    fleet.Call(name, "e5", Read("get a"));
    fleet.Run(milliseconds(50));
  }
  REQUIRE(fleet.AnswerToChange(change) != nullptr);
  CHECK(fleet.AnswerToChange(change)->code == 0);
  CHECK(fleet.now() - start < kWithdrawalBound);
  fleet.Run(seconds(1));
  REQUIRE(!after.empty());
  for (const std::string& name : after) {
    REQUIRE(fleet.AnswerTo(name) != nullptr);
    CHECK(InfoOf(fleet.AnswerTo(name)->code).outcome == Outcome::kNotRun);
  }
  CheckGolden(fleet, "restart_during_withdrawal");
}

TEST_CASE("A lost availability zone loses no write and is bridged",
          "[sessions][guarantee]") {
  // Zone z1 holds the primary, the coordinator and a control member, z3 the
  // control leader and a replica.
  Fleet fleet(6, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(Prepare(fleet));
  REQUIRE(fleet.ControlLeader() == "e3");
  REQUIRE(fleet.CoordinatorOf("bookings") == "e1");
  const std::string zone = GENERATE("z1", "z2", "z3");
  const std::string at = zone == "z2" ? "e6" : "e5";
  RunTwoWrites(fleet, at);
  const Time failed = fleet.now();
  fleet.KillZone(zone);
  CheckServedAgain(fleet, at, failed);
  CheckTruth(fleet, "with-id");
  CheckTruth(fleet, "without-id");
  CheckGolden(fleet, "lost_zone_" + zone);
}

TEST_CASE("A connection that goes silent between two roles costs no outcome",
          "[sessions][guarantee]") {
  // Guards against an answer that is never given, and against a second run of
  // what was lost on the way. The connection is replaced after its bound, and
  // what was sent meanwhile is lost.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(Prepare(fleet));
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
  fleet.Note(std::string("silence between ") + link.a + " and " + link.b);
  const Time failed = fleet.now();
  fleet.Cut(link.a, link.b);
  const bool in_group = std::string(link.a) == "bookings-1";
  if (in_group)
    group.member(link.b).replicates = false;
  fleet.Call("read", "e4", Read("get a"));
  fleet.Run(kSilenceBound);
  fleet.Note("new connection");
  fleet.HealAll();
  if (in_group)
    group.member(link.b).replicates = true;
  CheckServedAgain(fleet, "e4", failed);
  CheckTruth(fleet, "with-id");
  CheckTruth(fleet, "without-id");
  REQUIRE(fleet.AnswerTo("read") != nullptr);
  CheckGolden(fleet, std::string("silent_") + link.roles);
}

}  // namespace goldcrest::sessions
