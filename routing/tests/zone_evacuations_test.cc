#include "goldcrest/routing/zone_evacuations.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "goldcrest/routing/endpoint_eligibility.h"

namespace goldcrest::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = TimeFromMicros(100'000'000);
constexpr Duration kTimeout = seconds(5);

messages::EvacuatedZones Set(std::int64_t index,
                             const std::vector<std::string>& zones) {
  messages::EvacuatedZones set;
  set.index = index;
  set.zones = zones;
  return set;
}

}  // namespace

// Guards against a controller that lags and restores a zone by an old set.
TEST_CASE("A set of evacuated zones with a lower index changes nothing",
          "[routing][guarantee]") {
  ZoneEvacuations evacuations(kTimeout);
  CHECK(evacuations.Apply(kStart, Set(7, {"z1"})).size() == 1);
  CHECK(evacuations.Apply(kStart, Set(6, {})).empty());
  CHECK(evacuations.Apply(kStart, Set(7, {})).empty());
  CHECK(evacuations.IsEvacuated("z1"));
  const auto changes = evacuations.Apply(kStart, Set(9, {"z2"}));
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].zone == "z2");
  CHECK_FALSE(changes[1].evacuated);
  CHECK_FALSE(evacuations.IsEvacuated("z1"));
}

// Guards against statements after the bound by an entry that learns late of the
// evacuation, because its answers were lost or it has just started.
TEST_CASE("A zone is closed within the bound, however late its set arrives",
          "[routing][guarantee]") {
  ZoneEvacuations evacuations(kTimeout);
  Time closed;

  SECTION("At once") {
    evacuations.Confirm(kStart, kStart);
    evacuations.Apply(kStart, Set(7, {"z1"}));
    closed = kStart + kTimeout / 2;
  }
  SECTION("Two seconds after the last confirmation") {
    evacuations.Confirm(kStart, kStart);
    evacuations.Apply(kStart + seconds(2), Set(7, {"z1"}));
    closed = kStart + kTimeout * 3 / 4;
  }
  SECTION("Without any confirmation") {
    evacuations.Apply(kStart, Set(7, {"z1"}));
    closed = kStart;
  }
  messages::EndpointRecord endpoint;
  endpoint.zone = "z1";
  CHECK_FALSE(MayGetWork(kStart, endpoint, evacuations, Work::kAnyMember));
  CHECK(MayGetWork(closed - milliseconds(1), endpoint, evacuations,
                   Work::kOnlyThisOne));
  CHECK_FALSE(MayGetWork(closed, endpoint, evacuations, Work::kOnlyThisOne));
  evacuations.Apply(closed, Set(8, {}));
  CHECK(MayGetWork(closed, endpoint, evacuations, Work::kAnyMember));
}

// Guards against an entry that goes on after a freeze by what it knew before,
// and against one that serves nobody because its controllers are lost.
TEST_CASE("Only a freeze makes the known set uncertain",
          "[routing][guarantee]") {
  ZoneEvacuations evacuations(kTimeout);
  evacuations.Confirm(kStart, kStart);
  evacuations.Tick(kStart);
  const Time later = kStart + seconds(3);

  SECTION("Cut off, it keeps the set") {
    for (Time now = kStart; now <= later; now += milliseconds(100))
      evacuations.Tick(now);
    CHECK(evacuations.Knows(later));
  }
  SECTION("Frozen, it waits for a new answer") {
    CHECK_FALSE(evacuations.Knows(later));  // before the first tick as well
    evacuations.Tick(later);
    evacuations.Tick(later + milliseconds(20));
    evacuations.Confirm(later + milliseconds(20), kStart + milliseconds(100));
    CHECK_FALSE(evacuations.Knows(later + milliseconds(20)));
    evacuations.Confirm(later + milliseconds(40), later);
    CHECK(evacuations.Knows(later + milliseconds(40)));
  }
  SECTION("Frozen for a moment, it goes on") {
    evacuations.Tick(kStart + seconds(1));
    CHECK(evacuations.Knows(kStart + seconds(1)));
  }
}

TEST_CASE("Without a bound a freeze has no effect", "[routing]") {
  ZoneEvacuations evacuations;
  evacuations.Confirm(kStart, kStart);
  evacuations.Tick(kStart);
  evacuations.Tick(kStart + seconds(30));
  CHECK(evacuations.Knows(kStart + seconds(30)));
}

}  // namespace goldcrest::routing
