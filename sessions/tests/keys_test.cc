#include <catch2/catch.hpp>

#include "goldcrest/sessions/fleet.h"
#include "goldcrest/types/digest.h"
#include "tests/requests.h"

namespace goldcrest::sessions {
namespace {

using messages::Operation;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Longest time until a withdrawn key is refused by all instances.
constexpr Duration kWithdrawalBound = seconds(6);

messages::Change WithdrawalChange() {
  return MakeChange("withdraw", -1, {KeyWithdrawal("k-town-hall")});
}

}  // namespace

TEST_CASE("A withdrawn key stops working everywhere within its bound",
          "[sessions][guarantee]") {
  // Guards against a request that runs with a key that was withdrawn while an
  // instance was isolated or paused, or while the request waited.
  Fleet fleet(5, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  REQUIRE(fleet.CallAndWait("before", "e5", Write("set a 1")).code ==
          ResultCode::kOk);

  SECTION("on an instance that control reaches") {
    CHECK(fleet.Configure("e1", WithdrawalChange()).code == 0);
    CHECK(fleet.CallAndWait("after", "e5", Write("set a 2")).code ==
          ResultCode::kKeyWithdrawn);
  }
  SECTION("on an isolated instance") {
    fleet.Isolate("e5");
    const Time start = fleet.now();
    const auto answer = fleet.Configure("e1", WithdrawalChange());
    CHECK(answer.code == 0);
    CHECK(answer.missing == std::vector<std::string>{"e5"});
    CHECK(fleet.now() - start < kWithdrawalBound);
    entry::CallerRequest read = Read("get a");
    CHECK(fleet.CallAndWait("isolated", "e5", read).code ==
          ResultCode::kNoControlContact);
    fleet.HealAll();
    fleet.Run(seconds(1));
    CHECK(fleet.CallAndWait("healed", "e5", read).code ==
          ResultCode::kKeyWithdrawn);
    CheckGolden(fleet, "withdrawal_isolated");
  }
  SECTION("on an instance that is paused and resumed") {
    fleet.Pause("e5");
    CHECK(fleet.Configure("e1", WithdrawalChange()).code == 0);
    fleet.Resume("e5");
    fleet.Call("on waking", "e5", Write("set a 3"));
    fleet.Run(seconds(2));
    REQUIRE(fleet.AnswerTo("on waking") != nullptr);
    CHECK(InfoOf(fleet.AnswerTo("on waking")->code).outcome ==
          Outcome::kNotRun);
    CHECK(fleet.group("bookings").CountRuns("bookings-1", "set a 3") == 0);
  }
  SECTION("for a request that waits in a queue") {
    // Three slow statements occupy all slots while the request waits.
    fleet.DelayAnswers("bookings-1", seconds(2));
    for (int i = 0; i < 3; ++i)
      fleet.Call("slow " + std::to_string(i), "e4",
                 Write("incr n", "", "key-of-the-brasserie"));
    fleet.Run(milliseconds(200));
    fleet.Call("queued", "e5", Write("set a 4"));
    CHECK(fleet.Configure("e1", WithdrawalChange()).code == 0);
    fleet.Run(seconds(4));
    REQUIRE(fleet.AnswerTo("queued") != nullptr);
    CHECK(fleet.AnswerTo("queued")->code == ResultCode::kKeyWithdrawn);
    CHECK(fleet.group("bookings").CountRuns("bookings-1", "set a 4") == 0);
  }
  SECTION("in an open transaction") {
    const auto begin = fleet.CallAndWait(
        "begin", "e5", InTransaction(Operation::BEGIN_WORK, "", "begin"));
    REQUIRE(begin.code == ResultCode::kOk);
    CHECK(fleet.Configure("e1", WithdrawalChange()).code == 0);
    fleet.Run(milliseconds(300));
    for (auto& [name, member] : fleet.group("bookings").members())
      CHECK(member.transactions.empty());
  }
}

TEST_CASE(
    "A key moved to another customer does not carry a waiting request "
    "along",
    "[sessions][guarantee]") {
  // Guards against a request that is admitted for one customer and runs for
  // another because its key was moved while it waited in a queue.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  fleet.DelayAnswers("bookings-1", seconds(2));
  for (int i = 0; i < 3; ++i)
    fleet.Call("slow " + std::to_string(i), "e4",
               Write("incr n", "", "key-of-the-brasserie"));
  fleet.Run(milliseconds(200));
  fleet.Call("queued", "e4", Write("set a 4"));
  REQUIRE(fleet
              .Configure("e1", MakeChange("move", -1,
                                          {Key("k-town-hall", "brasserie",
                                               kTownHallKey)}))
              .code == 0);
  fleet.Run(seconds(4));
  REQUIRE(fleet.AnswerTo("queued") != nullptr);
  CHECK(fleet.AnswerTo("queued")->code == ResultCode::kKeyWithdrawn);
  CHECK(fleet.group("bookings").CountRuns("bookings-1", "set a 4") == 0);
}

TEST_CASE("A request without a key runs on open routes only",
          "[sessions][guarantee]") {
  // Guards against a request that runs with a missing or unknown key.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  entry::CallerRequest read = Read("get a");
  read.key_digest.clear();
  CHECK(fleet.CallAndWait("no key", "e4", read).code ==
        ResultCode::kKeyMissing);
  read.key_digest = Sha256("never issued");
  CHECK(fleet.CallAndWait("unknown key", "e4", read).code ==
        ResultCode::kKeyUnknown);
}

TEST_CASE("No endpoint and no message sees a caller's key",
          "[sessions][guarantee]") {
  // Guards against a key or its digest in calls to endpoints, and against a key
  // in answers and journal entries, which the transcript holds.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  fleet.CallAndWait("write", "e4", Write("set a 1", "w1"));
  fleet.CallAndWait("read", "e3", Read("get a"));
  const auto begin = fleet.CallAndWait(
      "begin", "e4", InTransaction(Operation::BEGIN_WORK, "", "begin"));
  fleet.CallAndWait("commit", "e4",
                    InTransaction(Operation::COMMIT, begin.transaction, ""));
  const std::string digest = Sha256(kTownHallKey);
  REQUIRE(!fleet.sent_calls().empty());
  for (const auto& [sent, call] : fleet.sent_calls()) {
    for (const std::string& text :
         {call.statement, call.request_id, call.transaction, call.primary}) {
      CHECK(text.find(kTownHallKey) == std::string::npos);
      CHECK(text.find(digest) == std::string::npos);
    }
  }
  CHECK(fleet.transcript().find(kTownHallKey) == std::string::npos);
}

}  // namespace goldcrest::sessions
