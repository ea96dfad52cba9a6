#include "goldcrest/policy/change_history.h"

#include <algorithm>
#include <utility>

#include "goldcrest/types/result_code.h"

namespace goldcrest::policy {

void ChangeHistory::Add(messages::AppliedChange change) {
  if (changes_.size() >= kCapacity) {
    number_by_id_.erase(changes_.front().change_id);
    changes_.pop_front();
    ++first_number_;
  }
  number_by_id_[change.change_id] = first_number_ + changes_.size();
  changes_.push_back(std::move(change));
}

const messages::AppliedChange* ChangeHistory::Find(
    const std::string& change_id) const {
  const auto number = number_by_id_.find(change_id);
  if (number == number_by_id_.end())
    return nullptr;
  return &changes_[number->second - first_number_];
}

const messages::AppliedChange* ChangeHistory::FirstAcceptedAfter(
    std::int64_t revision) const {
  auto change = std::upper_bound(
      changes_.begin(), changes_.end(), revision,
      [](std::int64_t wanted, const messages::AppliedChange& candidate) {
        return wanted < candidate.result.revision;
      });
  // Refusals carry the revision at which they were refused, so a refusal may
  // precede the first accepted change once older changes were dropped.
  for (; change != changes_.end(); ++change) {
    if (change->result.code == ToNumber(ResultCode::kOk))
      return &*change;
  }
  return nullptr;
}

std::vector<messages::AppliedChange> ChangeHistory::All() const {
  return {changes_.begin(), changes_.end()};
}

}  // namespace goldcrest::policy
