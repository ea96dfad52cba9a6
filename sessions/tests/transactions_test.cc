#include <catch2/catch.hpp>

#include "goldcrest/sessions/fleet.h"
#include "tests/requests.h"

namespace goldcrest::sessions {
namespace {

using messages::Operation;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string BeginTransaction(Fleet& fleet, const std::string& entry_name) {
  return fleet
      .CallAndWait("begin", entry_name,
                   InTransaction(Operation::BEGIN_WORK, "", "begin"))
      .transaction;
}

}  // namespace

TEST_CASE("A transaction belongs to one customer and is atomic",
          "[sessions][guarantee]") {
  // Guards against statements of another customer in a transaction, reads of
  // uncommitted writes, and transactions that stay open without a caller.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  const std::string transaction_name = BeginTransaction(fleet, "e4");
  REQUIRE(!transaction_name.empty());
  CHECK(fleet
            .CallAndWait(
                "inside", "e3",
                InTransaction(Operation::WRITE, transaction_name, "set a 1"))
            .code == ResultCode::kOk);

  SECTION("another customer that sends its name is refused") {
    entry::CallerRequest other_customer =
        InTransaction(Operation::WRITE, transaction_name, "set a 2");
    other_customer.key_digest =
        Write("", "", "key-of-the-brasserie").key_digest;
    CHECK(fleet.CallAndWait("foreign", "e2", other_customer).code ==
          ResultCode::kUnknownTransaction);
  }
  SECTION("others do not see it before its commit, and do after") {
    CHECK(fleet.CallAndWait("outside", "e2", Write("incr n")).value == "1");
    CHECK(fleet.CallAndWait("read outside", "e2", Read("get a")).value.empty());
    CHECK(fleet
              .CallAndWait(
                  "commit", "e2",
                  InTransaction(Operation::COMMIT, transaction_name, "commit"))
              .code == ResultCode::kOk);
    fleet.Run(milliseconds(200));
    CHECK(fleet.CallAndWait("read after", "e2", Read("get a")).value == "1");
  }
  SECTION("it survives the entry that it was begun through") {
    if (fleet.CoordinatorOf("bookings") != "e4")
      fleet.Kill("e4");
    CHECK(fleet
              .CallAndWait(
                  "commit elsewhere", "e3",
                  InTransaction(Operation::COMMIT, transaction_name, "commit"))
              .code == ResultCode::kOk);
  }
  SECTION("an abandoned transaction holds its slot for a bounded time") {
    fleet.Run(seconds(4));
    CHECK(fleet
              .CallAndWait(
                  "late", "e2",
                  InTransaction(Operation::WRITE, transaction_name, "set a 3"))
              .code == ResultCode::kUnknownTransaction);
    CHECK(group.member("bookings-1").transactions.empty());
  }
}

TEST_CASE("A resent commit whose answer was lost reports whether it ran",
          "[sessions][guarantee]") {
  // Guards against a commit that runs twice, or is reported as aborted although
  // it ran.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  const std::string transaction_name = BeginTransaction(fleet, "e4");
  fleet.CallAndWait(
      "inside", "e4",
      InTransaction(Operation::WRITE, transaction_name, "incr n"));
  entry::CallerRequest commit =
      InTransaction(Operation::COMMIT, transaction_name, "commit", "c1");
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
    CHECK(group.CountRuns("bookings-1", "commit") == 1);
  }
  SECTION("it did not run: the commit never reached the endpoint") {
    fleet.Partition(coordinator, "bookings-1");
    fleet.Call("commit", "e4", commit);
    fleet.Run(milliseconds(400));
    fleet.Heal(coordinator, "bookings-1");
    fleet.Run(seconds(3));
    commit.timeout = seconds(3);
    const auto resend = fleet.CallAndWait("resend", "e3", commit);
    CHECK(resend.code == ResultCode::kTransactionAborted);
    for (const auto& [endpoint, member] : group.members())
      CHECK(group.CountRuns(endpoint, "commit") == 0);
  }
}

}  // namespace goldcrest::sessions
