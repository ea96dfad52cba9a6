#include "goldcrest/statements/position_history.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;

constexpr Time kStart = TimeFromMicros(10'000'000);

}  // namespace

// Guards against reads that miss a commit older than the route's bound.
TEST_CASE("A position covers only commits acknowledged before its request",
          "[statements][guarantee]") {
  PositionHistory history;
  history.Confirm(kStart, {1, 10});
  history.Confirm(kStart + milliseconds(200), {1, 20});
  CHECK(history.PositionCovering(kStart - milliseconds(1)) ==
        LogPosition{1, 10});
  CHECK(history.PositionCovering(kStart + milliseconds(1)) ==
        LogPosition{1, 20});
  CHECK_FALSE(history.PositionCovering(kStart + milliseconds(201)));

  SECTION("A late confirmation of a higher position adds nothing") {
    history.Confirm(kStart + milliseconds(100), {1, 30});
    CHECK(history.PositionCovering(kStart + milliseconds(150)) ==
          LogPosition{1, 20});
    CHECK(history.PositionCovering(kStart + milliseconds(50)) ==
          LogPosition{1, 20});
  }
  SECTION("A late confirmation of a lower position fills the gap") {
    history.Confirm(kStart + milliseconds(100), {1, 15});
    CHECK(history.PositionCovering(kStart + milliseconds(50)) ==
          LogPosition{1, 15});
    CHECK(history.PositionCovering(kStart + milliseconds(150)) ==
          LogPosition{1, 20});
  }
  SECTION("Old positions are dropped") {
    history.Confirm(kStart + std::chrono::seconds(6), {1, 40});
    CHECK(history.PositionCovering(kStart - milliseconds(1)) ==
          LogPosition{1, 40});
  }
  SECTION("Of confirmations close in time only the latest is kept") {
    history.Confirm(kStart + milliseconds(210), {1, 21});
    history.Confirm(kStart + milliseconds(220), {1, 22});
    CHECK(history.PositionCovering(kStart + milliseconds(205)) ==
          LogPosition{1, 22});
  }
}

// Guards against asking replicas for a position that a promotion rolled back.
TEST_CASE("A new term drops the positions of earlier ones", "[statements]") {
  PositionHistory history;
  history.Confirm(kStart, {1, 10});
  history.Confirm(kStart + milliseconds(100), {2, 8});
  CHECK(history.PositionCovering(kStart - milliseconds(1)) ==
        LogPosition{2, 8});
  history.Confirm(kStart + milliseconds(200), {1, 30});
  CHECK_FALSE(history.PositionCovering(kStart + milliseconds(150)));
  CHECK(history.Term() == 2);
}

}  // namespace goldcrest::statements
