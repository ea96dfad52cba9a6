#include "goldcrest/statements/write_holds.h"

#include <chrono>

namespace goldcrest::statements {
namespace {

// Without word from the leader a hold lapses, so that writes go on when the
// leader is lost. Longer than a promotion takes from its order on.
constexpr Duration kLease = std::chrono::seconds(3);

// Most commits are answered sooner. The leader waits for them before it orders
// the promotion.
constexpr Duration kMaxCommitTime = std::chrono::milliseconds(250);

}  // namespace

WriteHolds::Change WriteHolds::Apply(Time now,
                                     const messages::WriteHold& order) {
  Hold& hold = holds_[order.group];
  if (order.number < hold.number)
    return Change::kNone;
  const bool was_held = IsInEffect(now, hold);
  if (order.number > hold.number)
    hold.overdue_at = now + kMaxCommitTime;
  hold.number = order.number;
  hold.endpoint = order.endpoint;
  hold.lapses_at = order.active ? now + kLease : now;
  if (was_held == order.active)
    return Change::kNone;
  return order.active ? Change::kHeld : Change::kResumed;
}

bool WriteHolds::IsInEffect(Time now, const Hold& hold) {
  return now < hold.lapses_at;
}

bool WriteHolds::IsHeld(Time now,
                        const std::string& group,
                        const std::string& endpoint) const {
  const auto it = holds_.find(group);
  return it != holds_.end() && IsInEffect(now, it->second) &&
         endpoint != it->second.endpoint;
}

std::map<std::string, std::int64_t> WriteHolds::InEffect(Time now) const {
  std::map<std::string, std::int64_t> numbers;
  for (const auto& [group, hold] : holds_) {
    if (IsInEffect(now, hold))
      numbers[group] = hold.number;
  }
  return numbers;
}

bool WriteHolds::IsOverdue(Time now, const std::string& group) const {
  const auto it = holds_.find(group);
  return it != holds_.end() && IsInEffect(now, it->second) &&
         now >= it->second.overdue_at;
}

}  // namespace goldcrest::statements
