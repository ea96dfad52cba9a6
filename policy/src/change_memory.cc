#include "goldcrest/policy/change_memory.h"

#include <algorithm>
#include <utility>

#include "goldcrest/types/result_code.h"

namespace goldcrest::policy {

void ChangeMemory::Add(messages::AppliedChange change) {
  if (changes_.size() >= kCapacity) {
    numbers_.erase(changes_.front().change_id);
    changes_.pop_front();
    ++first_number_;
  }
  numbers_[change.change_id] = first_number_ + changes_.size();
  changes_.push_back(std::move(change));
}

const messages::AppliedChange* ChangeMemory::Find(
    const std::string& change_id) const {
  const auto number = numbers_.find(change_id);
  if (number == numbers_.end())
    return nullptr;
  return &changes_[number->second - first_number_];
}

const messages::AppliedChange* ChangeMemory::FirstAcceptedAfter(
    std::int64_t revision) const {
  auto change = std::upper_bound(
      changes_.begin(), changes_.end(), revision,
      [](std::int64_t wanted, const messages::AppliedChange& candidate) {
        return wanted < candidate.result.revision;
      });
  // Refusals carry the revision that they met, so one may precede the first
  // acceptance once older changes are forgotten.
  for (; change != changes_.end(); ++change) {
    if (change->result.code == ToNumber(ResultCode::kOk))
      return &*change;
  }
  return nullptr;
}

std::vector<messages::AppliedChange> ChangeMemory::All() const {
  return {changes_.begin(), changes_.end()};
}

}  // namespace goldcrest::policy
