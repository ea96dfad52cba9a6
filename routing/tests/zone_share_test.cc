#include "goldcrest/routing/zone_share.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>

namespace goldcrest::routing {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTarget = milliseconds(400);
constexpr int kLimitMs = 100;  // of a statement, from kTarget

// Zones `a` (the own one) to at most `d`, with any load.
ShareInput AnyInput(bool own) {
  ShareInput input;
  input.own_zone = "a";
  input.target_latency = kTarget;
  input.transfer_cost = milliseconds(*rc::gen::inRange(0, 300));
  const char last = *rc::gen::inRange<char>('b', 'e');
  for (char zone = own ? 'a' : 'b'; zone <= last; ++zone) {
    ZoneFigures figures;
    figures.zone = std::string(1, zone);
    figures.slots = *rc::gen::inRange(1, 9);
    figures.primary_only = *rc::gen::arbitrary<bool>();
    figures.round_trip = milliseconds(*rc::gen::inRange(0, 20));
    figures.latency =
        figures.round_trip + milliseconds(*rc::gen::inRange(0, 3 * kLimitMs));
    figures.refused = *rc::gen::inRange(0, 4) * 0.25;
    figures.age = milliseconds(*rc::gen::inRange(0, 1'500));
    input.zones.push_back(figures);
  }
  return input;
}

// A state that a load of any length has left.
ShareState AnyState() {
  ShareState state;
  const int updates = *rc::gen::inRange(0, 30);
  for (int i = 0; i < updates; ++i)
    state = NextShares(state, AnyInput(*rc::gen::inRange(0, 4) > 0));
  return state;
}

ShareState After(ShareState state, const ShareInput& input, int updates) {
  for (int i = 0; i < updates; ++i)
    state = NextShares(state, input);
  return state;
}

}  // namespace

TEST_CASE("Shares are divided in full and change by bounded steps",
          "[routing]") {
  CHECK(rc::check([] {
    const ShareState state = AnyState();
    const ShareInput input = AnyInput(*rc::gen::arbitrary<bool>());
    const ShareState next = NextShares(state, input);
    double sum = 0;
    for (const auto& [zone, share] : SharesOf(next, input)) {
      RC_ASSERT(share >= 0);
      sum += share;
    }
    RC_ASSERT(std::abs(sum - 1) < 1e-9);
    if (input.zones[0].zone == "a")
      RC_ASSERT(std::abs(next.away - std::min(state.away, 0.95)) < 0.1 + 1e-9);
  }));
}

// Load condition: normal load.
TEST_CASE("Nothing leaves a zone whose statements are within their limit",
          "[routing]") {
  CHECK(rc::check([] {
    ShareInput input = AnyInput(true);
    input.zones[0].latency = milliseconds(*rc::gen::inRange(0, kLimitMs / 4));
    input.zones[0].refused = 0;
    RC_ASSERT(NextShares({}, input).away == 0);
    RC_ASSERT(After(AnyState(), input, 100).away == 0);
  }));
}

// Load condition: the own zone is above its capacity, the others are not.
TEST_CASE("Reads leave a zone that refuses them while another one has room",
          "[routing]") {
  CHECK(rc::check([] {
    ShareInput input = AnyInput(true);
    input.zones[0].refused = 0.5;
    input.zones[1].refused = 0;
    input.zones[1].latency = input.zones[1].round_trip;
    RC_ASSERT(After(AnyState(), input, 100).away > 0.9);
  }));
}

// Load condition: all zones are near their limit. A zone's own statements stay
// at a latency that makes those of other zones return.
TEST_CASE("A zone's own statements take precedence over those of others",
          "[routing]") {
  CHECK(rc::check([] {
    ShareInput input = AnyInput(true);
    const Duration latency =
        milliseconds(*rc::gen::inRange(kLimitMs / 2 + 1, kLimitMs));
    for (ZoneFigures& figures : input.zones) {
      figures.primary_only = false;
      figures.refused = 0;
      figures.latency = figures.round_trip + latency;
    }
    input.zones[0].latency = latency;
    RC_ASSERT(NextShares({}, input).away == 0);
    RC_ASSERT(After(AnyState(), input, 200).away == 0);
  }));
}

// Load condition: the endpoints of the own zone are gone.
TEST_CASE("Without an own endpoint the split follows free slots", "[routing]") {
  CHECK(rc::check([] {
    ShareInput input = AnyInput(false);
    const int wait_ms = *rc::gen::inRange(0, kLimitMs / 4);
    int slots = 0;
    for (ZoneFigures& figures : input.zones) {
      figures.refused = 0;
      figures.latency = figures.round_trip + milliseconds(wait_ms);
      slots += figures.primary_only ? 0 : figures.slots;
    }
    const ShareState state = After(AnyState(), input, 100);
    RC_ASSERT(state.away == 1);
    for (const ZoneFigures& figures : input.zones) {
      if (slots == 0)
        continue;  // Only the primary is left.
      const double expected =
          figures.primary_only ? 0 : double(figures.slots) / slots;
      RC_ASSERT(std::abs(state.split.at(figures.zone) - expected) < 0.01);
    }
  }));
}

}  // namespace goldcrest::routing
