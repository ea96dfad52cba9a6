#include "goldcrest/statements/position_history.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;

constexpr Time kStart = TimeFromMicros(10'000'000);

}  // namespace

// Guards against reads that miss a commit older than the route's bound.
TEST_CASE("A position covers only what was acknowledged before it was asked",
          "[statements][guarantee]") {
  PositionHistory history;
  history.Confirm(kStart, {1, 10});
  history.Confirm(kStart + milliseconds(200), {1, 20});
  CHECK(history.Covering(kStart - milliseconds(1)) == LogPosition{1, 10});
  CHECK(history.Covering(kStart + milliseconds(1)) == LogPosition{1, 20});
  CHECK_FALSE(history.Covering(kStart + milliseconds(201)));

  SECTION("A late answer to an earlier statement adds nothing") {
    history.Confirm(kStart + milliseconds(100), {1, 30});
    CHECK(history.Covering(kStart + milliseconds(150)) == LogPosition{1, 20});
    CHECK(history.Covering(kStart + milliseconds(50)) == LogPosition{1, 20});
  }
  SECTION("One that comes late but was lower fills the gap") {
    history.Confirm(kStart + milliseconds(100), {1, 15});
    CHECK(history.Covering(kStart + milliseconds(50)) == LogPosition{1, 15});
    CHECK(history.Covering(kStart + milliseconds(150)) == LogPosition{1, 20});
  }
  SECTION("Old ones are forgotten") {
    history.Confirm(kStart + std::chrono::seconds(6), {1, 40});
    CHECK(history.Covering(kStart - milliseconds(1)) == LogPosition{1, 40});
  }
  SECTION("Close confirmations replace each other by the later one") {
    history.Confirm(kStart + milliseconds(210), {1, 21});
    history.Confirm(kStart + milliseconds(220), {1, 22});
    CHECK(history.Covering(kStart + milliseconds(205)) == LogPosition{1, 22});
  }
}

// Guards against asking replicas for a position that a promotion rolled back.
TEST_CASE("A new term drops the positions of earlier ones", "[statements]") {
  PositionHistory history;
  history.Confirm(kStart, {1, 10});
  history.Confirm(kStart + milliseconds(100), {2, 8});
  CHECK(history.Covering(kStart - milliseconds(1)) == LogPosition{2, 8});
  history.Confirm(kStart + milliseconds(200), {1, 30});
  CHECK_FALSE(history.Covering(kStart + milliseconds(150)));
  CHECK(history.Term() == 2);
}

}  // namespace goldcrest::statements
