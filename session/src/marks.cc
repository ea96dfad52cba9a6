#include "goldcrest/session/marks.h"

#include <algorithm>

namespace goldcrest::session {

Mark EffectiveMark(const Mark& mark,
                   std::int64_t current_term,
                   std::span<const messages::TermStart> term_starts) {
  if (IsFromLaterTerm(mark, current_term))
    return mark;
  Mark effective{current_term, mark.position};
  for (const messages::TermStart& start : term_starts) {
    if (start.term <= mark.term || start.term > current_term)
      continue;
    // A later promotion may have kept a shorter log than the one before it, so
    // the start of every later term counts and not only the first.
    effective.position = std::min(effective.position, start.position);
  }
  return effective;
}

bool IsFromLaterTerm(const Mark& mark, std::int64_t current_term) {
  return mark.term > current_term;
}

}  // namespace goldcrest::session
