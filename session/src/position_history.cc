#include "goldcrest/session/position_history.h"

#include <algorithm>

namespace goldcrest::session {

void PositionHistory::Record(Time observed, std::int64_t position) {
  if (!observations_.empty() && observed < observations_.back().time)
    return;
  // Earlier observations at the same or a higher position are redundant: the
  // new one gives a lower age for the same data.
  while (!observations_.empty() && observations_.back().position >= position)
    observations_.pop_back();
  if (observations_.size() >= kCapacity)
    RemoveOlderObservations();
  observations_.push_back({observed, position});
}

std::optional<Duration> PositionHistory::AgeOf(std::int64_t position,
                                               Time now) const {
  const auto after =
      std::upper_bound(observations_.begin(), observations_.end(), position,
                       [](std::int64_t wanted, const Observation& observation) {
                         return wanted < observation.position;
                       });
  if (after == observations_.begin())
    return std::nullopt;
  return std::max(now - std::prev(after)->time, Duration::zero());
}

void PositionHistory::Clear() {
  observations_.clear();
}

// Drops every second observation of the older half. Recent ages stay exact;
// long ages need no precision and remain upper bounds.
void PositionHistory::RemoveOlderObservations() {
  const std::size_t half = observations_.size() / 2;
  std::size_t kept = 0;
  for (std::size_t i = 0; i < observations_.size(); ++i) {
    if (i < half && i % 2 == 1)
      continue;
    observations_[kept++] = observations_[i];
  }
  observations_.resize(kept);
}

}  // namespace goldcrest::session
