#include <catch2/catch.hpp>

#include "goldcrest/sessions/fleet.h"
#include "tests/requests.h"

namespace goldcrest::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

int TimesRunOnPrimary(Fleet& fleet, const std::string& statement) {
  return fleet.group("bookings")
      .CountRuns(fleet.PrimaryOf("bookings"), statement);
}

}  // namespace

TEST_CASE("A request that may not be repeated runs at most once",
          "[sessions][guarantee]") {
  // Guards against a second run after a lost answer, a resend or a failover.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  const std::string coordinator = fleet.CoordinatorOf("bookings");

  SECTION("without an id, when the answer is lost, it is not sent again") {
    fleet.DelayAnswers("bookings-1", seconds(10));
    entry::CallerRequest write = Write("incr pump");
    write.timeout = milliseconds(500);
    CHECK(fleet.CallAndWait("write", "e4", write).code ==
          ResultCode::kOutcomeUnknown);
    fleet.Run(seconds(2));
    CHECK(TimesRunOnPrimary(fleet, "incr pump") == 1);
  }
  SECTION("with an id, resent at another entry while it runs") {
    fleet.DelayAnswers("bookings-1", milliseconds(300));
    fleet.Call("first", "e4", Write("incr pump", "p1"));
    fleet.Run(milliseconds(50));
    const auto second =
        fleet.CallAndWait("resend", "e3", Write("incr pump", "p1"));
    CHECK(second.value == "1");
    fleet.Run(seconds(1));
    CHECK(fleet.AnswerTo("first")->value == "1");
    CHECK(TimesRunOnPrimary(fleet, "incr pump") == 1);
  }
  SECTION("with an id, resent after the coordinator died") {
    fleet.CallAndWait("first", "e4", Write("incr pump", "p1"));
    fleet.Kill(coordinator);
    const std::string other = coordinator == "e3" ? "e2" : "e3";
    CHECK(fleet.CallAndWait("resend", other, Write("incr pump", "p1")).value ==
          "1");
    CHECK(TimesRunOnPrimary(fleet, "incr pump") == 1);
    CheckGolden(fleet, "resend_after_coordinator");
  }
  SECTION("with an id, resent after a promotion") {
    fleet.CallAndWait("first", "e4", Write("incr pump", "p1"));
    fleet.KillEndpoint("bookings-1");
    fleet.Run(seconds(2));
    CHECK(fleet.CallAndWait("resend", "e3", Write("incr pump", "p1")).value ==
          "1");
    CHECK(TimesRunOnPrimary(fleet, "incr pump") == 1);
  }
  SECTION("with an id, when the primary dies before it has answered") {
    fleet.DelayAnswers("bookings-1", milliseconds(400));
    fleet.Call("write", "e4", Write("incr pump", "p1"));
    fleet.Run(milliseconds(100));
    fleet.KillEndpoint("bookings-1");
    fleet.Run(seconds(3));
    REQUIRE(fleet.AnswerTo("write") != nullptr);
    CHECK(fleet.AnswerTo("write")->code == ResultCode::kOk);
    CHECK(TimesRunOnPrimary(fleet, "incr pump") == 1);
  }
}

TEST_CASE("Two customers may use one request id", "[sessions][guarantee]") {
  // Guards against deduplication across customers: the second customer would
  // get the answer of the first one's request.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  fleet.CallAndWait("first", "e4", Write("set a 1", "p1"));
  const auto second = fleet.CallAndWait(
      "second", "e4", Write("set b 2", "p1", "key-of-the-brasserie"));
  CHECK(second.value == "2");
  CHECK(TimesRunOnPrimary(fleet, "set b 2") == 1);
}

TEST_CASE("A late or mismatched answer is delivered to no caller",
          "[sessions][guarantee]") {
  // Guards against an answer that reaches the caller of another request.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  fleet.CallAndWait("set a", "e4", Write("set a 1", "a"));
  fleet.CallAndWait("set b", "e4", Write("set b 2", "b"));
  fleet.Run(seconds(1));

  SECTION(
      "late: the first request has timed out, the second gets its own answer") {
    for (const char* name : {"bookings-1", "bookings-2", "bookings-3"})
      fleet.DelayAnswers(name, milliseconds(700));
    entry::CallerRequest late = Read("get a");
    late.timeout = milliseconds(300);
    fleet.Call("late", "e4", late);
    fleet.Run(milliseconds(400));
    for (const char* name : {"bookings-1", "bookings-2", "bookings-3"})
      fleet.DelayAnswers(name, milliseconds(0));
    CHECK(fleet.CallAndWait("next", "e4", Read("get b")).value == "2");
  }
  SECTION("mismatched: an answer with another call's id is dropped") {
    fleet.MismatchAnswers("bookings-2", 1);
    fleet.MismatchAnswers("bookings-3", 1);
    fleet.Call("read a", "e4", Read("get a"));
    fleet.Call("read b", "e3", Read("get b"));
    fleet.Run(seconds(2));
    CHECK(fleet.AnswerTo("read a")->value == "1");
    CHECK(fleet.AnswerTo("read b")->value == "2");
  }
}

