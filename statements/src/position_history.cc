#include "goldcrest/statements/position_history.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace goldcrest::statements {
namespace {

// Of confirmations closer than this only the latest is kept: staleness bounds
// are in seconds and need no finer steps, and the list stays short.
constexpr Duration kMinConfirmationInterval = std::chrono::milliseconds(50);

// Longer staleness bounds of reads are served as if they were this long.
constexpr Duration kMaxHistoryAge = std::chrono::seconds(5);

}  // namespace

void PositionHistory::Confirm(Time requested_at, LogPosition position) {
  if (position.term < term_)
    return;
  if (position.term > term_) {
    confirmed_.clear();
    term_ = position.term;
  }
  const auto next = std::ranges::lower_bound(confirmed_, requested_at, {},
                                             &ConfirmedPosition::requested_at);
  // A later request with the same or a lower position covers more commits and
  // is easier to reach.
  if (next != confirmed_.end() && !(position < next->position))
    return;
  // Adds nothing between two confirmations that are close to each other.
  if (next != confirmed_.end() && next != confirmed_.begin() &&
      next->requested_at - std::prev(next)->requested_at <
          kMinConfirmationInterval)
    return;
  if (next == confirmed_.end() && confirmed_.size() > 1 &&
      requested_at - confirmed_[confirmed_.size() - 2].requested_at <
          kMinConfirmationInterval)
    confirmed_.back() = {requested_at, position};
  else
    confirmed_.insert(next, {requested_at, position});
  while (confirmed_.front().requested_at + kMaxHistoryAge <
         confirmed_.back().requested_at)
    confirmed_.pop_front();
}

std::optional<LogPosition> PositionHistory::PositionCovering(Time bound) const {
  const auto it = std::ranges::lower_bound(confirmed_, bound, {},
                                           &ConfirmedPosition::requested_at);
  if (it == confirmed_.end())
    return std::nullopt;
  return it->position;
}

}  // namespace goldcrest::statements
