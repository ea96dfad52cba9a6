#include "round_clock.h"

namespace goldcrest::consensus {

void RoundClock::StartNext(Time now) {
  starts_[++current_] = now;
}

std::optional<Time> RoundClock::StartOf(std::int64_t round) const {
  const auto it = starts_.find(round);
  if (it == starts_.end())
    return std::nullopt;
  return it->second;
}

void RoundClock::Prune(Time time) {
  std::erase_if(starts_,
                [time](const auto& item) { return item.second < time; });
}

void RoundClock::Clear() {
  starts_.clear();
}

}  // namespace goldcrest::consensus
