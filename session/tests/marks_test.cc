#include "goldcrest/session/marks.h"

#include <catch2/catch.hpp>
#include <vector>

namespace goldcrest::session {
namespace {

messages::TermStart Start(std::int64_t term, std::int64_t position) {
  messages::TermStart start;
  start.term = term;
  start.position = position;
  return start;
}

// The promotion to term 3 kept a shorter log than the one to term 2.
const std::vector<messages::TermStart> kStarts = {Start(1, 0), Start(2, 90),
                                                  Start(3, 85)};

}  // namespace

// Guards against a session waiting for a position that no member ever reaches.
TEST_CASE("A mark is limited by every promotion after it",
          "[session][guarantee]") {
  CHECK(EffectiveMark({1, 100}, 2, kStarts) == Mark{2, 90});
  CHECK(EffectiveMark({1, 100}, 3, kStarts) == Mark{3, 85});
  CHECK(EffectiveMark({2, 95}, 3, kStarts) == Mark{3, 85});
}

// Guards against a mark being lowered below the session's own write.
TEST_CASE("A mark below the starts of later terms, or of this term, is kept",
          "[session][guarantee]") {
  CHECK(EffectiveMark({1, 80}, 3, kStarts) == Mark{3, 80});
  CHECK(EffectiveMark({3, 100}, 3, kStarts) == Mark{3, 100});
  CHECK(EffectiveMark({2, 95}, 2, kStarts) == Mark{2, 95});
  CHECK(EffectiveMark({2, 95}, 3, {}) == Mark{3, 95});
}

TEST_CASE("A mark of a later term shows that the instance's view is old",
          "[session][guarantee]") {
  CHECK(IsFromLaterTerm({4, 10}, 3));
  CHECK_FALSE(IsFromLaterTerm({3, 10}, 3));
  CHECK(EffectiveMark({4, 10}, 3, kStarts) == Mark{4, 10});
}

}  // namespace goldcrest::session
