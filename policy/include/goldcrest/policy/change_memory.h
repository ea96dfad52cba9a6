#ifndef GOLDCREST_POLICY_CHANGE_MEMORY_H_
#define GOLDCREST_POLICY_CHANGE_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "goldcrest/messages/messages.h"

namespace goldcrest::policy {

//! Answers to the last changes by change id, so that a resend gets the first
//! answer. Refusals are kept too: a change refused as not run must not run
//! when a delayed copy of it arrives.
class ChangeMemory {
 public:
  //! At 8,900 changes a day, a resend is recognised for more than a day.
  static constexpr std::size_t kCapacity = 10'000;

  void Add(messages::AppliedChange change);

  //! nullptr when the id is not remembered. Valid until the next Add.
  const messages::AppliedChange* Find(const std::string& change_id) const;

  //! The first remembered accepted change after `revision`; nullptr if none.
  const messages::AppliedChange* FirstAcceptedAfter(
      std::int64_t revision) const;

  std::vector<messages::AppliedChange> All() const;  //!< Oldest first.

 private:
  std::deque<messages::AppliedChange> changes_;  // Ascending by revision.
  std::uint64_t first_number_ = 0;               // Of changes_.front().
  std::unordered_map<std::string, std::uint64_t> numbers_;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_CHANGE_MEMORY_H_
