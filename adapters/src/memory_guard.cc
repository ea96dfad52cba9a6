#include "memory_guard.h"

#include <utility>
#include <vector>

#include "goldcrest/adapters/system_clock.h"

namespace goldcrest::adapters {

void MemoryGuard::Set(MemoryAccount::Id id,
                      std::size_t bytes,
                      const Close& close) {
  const Time now = SystemClock::Now();
  std::vector<Close> closing;
  {
    const std::lock_guard lock(mutex_);
    account_.Set(now, id, bytes);
    if (bytes == 0)
      closes_.erase(id);
    else
      closes_.insert_or_assign(id, close);
    while (const auto first = account_.FirstToClose(now)) {
      account_.Set(now, *first, 0);
      closing.push_back(std::move(closes_[*first]));
      closes_.erase(*first);
    }
  }
  for (const Close& close_one : closing)
    close_one();
}

}  // namespace goldcrest::adapters
