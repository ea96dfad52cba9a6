#ifndef GOLDCREST_CONSENSUS_APPEND_ROUNDS_H_
#define GOLDCREST_CONSENSUS_APPEND_ROUNDS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "goldcrest/types/time.h"

namespace goldcrest::consensus {

//! Start times of a leader's append rounds. A response with a round's number
//! shows that its sender followed this leader at or after the round's start.
class AppendRounds {
 public:
  void StartNext(Time now);
  std::int64_t Current() const { return current_; }
  std::optional<Time> StartOf(std::int64_t round) const;
  //! Removes the rounds that started before `time`.
  void Prune(Time time);
  //! Removes all rounds; the next round continues the numbering.
  void Clear();

 private:
  std::int64_t current_ = 0;
  std::map<std::int64_t, Time> starts_;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_APPEND_ROUNDS_H_
