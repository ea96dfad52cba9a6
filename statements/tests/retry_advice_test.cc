#include "goldcrest/statements/retry_advice.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <set>

namespace goldcrest::statements {

using std::chrono::milliseconds;

// Guards against refused callers that all return at the same moment, and
// against a time at which the caller's deadline can no longer be met.
TEST_CASE("Refused callers return one by one and in time", "[statements]") {
  RetryAdvisor advisor;
  const Time now = TimeFromMicros(100'000'000);
  RetrySituation situation{now, now + milliseconds(500), milliseconds(50)};
  SECTION("Capacity is expected") {
    situation.capacity_at = now + milliseconds(40);
    situation.interval = milliseconds(30);
    CHECK(advisor.Advise(now, "a", situation) == milliseconds(40));
    CHECK(advisor.Advise(now, "a", situation) == milliseconds(70));
    CHECK(advisor.Advise(now, "b", situation) == milliseconds(40));
    CHECK(advisor.Advise(now + milliseconds(200), "a", situation) ==
          milliseconds(20));
  }
  SECTION("Nothing is known") {}
  SECTION("Capacity comes too late") {
    situation.capacity_at = now + milliseconds(451);
  }
  std::set<Duration> told;
  for (int i = 0; i < 50; ++i)
    told.insert(advisor.Advise(now, "a", situation));
  CHECK(told.size() >= 25);
  CHECK(*told.begin() >= milliseconds(20));
  CHECK(*told.rbegin() <= milliseconds(450));
}

}  // namespace goldcrest::statements
