#ifndef GOLDCREST_SESSION_MARKS_H_
#define GOLDCREST_SESSION_MARKS_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "goldcrest/messages/messages.h"

namespace goldcrest::session {

//! Term and log position of a session's last write in a group. A read of the
//! session needs data up to this position.
struct Mark {
  std::int64_t term = 0;
  std::int64_t position = 0;

  bool operator==(const Mark&) const = default;
};

//! A session's marks by group, the content of its token.
struct Marks {
  std::string customer;
  std::map<std::string, Mark> groups;

  bool operator==(const Marks&) const = default;
};

//! Translates the mark to `current_term`. Its position is limited to the start
//! of every term after the mark's, because no write acknowledged in the mark's
//! term lies beyond any of these starts. A mark of a term after `current_term`
//! is returned unchanged; see IsFromLaterTerm.
Mark EffectiveMark(const Mark& mark,
                   std::int64_t current_term,
                   std::span<const messages::TermStart> term_starts);

//! True when the session has seen a later term than this instance knows. The
//! instance's view is then outdated, and it can't serve the read.
bool IsFromLaterTerm(const Mark& mark, std::int64_t current_term);

}  // namespace goldcrest::session

#endif  // GOLDCREST_SESSION_MARKS_H_
