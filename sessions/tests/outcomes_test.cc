#include <catch2/catch.hpp>

#include "goldcrest/sessions/fleet.h"
#include "tests/requests.h"

namespace goldcrest::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

int TimesRunOnPrimary(Fleet& fleet, const std::string& statement) {
  return fleet.group("bookings")
      .TimesRun(fleet.PrimaryOf("bookings"), statement);
}

}  // namespace

TEST_CASE("A request that may not be repeated runs at most once",
          "[sessions][guarantee]") {
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(Prepare(fleet));
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
  // Guards against an answer of another customer's request.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(Prepare(fleet));
  fleet.CallAndWait("first", "e4", Write("set a 1", "p1"));
  const auto second = fleet.CallAndWait(
      "second", "e4", Write("set b 2", "p1", "key-of-the-brasserie"));
  CHECK(second.value == "2");
  CHECK(TimesRunOnPrimary(fleet, "set b 2") == 1);
}

TEST_CASE("A late or crossed answer goes to no caller",
          "[sessions][guarantee]") {
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(Prepare(fleet));
  fleet.CallAndWait("set a", "e4", Write("set a 1", "a"));
  fleet.CallAndWait("set b", "e4", Write("set b 2", "b"));
  fleet.Run(seconds(1));

  SECTION("late: the first caller has given up, the second gets its own") {
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
  SECTION("crossed: an answer with another call's id is dropped") {
    fleet.CrossAnswers("bookings-2", 1);
    fleet.CrossAnswers("bookings-3", 1);
    fleet.Call("read a", "e4", Read("get a"));
    fleet.Call("read b", "e3", Read("get b"));
    fleet.Run(seconds(2));
    CHECK(fleet.AnswerTo("read a")->value == "1");
    CHECK(fleet.AnswerTo("read b")->value == "2");
  }
}

TEST_CASE("A refusal that says not run is true", "[sessions][guarantee]") {
  // Each refusal that can be brought about is followed by a look at the logs
  // of all members: none may hold the statement.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(Prepare(fleet));
  entry::CallerRequest write = Write("set refused 1");
  write.timeout = milliseconds(800);
  std::string at = "e4";

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
    // The lag grows while the replicas still make progress, so this is no
    // isolated primary.
    for (int i = 0; i < 100; ++i) {
      group.member("bookings-2").lag = milliseconds(40 * i);
      group.member("bookings-3").lag = milliseconds(40 * i);
      fleet.Call("load", "e3", Write("incr n"));
      fleet.Run(milliseconds(50));
    }
  }
  const auto answer = fleet.CallAndWait("refused", at, write);
  CAPTURE(InfoOf(answer.code).name);
  REQUIRE(InfoOf(answer.code).outcome == Outcome::kNotRun);
  fleet.HealAll();
  fleet.Run(seconds(8));
  for (const auto& [name, member] : group.members())
    CHECK(group.TimesRun(name, "set refused 1") == 0);
}

TEST_CASE("No customer gets more than its rate and burst over all instances",
          "[sessions][guarantee]") {
  // The brasserie has 100 requests a second and a burst of 20. Each statement
  // that runs is counted; the bound holds over any interval.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 100);
  REQUIRE(Prepare(fleet));
  std::vector<Time> ran;
  int next = 0;
  std::string skip;
  const auto load = [&](Duration length) {
    const Time end = fleet.now() + length;
    while (fleet.now() < end) {
      for (const std::string& at : fleet.instances()) {
        if (at == skip)
          continue;
        entry::CallerRequest read = Read("get n", "key-of-the-brasserie");
        read.timeout = milliseconds(300);
        fleet.Call("q" + std::to_string(next++), at, read);
      }
      fleet.Run(milliseconds(10));
    }
  };
  load(seconds(2));
  SECTION("when an entry dies with its share and restarts") {
    fleet.Kill("e4");
    skip = "e4";
    load(seconds(1));
    fleet.Restart("e4");
    skip.clear();
    load(seconds(4));
  }
  SECTION("when the owner of the bucket fails over") {
    skip = fleet.ControlLeader();
    fleet.Kill(skip);
    load(seconds(6));
  }
  SECTION("when the owner is isolated and thinks that it still owns") {
    fleet.Isolate(fleet.ControlLeader());
    load(seconds(3));
    fleet.HealAll();
    load(seconds(3));
  }
  fleet.Run(seconds(1));
  for (const auto& [sent, call] : fleet.sent_calls()) {
    if (call.operation == coordinator::EndpointOperation::kStatement)
      ran.push_back(sent);
  }
  REQUIRE(ran.size() > 100);
  std::size_t worst = 0;
  for (std::size_t first = 0; first < ran.size(); ++first) {
    for (std::size_t last = first; last < ran.size(); ++last) {
      const double length =
          std::chrono::duration<double>(ran[last] - ran[first]).count();
      const double allowed = 100.0 * length + 20.0;
      const double took = static_cast<double>(last - first + 1);
      // A statement leaves its coordinator up to 5 ms after its token was
      // taken, which is half a request at this rate.
      if (took > allowed + 1.0)
        ++worst;
    }
  }
  CHECK(worst == 0);
}

}  // namespace goldcrest::sessions
