#include <catch2/catch.hpp>

#include "goldcrest/sessions/fleet.h"
#include "tests/requests.h"

namespace goldcrest::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns true if the log of the current primary has `statement` once.
bool PrimaryHolds(Fleet& fleet, const std::string& statement) {
  const std::string primary = fleet.PrimaryOf("bookings");
  return !primary.empty() &&
         fleet.group("bookings").CountRuns(primary, statement) == 1;
}

}  // namespace

TEST_CASE("A primary cut off from its group acknowledges nothing",
          "[sessions][guarantee]") {
  // Guards against the loss of an acknowledged write: the primary still
  // answers its coordinator, but the write reaches no replica.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  fleet.AddToTranscript("bookings-1 is cut off from its group");
  group.member("bookings-1").replicates = false;
  const auto write =
      fleet.CallAndWait("write", "e4", Write("set facade booked", "w1"));
  CHECK(write.code == ResultCode::kOk);
  CHECK(fleet.PrimaryOf("bookings") != "bookings-1");
  CHECK(PrimaryHolds(fleet, "set facade booked"));
  CheckGolden(fleet, "isolated_primary");
}

TEST_CASE("An answer that comes after the promotion acknowledges nothing",
          "[sessions][guarantee]") {
  // Guards against a term that is checked only when the statement is sent, and
  // not when its answer arrives.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  fleet.DelayAnswers("bookings-1", milliseconds(1500));
  group.member("bookings-1").replicates = false;
  entry::CallerRequest write = Write("set facade booked");
  write.timeout = seconds(4);
  fleet.Call("write without id", "e4", write);
  fleet.Run(milliseconds(50));
  const std::string coordinator = fleet.CoordinatorOf("bookings");
  fleet.AddToTranscript("links between " + coordinator +
                        " and bookings-1 fail for 1 s");
  fleet.Partition(coordinator, "bookings-1");
  fleet.Run(seconds(1));
  fleet.Heal(coordinator, "bookings-1");
  fleet.Run(seconds(4));
  REQUIRE(fleet.AnswerTo("write without id") != nullptr);
  CHECK(InfoOf(fleet.AnswerTo("write without id")->code).outcome ==
        Outcome::kUnknown);
  CheckGolden(fleet, "late_answer");
}

TEST_CASE("A replaced primary's late answer does not answer the second attempt",
          "[sessions][guarantee]") {
  // Guards against calls of the old term that stay open after the promotion:
  // their answer would be taken for that of the new primary.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  fleet.DelayAnswers("bookings-1", milliseconds(1500));
  fleet.DelayAnswers("bookings-2", milliseconds(2500));
  group.member("bookings-1").replicates = false;
  fleet.Call("write", "e4", Write("set facade booked", "w1"));
  fleet.Run(milliseconds(50));
  const std::string coordinator = fleet.CoordinatorOf("bookings");
  fleet.Partition(coordinator, "bookings-1");
  fleet.Run(seconds(1));
  fleet.Heal(coordinator, "bookings-1");
  fleet.Run(seconds(1));
  REQUIRE(PrimaryHolds(fleet, "set facade booked"));
  CHECK(fleet.AnswerTo("write") == nullptr);
  fleet.Run(seconds(3));
  REQUIRE(fleet.AnswerTo("write") != nullptr);
  CHECK(fleet.AnswerTo("write")->served_by == "bookings-2");
}

TEST_CASE("A coordinator that wakes after its lease acknowledges nothing",
          "[sessions][guarantee]") {
  // Guards against two coordinators at a time: the old one is paused with a
  // write in flight and resumes when its successor serves.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  const std::string old_coordinator = fleet.CoordinatorOf("bookings");
  const std::string other_entry = old_coordinator == "e4" ? "e3" : "e4";
  fleet.Call("write without id", other_entry, Write("set facade booked"));
  fleet.Run(milliseconds(8));
  fleet.Pause(old_coordinator);
  REQUIRE(fleet.RunUntil(
      [&] { return !fleet.CoordinatorOf("bookings").empty(); }, seconds(5)));
  fleet.Run(milliseconds(200));
  fleet.Resume(old_coordinator);
  fleet.Run(seconds(2));
  CHECK(fleet.CoordinatorOf("bookings") != old_coordinator);
  REQUIRE(fleet.AnswerTo("write without id") != nullptr);
  CHECK(InfoOf(fleet.AnswerTo("write without id")->code).outcome ==
        Outcome::kUnknown);
  CheckGolden(fleet, "paused_coordinator");
}

TEST_CASE(
    "A write without a majority is not acknowledged and later writes "
    "are refused before they are sent",
    "[sessions][guarantee]") {
  // Guards against an acknowledged write that only the primary holds.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  fleet.AddToTranscript("both replicas are 30 s behind");
  group.member("bookings-2").lag = seconds(30);
  group.member("bookings-3").lag = seconds(30);
  entry::CallerRequest write = Write("set facade booked", "w1");
  write.timeout = milliseconds(800);
  CHECK(fleet.CallAndWait("write", "e4", write).code ==
        ResultCode::kNotReplicated);
}

TEST_CASE("A failed primary is replaced within two seconds",
          "[sessions][guarantee]") {
  // Guards against a failover that leaves writes unserved for too long: 2 s, or
  // 5 s if the control leader fails as well.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  fleet.CallAndWait("before", "e4", Write("set a 1", "w1"));
  fleet.KillEndpoint("bookings-1");
  const Time killed = fleet.now();

  SECTION("with all control members up") {
    fleet.CallAndWait("after", "e4", Write("set b 2", "w2"));
    CHECK(fleet.now() - killed < seconds(2));
    CheckGolden(fleet, "failover");
  }
  SECTION("with the control leader lost at the same moment") {
    const std::string leader = fleet.ControlLeader();
    fleet.Kill(leader);
    const std::string entry_name = leader == "e4" ? "e3" : "e4";
    CHECK(fleet.CallAndWait("after", entry_name, Write("set b 2", "w2")).code ==
          ResultCode::kOk);
    CHECK(fleet.now() - killed < seconds(5));
  }
}

}  // namespace goldcrest::sessions
