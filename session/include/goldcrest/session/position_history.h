#ifndef GOLDCREST_SESSION_POSITION_HISTORY_H_
#define GOLDCREST_SESSION_POSITION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "goldcrest/types/time.h"

namespace goldcrest::session {

//! Past positions of a group's primary, which date the data of replicas.
//! Bounded: older observations become sparser, which only raises the ages
//! given.
class PositionHistory {
 public:
  static constexpr std::size_t kCapacity = 512;

  //! The primary was at `position` at `observed` or later: pass the time at
  //! which the question was sent, not that of the answer. Observations older
  //! than the newest one are ignored.
  void Record(Time observed, std::int64_t position);

  //! Upper bound of the age of data at `position`; nullopt when unknown.
  std::optional<Duration> AgeOf(std::int64_t position, Time now) const;

  //! Forgets everything.
  void Clear();

  std::size_t Size() const { return observations_.size(); }

 private:
  struct Observation {
    Time time;
    std::int64_t position;
  };

  void ThinOut();

  // Ascending by time and by position.
  std::vector<Observation> observations_;
};

}  // namespace goldcrest::session

#endif  // GOLDCREST_SESSION_POSITION_HISTORY_H_
