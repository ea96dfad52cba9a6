#include "goldcrest/adapters/memory_account.h"

namespace goldcrest::adapters {

void MemoryAccount::Set(Time now, Id id, std::size_t bytes) {
  if (bytes < kMinBytes)
    bytes = 0;
  const auto found = bytes_.find(id);
  const std::size_t before = found == bytes_.end() ? 0 : found->second;
  if (before == bytes)
    return;
  if (before > 0)
    by_size_.erase({before, id});
  if (bytes > 0) {
    bytes_[id] = bytes;
    by_size_.insert({bytes, id});
  } else {
    bytes_.erase(found);
  }
  total_ = total_ - before + bytes;
  if (!IsShort())
    short_since_ = kNever;
  else if (short_since_ == kNever || bytes == 0)
    short_since_ = now;
}

std::optional<MemoryAccount::Id> MemoryAccount::FirstToClose(Time now) const {
  if (by_size_.empty())
    return std::nullopt;
  const bool lasts =
      short_since_ != kNever && now - short_since_ >= kMaxShortage;
  if (total_ <= limit_ && !lasts)
    return std::nullopt;
  return by_size_.rbegin()->second;
}

}  // namespace goldcrest::adapters
