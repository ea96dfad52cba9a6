#ifndef GOLDCREST_SESSION_POSITION_HISTORY_H_
#define GOLDCREST_SESSION_POSITION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "goldcrest/types/time.h"

namespace goldcrest::session {

//! Positions of a group's primary over time, from which the age of a replica's
//! data is computed. Bounds its memory by dropping some of the older
//! observations, which can only make the computed ages higher.
class PositionHistory {
 public:
  static constexpr std::size_t kCapacity = 512;

  //! Records that the primary was at `position` at `observed` or later. Pass
  //! the time at which the position was requested, not the time of the answer.
  //! Observations older than the newest one are ignored.
  void Record(Time observed, std::int64_t position);

  //! Returns an upper bound of the age of data at `position`; nullopt when no
  //! observation at or below it is left.
  std::optional<Duration> AgeOf(std::int64_t position, Time now) const;

  //! Removes all observations.
  void Clear();

  std::size_t Size() const { return observations_.size(); }

 private:
  struct Observation {
    Time time;
    std::int64_t position;
  };

  void RemoveOlderObservations();

  // Ascending by time and by position.
  std::vector<Observation> observations_;
};

}  // namespace goldcrest::session

#endif  // GOLDCREST_SESSION_POSITION_HISTORY_H_
