#ifndef GOLDCREST_STORAGE_ENTRY_LOG_H_
#define GOLDCREST_STORAGE_ENTRY_LOG_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "file.h"
#include "goldcrest/consensus/snapshot.h"
#include "goldcrest/messages/messages.h"

namespace goldcrest::storage {

//! The file of log entries, one record each, without gaps. It may begin below
//! the snapshot's last index only between a crash and Load().
class EntryLog {
 public:
  //! `folder` is the open data folder, which must outlive this object.
  EntryLog(File& folder, FileHooks hooks);

  //! Opens or creates the file, cuts off a torn tail, drops what the snapshot
  //! replaces, and returns the other entries. kLogDamaged, kLogWriteFailed.
  boost::leaf::result<std::vector<messages::LogEntry>> Load(
      const consensus::Snapshot& snapshot);

  //! Not durable before Sync().
  boost::leaf::result<void> Append(
      const std::vector<messages::LogEntry>& entries);
  boost::leaf::result<void> Sync();
  //! Drops the entries from `index` on, durably.
  boost::leaf::result<void> Truncate(std::int64_t index);
  //! Drops what the snapshot replaces, durably. The snapshot must be durable.
  boost::leaf::result<void> Install(const consensus::Snapshot& snapshot);

 private:
  struct Slot {
    std::uint64_t offset;
    std::int64_t term;
  };

  boost::leaf::result<void> Scan(const std::string& bytes,
                                 std::vector<messages::LogEntry>& entries);
  std::int64_t LastIndex() const;
  bool Keeps(const consensus::Snapshot& snapshot) const;
  boost::leaf::result<void> OpenFile();

  File& folder_;
  FileHooks hooks_;
  File file_;
  std::int64_t first_index_ = 1;
  std::vector<Slot> slots_;
  std::uint64_t size_ = 0;
  bool unsynced_ = false;
};

}  // namespace goldcrest::storage

#endif  // GOLDCREST_STORAGE_ENTRY_LOG_H_
