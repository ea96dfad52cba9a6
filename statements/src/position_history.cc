#include "goldcrest/statements/position_history.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace goldcrest::statements {
namespace {

// Closer confirmations replace each other: a bound of seconds needs no more,
// and the list stays short.
constexpr Duration kSpacing = std::chrono::milliseconds(50);

// Longer bounds on the age of reads are served as if they were this long.
constexpr Duration kKept = std::chrono::seconds(5);

}  // namespace

void PositionHistory::Confirm(Time asked_at, LogPosition position) {
  if (position.term < term_)
    return;
  if (position.term > term_) {
    confirmed_.clear();
    term_ = position.term;
  }
  const auto next =
      std::ranges::lower_bound(confirmed_, asked_at, {}, &Confirmed::asked_at);
  // A later question with a lower answer covers more and is easier to reach.
  if (next != confirmed_.end() && !(position < next->position))
    return;
  // Between two that are close, it adds nothing.
  if (next != confirmed_.end() && next != confirmed_.begin() &&
      next->asked_at - std::prev(next)->asked_at < kSpacing)
    return;
  if (next == confirmed_.end() && confirmed_.size() > 1 &&
      asked_at - confirmed_[confirmed_.size() - 2].asked_at < kSpacing)
    confirmed_.back() = {asked_at, position};
  else
    confirmed_.insert(next, {asked_at, position});
  while (confirmed_.front().asked_at + kKept < confirmed_.back().asked_at)
    confirmed_.pop_front();
}

std::optional<LogPosition> PositionHistory::Covering(Time bound) const {
  const auto it =
      std::ranges::lower_bound(confirmed_, bound, {}, &Confirmed::asked_at);
  if (it == confirmed_.end())
    return std::nullopt;
  return it->position;
}

}  // namespace goldcrest::statements
