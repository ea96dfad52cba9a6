#ifndef GOLDCREST_CONSENSUS_ROUND_CLOCK_H_
#define GOLDCREST_CONSENSUS_ROUND_CLOCK_H_

#include <cstdint>
#include <map>
#include <optional>

#include "goldcrest/types/time.h"

namespace goldcrest::consensus {

//! When a leader started its rounds. An answer that echoes a round shows that
//! its sender followed this leader at or after that time.
class RoundClock {
 public:
  //! Starts a new round.
  void Next(Time now);
  std::int64_t Current() const { return current_; }
  std::optional<Time> StartOf(std::int64_t round) const;
  //! Forgets the rounds that started before `time`.
  void Prune(Time time);
  //! Forgets all rounds; the numbering goes on.
  void Clear();

 private:
  std::int64_t current_ = 0;
  std::map<std::int64_t, Time> starts_;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_ROUND_CLOCK_H_
