#include <catch2/catch.hpp>

#include "goldcrest/sessions/fleet.h"
#include "tests/requests.h"

namespace goldcrest::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

entry::CallerRequest ReadWith(const std::string& statement,
                              const std::string& token) {
  entry::CallerRequest read = Read(statement);
  read.session_token = token;
  return read;
}

}  // namespace

TEST_CASE("A session reads its own write wherever it roams",
          "[sessions][guarantee]") {
  // Guards against a read at a replica that has not reached the session's
  // write: replicas 2 s behind, a promotion, a restarted entry, a token of an
  // earlier term.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(Prepare(fleet));
  group.member("bookings-3").lag = seconds(2);

  auto write = fleet.CallAndWait("write 1", "e4", Write("set van mons", "w1"));
  REQUIRE(write.code == ResultCode::kOk);
  CHECK(fleet
            .CallAndWait("read at e2", "e2",
                         ReadWith("get van", write.session_token))
            .value == "mons");
  CHECK(fleet
            .CallAndWait("read at e3", "e3",
                         ReadWith("get van", write.session_token))
            .value == "mons");

  fleet.KillEndpoint("bookings-1");
  const auto after = fleet.CallAndWait(
      "read after promotion", "e2", ReadWith("get van", write.session_token));
  CHECK(after.code == ResultCode::kOk);
  CHECK(after.value == "mons");

  fleet.Kill("e4");
  fleet.Run(milliseconds(100));
  fleet.Restart("e4");
  fleet.Run(seconds(2));
  CHECK(fleet
            .CallAndWait("read at the restarted entry", "e4",
                         ReadWith("get van", write.session_token))
            .value == "mons");
  CheckGolden(fleet, "roaming");
}

TEST_CASE("A session reads at no replica that lacks its write",
          "[sessions][guarantee]") {
  // The replica that lacks the write is the one that reads go to first.
  Fleet fleet(4, 3);
  FakeGroup& group = fleet.AddGroup("bookings", 3, 3);
  REQUIRE(Prepare(fleet));
  entry::CallerAnswer write;

  SECTION("because it is behind") {
    group.member("bookings-2").lag = seconds(2);
    write = fleet.CallAndWait("write", "e4", Write("set van mons", "w1"));
  }
  SECTION("because it has a longer log of the term before") {
    // bookings-1 takes writes that no replica gets, is replaced, and follows
    // its successor before it has pulled the new log.
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
  CHECK(
      fleet.CallAndWait("read", "e2", ReadWith("get van", write.session_token))
          .value == "mons");
}

TEST_CASE("A forged session token is refused and nothing runs",
          "[sessions][guarantee]") {
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(Prepare(fleet));
  auto write = fleet.CallAndWait("write", "e4", Write("set van mons", "w1"));
  std::string token = write.session_token;
  token[token.size() / 2] = token[token.size() / 2] == 'A' ? 'B' : 'A';
  CHECK(fleet.CallAndWait("forged", "e2", ReadWith("get van", token)).code ==
        ResultCode::kInvalidSession);

  entry::CallerRequest foreign = Read("get van", "key-of-the-brasserie");
  foreign.session_token = write.session_token;
  CHECK(fleet.CallAndWait("another customer's", "e2", foreign).code ==
        ResultCode::kInvalidSession);
}

}  // namespace goldcrest::sessions