TEST_CASE("A request that is refused as not run has not run",
          "[sessions][guarantee]") {
  // Guards against a refusal of a statement that runs all the same: no member's
  // log may hold the statement after any of these refusals.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  entry::CallerRequest write = Write("set refused 1");
  write.timeout = milliseconds(800);
  std::string entry_name = "e4";

  SECTION("no access") {
    write.group = "nowhere";
  }
  SECTION("invalid session") {
    write.session_token = "forged";
  }
  SECTION("unknown transaction") {
    write.transaction = "t0";
  }
  SECTION("rate exceeded") {
    write.key_digest = Write("", "", "key-of-the-brasserie").key_digest;
    for (int i = 0; i < 200; ++i)
      fleet.Call("load", "e4", Write("incr n", "", "key-of-the-brasserie"));
  }
  SECTION("deadline before it is sent") {
    fleet.DelayAnswers("bookings-1", seconds(5));
    for (int i = 0; i < 3; ++i)
      fleet.Call("slow", "e4", Write("incr n"));
    fleet.Run(milliseconds(100));
  }
  SECTION("no primary") {
    for (const char* name : {"bookings-1", "bookings-2", "bookings-3"})
      fleet.KillEndpoint(name);
    fleet.Run(seconds(1));
  }
  SECTION("no control contact") {
    fleet.Isolate("e4");
    fleet.Run(seconds(4));
  }
  SECTION("replicas behind") {
    // The lag grows while the replicas still make progress, so the primary does
    // not count as isolated.
    for (int i = 0; i < 100; ++i) {
      group.member("bookings-2").lag = milliseconds(40 * i);
      group.member("bookings-3").lag = milliseconds(40 * i);
      fleet.Call("load", "e3", Write("incr n"));
      fleet.Run(milliseconds(50));
    }
  }
  const auto answer = fleet.CallAndWait("refused", entry_name, write);
  CAPTURE(InfoOf(answer.code).name);
  REQUIRE(InfoOf(answer.code).outcome == Outcome::kNotRun);
  fleet.HealAll();
  fleet.Run(seconds(8));
  for (const auto& [name, member] : group.members())
    CHECK(group.CountRuns(name, "set refused 1") == 0);
}

TEST_CASE("No customer gets more than its rate and burst over all instances",
          "[sessions][guarantee]") {
  // Guards against tokens that are handed out twice when an entry or the owner
  // of the bucket fails. The customer "brasserie" has 100 requests a second and
  // a burst of 20; the limit holds for the statements of any interval.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 100);
  REQUIRE(SetUpBookings(fleet));
  std::vector<Time> sent_times;
  int next_request = 0;
  std::string skipped_entry;
  const auto send_load = [&](Duration duration) {
    const Time end = fleet.now() + duration;
    while (fleet.now() < end) {
      for (const std::string& entry_name : fleet.instances()) {
        if (entry_name == skipped_entry)
          continue;
        entry::CallerRequest read = Read("get n", "key-of-the-brasserie");
        read.timeout = milliseconds(300);
        fleet.Call("q" + std::to_string(next_request++), entry_name, read);
      }
      fleet.Run(milliseconds(10));
    }
  };
  send_load(seconds(2));
  SECTION("when an entry dies with its share and restarts") {
    fleet.Kill("e4");
    skipped_entry = "e4";
    send_load(seconds(1));
    fleet.Restart("e4");
    skipped_entry.clear();
    send_load(seconds(4));
  }
  SECTION("when the owner of the bucket fails over") {
    skipped_entry = fleet.ControlLeader();
    fleet.Kill(skipped_entry);
    send_load(seconds(6));
  }
  SECTION("when the owner is isolated and still acts as the owner") {
    fleet.Isolate(fleet.ControlLeader());
    send_load(seconds(3));
    fleet.HealAll();
    send_load(seconds(3));
  }
  fleet.Run(seconds(1));
  for (const auto& [sent, call] : fleet.sent_calls()) {
    if (call.operation == coordinator::EndpointOperation::kStatement)
      sent_times.push_back(sent);
  }
  REQUIRE(sent_times.size() > 100);
  std::size_t violations = 0;
  for (std::size_t first = 0; first < sent_times.size(); ++first) {
    for (std::size_t last = first; last < sent_times.size(); ++last) {
      const double elapsed_s =
          std::chrono::duration<double>(sent_times[last] - sent_times[first])
              .count();
      const double allowed = 100.0 * elapsed_s + 20.0;
      const double sent_count = static_cast<double>(last - first + 1);
      // A statement leaves its coordinator up to 5 ms after its token was
      // taken, which is worth half a request at this rate.
      if (sent_count > allowed + 1.0)
        ++violations;
    }
  }
  CHECK(violations == 0);
}

}  // namespace goldcrest::sessions
