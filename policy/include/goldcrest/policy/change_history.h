#ifndef GOLDCREST_POLICY_CHANGE_HISTORY_H_
#define GOLDCREST_POLICY_CHANGE_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "goldcrest/messages/messages.h"

namespace goldcrest::policy {

//! Stores the results of the most recent changes by change id, so that a change
//! that is sent again gets the first result. Refusals are stored too: a change
//! that was refused must not be applied when a delayed copy of it arrives.
class ChangeHistory {
 public:
  //! Covers more than a day at 8,900 changes a day.
  static constexpr std::size_t kCapacity = 10'000;

  void Add(messages::AppliedChange change);

  //! Returns nullptr when the id is not stored. Valid until the next Add().
  const messages::AppliedChange* Find(const std::string& change_id) const;

  //! Returns the first stored accepted change after `revision`; nullptr if
  //! none.
  const messages::AppliedChange* FirstAcceptedAfter(
      std::int64_t revision) const;

  std::vector<messages::AppliedChange> All() const;  //!< Oldest first.

 private:
  std::deque<messages::AppliedChange> changes_;  // Ascending by revision.
  std::uint64_t first_number_ = 0;               // Number of changes_.front().
  std::unordered_map<std::string, std::uint64_t> number_by_id_;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_CHANGE_HISTORY_H_
