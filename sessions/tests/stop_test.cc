#include <catch2/catch.hpp>

#include "goldcrest/sessions/fleet.h"
#include "tests/requests.h"

namespace goldcrest::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longest time until a leaving endpoint gets no new statements.
constexpr Duration kLeavingBound = seconds(3);

messages::Object LeavingLabel(const std::string& endpoint) {
  messages::Object object;
  object.kind = messages::ObjectKind::ENDPOINT;
  object.name = endpoint;
  object.labels["state"] = "leaving";
  return object;
}

std::size_t StatementsSent(const Fleet& fleet, const std::string& endpoint) {
  std::size_t count = 0;
  for (const auto& [sent, call] : fleet.sent_calls()) {
    if (call.endpoint == endpoint &&
        call.operation == coordinator::EndpointOperation::kStatement)
      ++count;
  }
  return count;
}

// Sends one write and one read every 20 ms, `count` times, through each of the
// entries in turn.
void SendLoad(Fleet& fleet,
              const std::string& label,
              int count,
              const std::vector<std::string>& entries) {
  for (int i = 0; i < count; ++i) {
    const std::string& entry_name =
        entries[static_cast<std::size_t>(i) % entries.size()];
    fleet.Call(label + " write " + std::to_string(i), entry_name,
               Write("incr n", label + std::to_string(i)));
    fleet.Call(label + " read " + std::to_string(i), entry_name, Read("get n"));
    fleet.Run(milliseconds(20));
  }
}

// Counts requests of SendLoad() that were not answered with success.
int CountFailed(const Fleet& fleet, const std::string& label, int count) {
  int failed = 0;
  for (int i = 0; i < count; ++i) {
    for (const char* kind : {" write ", " read "}) {
      const auto* answer = fleet.AnswerTo(label + kind + std::to_string(i));
      if (answer == nullptr || answer->code != ResultCode::kOk)
        ++failed;
    }
  }
  return failed;
}

}  // namespace

TEST_CASE("A leaving endpoint gets no new statements and no request fails",
          "[sessions][guarantee]") {
  // Guards against statements that are sent to an endpoint that is about to
  // stop.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  const std::vector<std::string> entries = {"e1", "e2", "e3", "e4"};
  SendLoad(fleet, "before", 5, entries);

  std::string leaving = "bookings-2";
  SECTION("a replica, by an operator's label") {
    REQUIRE(fleet
                .Configure(
                    "e2", MakeChange("leave", -1, {LeavingLabel("bookings-2")}))
                .code == 0);
  }
  SECTION("the primary, by an operator's label") {
    leaving = "bookings-1";
    REQUIRE(fleet
                .Configure(
                    "e2", MakeChange("leave", -1, {LeavingLabel("bookings-1")}))
                .code == 0);
    SendLoad(fleet, "during", 20, entries);
    fleet.Run(seconds(1));
    CHECK(CountFailed(fleet, "during", 20) == 0);
    CHECK(fleet.PrimaryOf("bookings") != "bookings-1");
  }
  SECTION("a replica, by its own announcement") {
    messages::Announcement announcement;
    announcement.info = group.member("bookings-2").info;
    announcement.info.leaving = true;
    fleet.Announce("e3", announcement);
  }
  fleet.Run(kLeavingBound);
  const std::size_t sent = StatementsSent(fleet, leaving);
  SendLoad(fleet, "after", 20, entries);
  fleet.Run(seconds(1));
  CHECK(CountFailed(fleet, "after", 20) == 0);
  CHECK(StatementsSent(fleet, leaving) == sent);
}

TEST_CASE("A leaving primary is replaced without losing statements or writes",
          "[sessions][guarantee]") {
  // Guards against a planned promotion that interrupts a running statement or
  // loses a write that only the primary has acknowledged.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  const messages::Change leave =
      MakeChange("leave", -1, {LeavingLabel("bookings-1")});

  SECTION("a statement that runs") {
    fleet.DelayAnswers("bookings-1", milliseconds(400));
    fleet.Call("slow", "e4", Write("set slow 1"));
    fleet.Run(milliseconds(50));
    REQUIRE(fleet.Configure("e2", leave).code == 0);
    SendLoad(fleet, "during", 20, {"e3", "e4"});
    fleet.Run(seconds(2));
    CHECK(CountFailed(fleet, "during", 20) == 0);
    CHECK(fleet.AnswerTo("slow")->code == ResultCode::kOk);
  }
  SECTION("a write that has not reached a replica") {
    messages::Object rule = *fleet.entry("e1").view().configuration().Find(
        messages::ObjectKind::ACCESS, "bookings");
    rule.__set_durability(messages::Durability::PRIMARY);
    REQUIRE(fleet.Configure("e2", MakeChange("risk", -1, {rule})).code == 0);
    group.member("bookings-2").lag = seconds(1);
    group.member("bookings-3").lag = seconds(1);
    CHECK(fleet.CallAndWait("write", "e4", Write("set a 1")).code ==
          ResultCode::kOk);
    REQUIRE(fleet.Configure("e2", leave).code == 0);
    fleet.Run(seconds(2));
    CHECK(group.CountRuns(fleet.PrimaryOf("bookings"), "set a 1") == 1);
  }
  CHECK(fleet.PrimaryOf("bookings") != "bookings-1");
}

