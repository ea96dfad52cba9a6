#include <algorithm>
#include <catch2/catch.hpp>

#include "goldcrest/sessions/fleet.h"
#include "tests/requests.h"

namespace goldcrest::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longest time until an accepted change is in force on all instances.
constexpr Duration kInForceBound = seconds(6);

std::int64_t RevisionAt(Fleet& fleet, const std::string& instance) {
  return fleet.entry(instance).view().configuration().Revision();
}

bool AllHaveRevision(Fleet& fleet, std::int64_t revision) {
  for (const std::string& name : fleet.instances()) {
    if (RevisionAt(fleet, name) != revision)
      return false;
  }
  return true;
}

}  // namespace

TEST_CASE("Of two changes with one base revision only the first is accepted",
          "[sessions][guarantee]") {
  // Guards against an operator's change that silently overwrites another's.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  const std::int64_t base = RevisionAt(fleet, "e1");
  const auto first = fleet.Configure(
      "e2", MakeChange("c1", base, {Customer("school", "office")}));
  const auto second = fleet.Configure(
      "e3", MakeChange("c2", base, {Customer("library", "office")}));
  CHECK(first.code == 0);
  CHECK(second.code == ToNumber(ResultCode::kRevisionConflict));
  CHECK(second.message.find("c1") != std::string::npos);
  CHECK(fleet.entry("e1")
            .view()
            .configuration()
            .Objects(messages::ObjectKind::CUSTOMER)
            .size() == 3);

  SECTION(
      "a resend of the accepted change gets its answer and changes nothing") {
    const auto resend = fleet.Configure(
        "e4", MakeChange("c1", base, {Customer("school", "office")}));
    CHECK(resend.code == 0);
    CHECK(resend.revision == first.revision);
    CHECK(RevisionAt(fleet, "e1") == first.revision);
  }
}

TEST_CASE("An accepted change is in force everywhere and never reverts",
          "[sessions][guarantee]") {
  // Guards against the loss of an accepted change, and against instances that
  // serve under an older configuration, while control members fail.
  Fleet fleet(5, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  const std::string leader = fleet.ControlLeader();
  const std::string asked_instance = leader == "e4" ? "e3" : "e4";

  SECTION("with the leader isolated and healed") {
    fleet.Isolate(leader);
    const Time start = fleet.now();
    const auto answer = fleet.Configure(
        "e5", MakeChange("c1", -1, {Customer("school", "office")}));
    CHECK(answer.code == 0);
    CHECK(fleet.now() - start < kInForceBound);
    // The isolated instance refuses all requests, so the change is in force.
    CHECK(
        fleet.CallAndWait("at the isolated one", leader, Read("get a")).code ==
        ResultCode::kNoControlContact);
    fleet.HealAll();
    fleet.Run(seconds(2));
    CHECK(AllHaveRevision(fleet, answer.revision));
    CheckGolden(fleet, "isolated_control_leader");
  }
  SECTION("with a member that lost its disk") {
    const auto answer = fleet.Configure(
        "e5", MakeChange("c1", -1, {Customer("school", "office")}));
    REQUIRE(answer.code == 0);
    const std::string follower = leader == "e1" ? "e2" : "e1";
    fleet.Kill(follower);
    fleet.Restart(follower, true);
    fleet.Run(seconds(3));
    CHECK(AllHaveRevision(fleet, answer.revision));
    CHECK(fleet.control(follower).replica().IsJoining());

    // Removes the member and adds it again, which waits until it has caught
    // up. The loss of the leader right after that must not lose the change.
    std::vector<std::string> rest = {"e1", "e2", "e3"};
    std::erase(rest, follower);
    messages::ProposeRequest request;
    request.__set_members(rest);
    CHECK(fleet.Propose("e4", request).code == 0);
    fleet.Run(milliseconds(500));
    request.__set_members({"e1", "e2", "e3"});
    CHECK(fleet.Propose("e4", request).code == 0);
    REQUIRE(fleet.RunUntil(
        [&] {
          const auto& replica = fleet.control(follower).replica();
          return !replica.IsJoining() &&
                 std::ranges::count(replica.Members(), follower) > 0;
        },
        seconds(5)));
    fleet.Kill(fleet.ControlLeader());
    REQUIRE(fleet.RunUntil([&] { return !fleet.ControlLeader().empty(); },
                           seconds(5)));
    const auto next = fleet.Configure(
        "e5", MakeChange("c2", -1, {Customer("library", "office")}));
    CHECK(next.code == 0);
    CHECK(next.revision == answer.revision + 1);
  }
  SECTION("with all control members restarted at once") {
    const auto answer = fleet.Configure(
        "e5", MakeChange("c1", -1, {Customer("school", "office")}));
    REQUIRE(answer.code == 0);
    for (const char* name : {"e1", "e2", "e3"})
      fleet.Kill(name);
    fleet.Run(milliseconds(300));
    for (const char* name : {"e1", "e2", "e3"})
      fleet.Restart(name);
    fleet.Run(seconds(5));
    CHECK(AllHaveRevision(fleet, answer.revision));
  }
  SECTION("at a process that is resumed hundreds of changes behind") {
    fleet.Pause("e5");
    messages::ProposeResponse answer;
    for (int i = 0; i < 300; ++i)
      answer = fleet.Configure(
          "e1", MakeChange("c" + std::to_string(i), -1,
                           {Customer("c" + std::to_string(i % 7), "office")}));
    REQUIRE(answer.code == 0);
    fleet.Resume("e5");
    fleet.Run(seconds(2));
    CHECK(AllHaveRevision(fleet, answer.revision));
  }
  SECTION("when the asked instance dies before it answers") {
    fleet.Call("unrelated", asked_instance, Read("get a"));
    messages::Change change =
        MakeChange("c1", -1, {Customer("school", "office")});
    const auto first = fleet.Configure(asked_instance, change);
    fleet.Kill(asked_instance);
    const auto resend = fleet.Configure("e5", change);
    CHECK(resend.code == 0);
    CHECK(resend.revision == first.revision);
  }
}

TEST_CASE("A control leader without its lease gives no lease",
          "[sessions][guarantee]") {
  // Guards against a leader that is partitioned from the other members and
  // still lets entries serve under an old configuration.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  const std::string leader = fleet.ControlLeader();
  entry::ControlNode& control = fleet.control(leader);
  for (const char* member : {"e1", "e2", "e3"}) {
    if (member != leader)
      fleet.Partition(leader, member);
  }
  REQUIRE(fleet.RunUntil(
      [&] {
        return control.IsLeader() &&
               !control.replica().HoldsLeaderLease(fleet.now());
      },
      seconds(2)));
  messages::EntryReport report;
  report.instance.instance = "e4";
  report.instance.zone = "z1";
  report.instance.incarnation = 1;
  report.sequence = 1'000'000;
  messages::PeerMessage message;
  message.__set_report(report);
  for (const auto& [to, answer] :
       control.OnMessage("e4", message, fleet.now()).messages)
    CHECK(answer.update.control_lease_ms == 0);
}

}  // namespace goldcrest::sessions
