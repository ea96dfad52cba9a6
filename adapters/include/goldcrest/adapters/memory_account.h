#ifndef GOLDCREST_ADAPTERS_MEMORY_ACCOUNT_H_
#define GOLDCREST_ADAPTERS_MEMORY_ACCOUNT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "goldcrest/types/time.h"

namespace goldcrest::adapters {

//! The memory that each connection makes a process hold: input that is not
//! passed on yet, what is kept for its session, and output that its peer has
//! not taken. Says which connections may read on and which one is closed first
//! when memory is short. Not thread-safe.
class MemoryAccount {
 public:
  using Id = std::uint64_t;

  //! A connection that holds less is not recorded, so that ordinary messages
  //! cost nothing here.
  static constexpr std::size_t kMinBytes = std::size_t{4} << 10U;
  //! A connection that holds less may read on while memory is short.
  static constexpr std::size_t kMinPausedBytes = std::size_t{64} << 10U;
  //! A shortage that lasts this long ends with the close of a connection: the
  //! paused ones may wait for each other.
  static constexpr Duration kMaxShortage = std::chrono::seconds(1);

  //! `limit` is in bytes, over all connections.
  explicit MemoryAccount(std::size_t limit) : limit_(limit) {}

  //! Records what the connection holds now, in bytes; 0 once it is closed.
  void Set(Time now, Id id, std::size_t bytes);

  //! Whether a connection that holds `bytes` may read on. False for the larger
  //! ones from three quarters of the limit on.
  bool MayRead(std::size_t bytes) const {
    return bytes < kMinPausedBytes || !IsShort();
  }

  //! The connection that holds most, if the limit is exceeded or memory has
  //! been short for kMaxShortage. The caller closes it and sets it to 0.
  std::optional<Id> FirstToClose(Time now) const;

  std::size_t total() const { return total_; }
  std::size_t limit() const { return limit_; }

 private:
  bool IsShort() const { return total_ > limit_ / 4 * 3; }

  const std::size_t limit_;
  std::size_t total_ = 0;
  std::map<Id, std::size_t> bytes_;
  std::set<std::pair<std::size_t, Id>> by_size_;
  // Since the beginning of the shortage or the last close during it.
  Time short_since_ = kNever;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_MEMORY_ACCOUNT_H_
