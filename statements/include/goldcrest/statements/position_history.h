#ifndef GOLDCREST_STATEMENTS_POSITION_HISTORY_H_
#define GOLDCREST_STATEMENTS_POSITION_HISTORY_H_

#include <deque>
#include <optional>

#include "goldcrest/types/log_position.h"
#include "goldcrest/types/time.h"

namespace goldcrest::statements {

//! Log positions that the primary of one group has confirmed. Each is kept with
//! a time: the position contains every commit acknowledged before it.
class PositionHistory {
 public:
  //! Records that the primary confirmed `position` in answer to a request sent
  //! at `requested_at`: every commit acknowledged before `requested_at` is at
  //! or before `position`. Positions of earlier terms are dropped: the
  //! promotion may have rolled them back, and the new term contains the
  //! remaining ones.
  void Confirm(Time requested_at, LogPosition position);

  //! The lowest confirmed position that contains every commit acknowledged
  //! before `bound`; nullopt when none is known.
  std::optional<LogPosition> PositionCovering(Time bound) const;

  //! The newest term seen; 0 before the first.
  std::int64_t Term() const { return term_; }

 private:
  struct ConfirmedPosition {
    Time requested_at;
    LogPosition position;
  };

  std::int64_t term_ = 0;
  std::deque<ConfirmedPosition> confirmed_;  // ordered by `requested_at`
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_POSITION_HISTORY_H_
