#include "append_rounds.h"

namespace goldcrest::consensus {

void AppendRounds::StartNext(Time now) {
  starts_[++current_] = now;
}

std::optional<Time> AppendRounds::StartOf(std::int64_t round) const {
  const auto it = starts_.find(round);
  if (it == starts_.end())
    return std::nullopt;
  return it->second;
}

void AppendRounds::Prune(Time time) {
  std::erase_if(starts_,
                [time](const auto& item) { return item.second < time; });
}

void AppendRounds::Clear() {
  starts_.clear();
}

}  // namespace goldcrest::consensus
