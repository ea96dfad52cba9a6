#include <catch2/catch.hpp>

#include "goldcrest/sessions/fleet.h"
#include "goldcrest/types/digest.h"
#include "tests/requests.h"

namespace goldcrest::sessions {

TEST_CASE("A write and its own read through another entry",
          "[sessions][guarantee]") {
  // Guards against a read at another entry that misses the session's write.
  Fleet fleet(4, 3);
  fleet.AddGroup("bookings", 3, 3);
  REQUIRE(SetUpBookings(fleet));

  const auto write =
      fleet.CallAndWait("write", "e4", Write("set facade booked", "w1"));
  REQUIRE(write.code == ResultCode::kOk);
  entry::CallerRequest read = Read("get facade");
  read.session_token = write.session_token;
  CHECK(fleet.CallAndWait("own read", "e2", read).value == "booked");
  CheckGolden(fleet, "write_and_read");
}

}  // namespace goldcrest::sessions
