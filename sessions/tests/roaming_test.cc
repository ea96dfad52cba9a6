#include <catch2/catch.hpp>

#include "goldcrest/sessions/fleet.h"
#include "tests/requests.h"

namespace goldcrest::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

entry::CallerRequest ReadWithToken(const std::string& statement,
                                   const std::string& token) {
  entry::CallerRequest read = Read(statement);
  read.session_token = token;
  return read;
}

}  // namespace

TEST_CASE("A session reads its own write wherever it roams",
          "[sessions][guarantee]") {
  // Guards against a read at a replica that has not reached the session's
  // write: with a replica 2 s behind, after a promotion with a token of the
  // earlier term, and through a restarted entry.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  group.member("bookings-3").lag = seconds(2);

  auto write = fleet.CallAndWait("write 1", "e4", Write("set van mons", "w1"));
  REQUIRE(write.code == ResultCode::kOk);
  CHECK(fleet
            .CallAndWait("read at e2", "e2",
                         ReadWithToken("get van", write.session_token))
            .value == "mons");
  CHECK(fleet
            .CallAndWait("read at e3", "e3",
                         ReadWithToken("get van", write.session_token))
            .value == "mons");

  fleet.KillEndpoint("bookings-1");
  const auto after =
      fleet.CallAndWait("read after promotion", "e2",
                        ReadWithToken("get van", write.session_token));
  CHECK(after.code == ResultCode::kOk);
  CHECK(after.value == "mons");

  fleet.Kill("e4");
  fleet.Run(milliseconds(100));
  fleet.Restart("e4");
  fleet.Run(seconds(2));
  CHECK(fleet
            .CallAndWait("read at the restarted entry", "e4",
                         ReadWithToken("get van", write.session_token))
            .value == "mons");
  CheckGolden(fleet, "roaming");
}

TEST_CASE("A session reads at no replica that lacks its write",
          "[sessions][guarantee]") {
  // Guards against a read at a replica without the session's write. That
  // replica is the first choice for reads.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  entry::CallerAnswer write;

  SECTION("because it is behind") {
    group.member("bookings-2").lag = seconds(2);
    write = fleet.CallAndWait("write", "e4", Write("set van mons", "w1"));
  }
  SECTION("because it has a longer log of the earlier term") {
    // bookings-1 accepts writes that reach no replica, is replaced, and becomes
    // a replica that has not yet pulled the new primary's log.
    group.member("bookings-1").replicates = false;
    for (int i = 0; i < 6; ++i)
      fleet.Call("lost " + std::to_string(i), "e4", Write("set van gent"));
    fleet.Run(seconds(2));
    REQUIRE(fleet.PrimaryOf("bookings") == "bookings-2");
    write = fleet.CallAndWait("write", "e4", Write("set van mons", "w1"));
    REQUIRE(group.member("bookings-1").term == 2);
    REQUIRE(group.member("bookings-1").log.size() >
            group.member("bookings-2").log.size());
  }
  REQUIRE(write.code == ResultCode::kOk);
  CHECK(fleet
            .CallAndWait("read", "e2",
                         ReadWithToken("get van", write.session_token))
            .value == "mons");
}

TEST_CASE("A forged session token is refused and nothing runs",
          "[sessions][guarantee]") {
  // Guards against a token that was altered or belongs to another customer.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));
  auto write = fleet.CallAndWait("write", "e4", Write("set van mons", "w1"));
  std::string token = write.session_token;
  token[token.size() / 2] = token[token.size() / 2] == 'A' ? 'B' : 'A';
  CHECK(
      fleet.CallAndWait("forged", "e2", ReadWithToken("get van", token)).code ==
      ResultCode::kInvalidSession);

  entry::CallerRequest other_customer = Read("get van", "key-of-the-brasserie");
  other_customer.session_token = write.session_token;
  CHECK(fleet.CallAndWait("another customer's", "e2", other_customer).code ==
        ResultCode::kInvalidSession);
}

}  // namespace goldcrest::sessions
