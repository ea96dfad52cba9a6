#ifndef GOLDCREST_ADAPTERS_MEMORY_GUARD_H_
#define GOLDCREST_ADAPTERS_MEMORY_GUARD_H_

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>

#include "goldcrest/adapters/memory_account.h"

namespace goldcrest::adapters {

//! Closes the connection that holds most when those of one listener hold too
//! much. Safe from any thread.
class MemoryGuard {
 public:
  //! Closes a connection from any thread, after the call that it is made in.
  using Close = std::function<void()>;

  explicit MemoryGuard(std::size_t limit) : account_(limit) {}

  //! Records what a connection holds, in bytes; 0 once it is closed.
  void Set(MemoryAccount::Id id, std::size_t bytes, const Close& close);

 private:
  std::mutex mutex_;
  MemoryAccount account_;                      // guarded by mutex_
  std::map<MemoryAccount::Id, Close> closes_;  // guarded by mutex_
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_MEMORY_GUARD_H_
