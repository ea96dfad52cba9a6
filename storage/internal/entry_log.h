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

//! The log file: one record per entry, with consecutive indexes. Entries that
//! the snapshot covers are in the file only from a crash until Load().
class EntryLog {
 public:
  //! `folder` is the open data folder, which must outlive this object.
  EntryLog(File& folder, FileHooks hooks);

  //! Opens or creates the file, truncates an incomplete last record, drops the
  //! entries that the snapshot replaces and returns the remaining ones.
  //! Errors: kLogDamaged, kLogWriteFailed.
  boost::leaf::result<std::vector<messages::LogEntry>> Load(
      const consensus::Snapshot& snapshot);

  //! The entries are durable only after Sync().
  boost::leaf::result<void> Append(
      const std::vector<messages::LogEntry>& entries);
  boost::leaf::result<void> Sync();
  //! Durably removes the entries from `index` on.
  boost::leaf::result<void> Truncate(std::int64_t index);
  //! Durably removes the entries up to the snapshot's last index, or all
  //! entries if the log does not match the snapshot. The snapshot must be
  //! durable.
  boost::leaf::result<void> InstallSnapshot(
      const consensus::Snapshot& snapshot);

 private:
  struct EntryLocation {
    std::uint64_t offset;
    std::int64_t term;
  };

  boost::leaf::result<void> Scan(const std::string& bytes,
                                 std::vector<messages::LogEntry>& entries);
  std::int64_t LastIndex() const;
  bool MatchesSnapshot(const consensus::Snapshot& snapshot) const;
  boost::leaf::result<void> OpenFile();

  File& folder_;
  FileHooks hooks_;
  File file_;
  std::int64_t first_index_ = 1;
  std::vector<EntryLocation> locations_;
  std::uint64_t size_ = 0;
  bool unsynced_ = false;
};

}  // namespace goldcrest::storage

#endif  // GOLDCREST_STORAGE_ENTRY_LOG_H_