TEST_CASE("A replica that is labelled as leaving is not promoted",
          "[sessions][guarantee]") {
  // Guards against an unplanned promotion of an endpoint that is about to stop.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  REQUIRE(fleet
              .Configure("e2",
                         MakeChange("leave", -1, {LeavingLabel("bookings-2")}))
              .code == 0);
  fleet.KillEndpoint("bookings-1");
  CHECK(fleet.CallAndWait("write", "e4", Write("set a 1", "w1")).code ==
        ResultCode::kOk);
  CHECK(fleet.PrimaryOf("bookings") == "bookings-3");
  for (const auto& [sent, call] : fleet.sent_calls()) {
    if (call.endpoint == "bookings-2")
      CHECK(call.operation != coordinator::EndpointOperation::kPromote);
  }
}

TEST_CASE("An entry stops after its own requests have ended",
          "[sessions][guarantee]") {
  // Guards against a stopping entry that drops requests in flight.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  fleet.DelayAnswers("bookings-1", milliseconds(500));
  fleet.Call("slow", "e4", Write("set slow 1"));
  fleet.Run(milliseconds(50));
  fleet.Drain("e4");
  REQUIRE(fleet.RunUntil([&] { return fleet.entry("e4").IsDrained(); },
                         seconds(5)));
  REQUIRE(fleet.AnswerTo("slow") != nullptr);
  CHECK(fleet.AnswerTo("slow")->code == ResultCode::kOk);
}

TEST_CASE("A planned stop cuts no request", "[sessions][guarantee]") {
  // Guards against requests that fail while a stopping instance hands over its
  // roles.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  std::string stopping;
  SECTION("of the group's coordinator") {
    stopping = fleet.CoordinatorOf("bookings");
  }
  SECTION("of another entry") {
    stopping = fleet.CoordinatorOf("bookings") == "e4" ? "e3" : "e4";
  }
  std::vector<std::string> others;
  for (const std::string& name : fleet.instances()) {
    if (name != stopping)
      others.push_back(name);
  }
  SendLoad(fleet, "before", 10, fleet.instances());
  fleet.Drain(stopping);
  SendLoad(fleet, "during", 40, others);
  fleet.Run(seconds(2));
  CHECK(CountFailed(fleet, "before", 10) == 0);
  CHECK(CountFailed(fleet, "during", 40) == 0);
  CHECK(fleet.entry(stopping).IsDrained());
  CHECK(fleet.CoordinatorOf("bookings") != stopping);
}

// Guards against a coordinator's lease that lapses because a control member
// that has just been restarted, and leads, is still taken for unresponsive.
TEST_CASE("Control members that are restarted in turn renew all leases",
          "[sessions][guarantee]") {
  const int gap_ms = GENERATE(range(0, 1'200, 100));
  CAPTURE(gap_ms);
  Fleet fleet(5, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  fleet.Run(seconds(4));
  int writes = 0;
  const auto run_with_load = [&](Duration duration) {
    for (const Time end = fleet.now() + duration; fleet.now() < end; ++writes) {
      const std::string id = std::to_string(writes);
      fleet.Call("write " + id, writes % 2 == 0 ? "e4" : "e5",
                 Write("incr n", id));
      fleet.Run(milliseconds(20));
    }
  };
  const auto stop_and_restart_leader = [&] {
    REQUIRE(fleet.RunUntil([&] { return !fleet.ControlLeader().empty(); },
                           seconds(5)));
    const std::string leader = fleet.ControlLeader();
    fleet.Drain(leader);
    run_with_load(milliseconds(500));
    fleet.Kill(leader);
    run_with_load(milliseconds(100));
    fleet.Restart(leader);
  };
  for (int stops = 0; stops < 6; ++stops) {
    run_with_load(milliseconds(gap_ms));
    stop_and_restart_leader();
  }
  run_with_load(seconds(3));
  fleet.Run(seconds(10));
  int unknown = 0;
  for (int i = 0; i < writes; ++i) {
    const auto* answer = fleet.AnswerTo("write " + std::to_string(i));
    REQUIRE(answer != nullptr);
    unknown += answer->code == ResultCode::kOutcomeUnknown ? 1 : 0;
  }
  CHECK(unknown == 0);
  CHECK(fleet.transcript().find("lapsed") == std::string::npos);
}

}  // namespace goldcrest::sessions
