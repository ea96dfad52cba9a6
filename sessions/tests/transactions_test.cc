#include <catch2/catch.hpp>

#include "goldcrest/sessions/fleet.h"
#include "tests/requests.h"

namespace goldcrest::sessions {
namespace {

using messages::Operation;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string Begin(Fleet& fleet, const std::string& at) {
  return fleet
      .CallAndWait("begin", at,
                   InTransaction(Operation::BEGIN_WORK, "", "begin"))
      .transaction;
}

}  // namespace

TEST_CASE("A transaction is one caller's own and ends whole",
          "[sessions][guarantee]") {
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(Prepare(fleet));
  const std::string name = Begin(fleet, "e4");
  REQUIRE(!name.empty());
  CHECK(fleet
            .CallAndWait("inside", "e3",
                         InTransaction(Operation::WRITE, name, "set a 1"))
            .code == ResultCode::kOk);

  SECTION("another customer that shows its name is refused") {
    entry::CallerRequest foreign =
        InTransaction(Operation::WRITE, name, "set a 2");
    foreign.key_digest = Write("", "", "key-of-the-brasserie").key_digest;
    CHECK(fleet.CallAndWait("foreign", "e2", foreign).code ==
          ResultCode::kUnknownTransaction);
  }
  SECTION("others do not see it before its commit, and do after") {
    CHECK(fleet.CallAndWait("outside", "e2", Write("incr n")).value == "1");
    CHECK(fleet.CallAndWait("read outside", "e2", Read("get a")).value.empty());
    CHECK(fleet
              .CallAndWait("commit", "e2",
                           InTransaction(Operation::COMMIT, name, "commit"))
              .code == ResultCode::kOk);
    fleet.Run(milliseconds(200));
    CHECK(fleet.CallAndWait("read after", "e2", Read("get a")).value == "1");
  }
  SECTION("it survives the entry through which it came") {
    if (fleet.CoordinatorOf("bookings") != "e4")
      fleet.Kill("e4");
    CHECK(fleet
              .CallAndWait("commit elsewhere", "e3",
                           InTransaction(Operation::COMMIT, name, "commit"))
              .code == ResultCode::kOk);
  }
  SECTION("a caller that goes away holds its slot for a bounded time") {
    fleet.Run(seconds(4));
    CHECK(fleet
              .CallAndWait("late", "e2",
                           InTransaction(Operation::WRITE, name, "set a 3"))
              .code == ResultCode::kUnknownTransaction);
    CHECK(group.member("bookings-1").transactions.empty());
  }
}

TEST_CASE("A resent commit whose answer was lost tells the truth",
          "[sessions][guarantee]") {
  // Guards against a commit that runs twice, or that is called aborted
  // although it ran.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(Prepare(fleet));
  const std::string name = Begin(fleet, "e4");
  fleet.CallAndWait("inside", "e4",
                    InTransaction(Operation::WRITE, name, "incr n"));
  entry::CallerRequest commit =
      InTransaction(Operation::COMMIT, name, "commit", "c1");
  commit.timeout = milliseconds(300);
  const std::string coordinator = fleet.CoordinatorOf("bookings");

  SECTION("it ran: the coordinator died before the answer") {
    fleet.DelayAnswers("bookings-1", milliseconds(400));
    fleet.Call("commit", "e4", commit);
    fleet.Run(milliseconds(30));
    fleet.Kill(coordinator);
    fleet.Run(seconds(3));
    commit.timeout = seconds(3);
    fleet.DelayAnswers("bookings-1", milliseconds(0));
    CHECK(fleet.CallAndWait("resend", coordinator == "e3" ? "e2" : "e3", commit)
              .code == ResultCode::kOk);
    CHECK(group.TimesRun("bookings-1", "commit") == 1);
  }
  SECTION("it did not run: the commit never reached the endpoint") {
    fleet.Cut(coordinator, "bookings-1");
    fleet.Call("commit", "e4", commit);
    fleet.Run(milliseconds(400));
    fleet.Heal(coordinator, "bookings-1");
    fleet.Run(seconds(3));
    commit.timeout = seconds(3);
    const auto resend = fleet.CallAndWait("resend", "e3", commit);
    CHECK(resend.code == ResultCode::kTransactionAborted);
    for (const auto& [endpoint, member] : group.members())
      CHECK(group.TimesRun(endpoint, "commit") == 0);
  }
}

}  // namespace goldcrest::sessions
