#include "goldcrest/statements/position_history.h"

#include <algorithm>
#include <chrono>

namespace goldcrest::statements {
namespace {

// Closer confirmations replace each other: a bound of seconds needs no more,
// and the list stays short.
constexpr Duration kSpacing = std::chrono::milliseconds(50);

}  // namespace

void PositionHistory::Confirm(Time asked_at, LogPosition position) {
  if (position.term < term_)
    return;
  if (position.term > term_) {
    confirmed_.clear();
    term_ = position.term;
  }
  if (!confirmed_.empty() && asked_at < confirmed_.back().asked_at)
    return;
  // The second to last is kept apart from its neighbour; the last one moves.
  if (confirmed_.size() > 1 &&
      asked_at - confirmed_[confirmed_.size() - 2].asked_at < kSpacing)
    confirmed_.pop_back();
  confirmed_.push_back({asked_at, position});
}

std::optional<LogPosition> PositionHistory::Covering(Time bound) const {
  const auto it =
      std::ranges::lower_bound(confirmed_, bound, {}, &Confirmed::asked_at);
  if (it == confirmed_.end())
    return std::nullopt;
  return it->position;
}

void PositionHistory::Forget(Time bound) {
  while (!confirmed_.empty() && confirmed_.front().asked_at < bound)
    confirmed_.pop_front();
}

}  // namespace goldcrest::statements
