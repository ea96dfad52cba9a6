#ifndef GOLDCREST_STATEMENTS_POSITION_HISTORY_H_
#define GOLDCREST_STATEMENTS_POSITION_HISTORY_H_

#include <deque>
#include <optional>

#include "goldcrest/statements/log_position.h"
#include "goldcrest/types/time.h"

namespace goldcrest::statements {

//! Positions that the primary of one group has confirmed, with the time before
//! which every acknowledged commit is contained.
class PositionHistory {
 public:
  //! The endpoint that leads the group answered with `position` a statement
  //! that was sent at `asked_at`: every commit acknowledged before `asked_at`
  //! is at or before `position`. Positions of earlier terms are dropped: the
  //! promotion may have rolled them back, and the new term contains the rest.
  void Confirm(Time asked_at, LogPosition position);

  //! The lowest confirmed position that contains every commit acknowledged
  //! before `bound`; nullopt when none is known.
  std::optional<LogPosition> Covering(Time bound) const;

  //! The newest term seen; 0 before the first.
  std::int64_t Term() const { return term_; }

 private:
  struct Confirmed {
    Time asked_at;
    LogPosition position;
  };

  std::int64_t term_ = 0;
  std::deque<Confirmed> confirmed_;  // in order of time
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_POSITION_HISTORY_H_
