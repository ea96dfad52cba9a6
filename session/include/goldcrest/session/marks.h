#ifndef GOLDCREST_SESSION_MARKS_H_
#define GOLDCREST_SESSION_MARKS_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "goldcrest/messages/messages.h"

namespace goldcrest::session {

//! Term and log position of a session's last write in a group.
struct Mark {
  std::int64_t term = 0;
  std::int64_t position = 0;

  bool operator==(const Mark&) const = default;
};

//! What a session token carries.
struct Marks {
  std::string customer;
  std::map<std::string, Mark> groups;

  bool operator==(const Marks&) const = default;
};

//! The mark in terms of `current_term`: its position is limited to the start of
//! every later term, because nothing acknowledged in the mark's term lies
//! beyond any of them. A mark of a later term is returned unchanged; see
//! IsFromLaterTerm.
Mark EffectiveMark(const Mark& mark,
                   std::int64_t current_term,
                   std::span<const messages::TermStart> term_starts);

//! True when the session has seen a later term than this instance knows: the
//! instance's view is old, and it can't serve the read.
bool IsFromLaterTerm(const Mark& mark, std::int64_t current_term);

}  // namespace goldcrest::session

#endif  // GOLDCREST_SESSION_MARKS_H_
