#include "goldcrest/session/read_eligibility.h"

#include <catch2/catch.hpp>

namespace goldcrest::session {
namespace {

constexpr int kObservations = 20'000;

using std::chrono::milliseconds;
using std::chrono::seconds;

Time At(int second) {
  return Time(seconds(second));
}

}  // namespace

TEST_CASE("The age of data counts from the last observation not beyond it",
          "[session]") {
  PositionHistory history;
  CHECK_FALSE(history.AgeOf(5, At(9)));
  history.Record(At(1), 10);
  history.Record(At(2), 10);
  history.Record(At(3), 20);
  CHECK_FALSE(history.AgeOf(9, At(9)));
  CHECK(history.AgeOf(10, At(9)) == seconds(7));
  CHECK(history.AgeOf(19, At(9)) == seconds(7));
  CHECK(history.AgeOf(20, At(9)) == seconds(6));
  CHECK(history.AgeOf(99, At(9)) == seconds(6));
  CHECK(history.AgeOf(20, At(1)) == seconds(0));

  SECTION("an answer to an earlier request that arrives late is ignored") {
    history.Record(At(2), 99);
    CHECK(history.AgeOf(20, At(9)) == seconds(6));
    CHECK(history.AgeOf(99, At(9)) == seconds(6));
  }
  SECTION("a lower position replaces the higher ones") {
    history.Record(At(4), 15);
    CHECK(history.AgeOf(20, At(9)) == seconds(5));
    CHECK(history.AgeOf(14, At(9)) == seconds(7));
  }
  SECTION("no age is known after Clear()") {
    history.Clear();
    CHECK_FALSE(history.AgeOf(20, At(9)));
  }
}

// Guards against ages that are too low once the history is full, and against
// unbounded memory.
TEST_CASE("A full history gives ages that are exact or higher", "[session]") {
  PositionHistory history;
  for (int i = 0; i < kObservations; ++i)
    history.Record(Time(milliseconds(100 * i)), i);
  CHECK(history.Size() <= PositionHistory::kCapacity);
  const Time now{milliseconds(100 * (kObservations - 1))};
  for (int i = 0; i < kObservations; i += 7) {
    const auto age = history.AgeOf(i, now);
    REQUIRE(age);
    CHECK(*age >= milliseconds(100 * (kObservations - 1 - i)));
  }
  CHECK(history.AgeOf(kObservations - 101, now) == seconds(10));
}

TEST_CASE("A replica serves a read only at the mark and within the age",
          "[session][guarantee]") {
  PositionHistory history;
  history.Record(At(1), 50);
  history.Record(At(5), 100);
  const MemberView member{"db-2", 3, 60, true};
  const auto check = [&](const MemberView& view, const Mark& mark,
                         std::optional<Duration> max_age) {
    return CheckReadEligibility(view, 3, mark, max_age, history, At(6));
  };
  CHECK(check(member, {3, 60}, seconds(5)) == ReadEligibility::kEligible);
  CHECK(check(member, {3, 61}, seconds(5)) == ReadEligibility::kBehindMark);
  CHECK(check(member, {3, 60}, milliseconds(4999)) == ReadEligibility::kTooOld);
  CHECK(check(member, {3, 60}, std::nullopt) == ReadEligibility::kTooOld);
  CHECK(check(member, {4, 60}, seconds(5)) == ReadEligibility::kWrongTerm);
  CHECK(check({"db-2", 2, 60, true}, {3, 60}, seconds(5)) ==
        ReadEligibility::kWrongTerm);
  CHECK(check({"db-2", 4, 60, true}, {3, 60}, seconds(5)) ==
        ReadEligibility::kWrongTerm);
  CHECK(check({"db-2", 3, 60, false}, {3, 60}, seconds(5)) ==
        ReadEligibility::kUnusable);
  // The history has no observation at or below this position.
  CHECK(check({"db-2", 3, 40, true}, {3, 0}, seconds(3600)) ==
        ReadEligibility::kTooOld);
}

}  // namespace goldcrest::session
