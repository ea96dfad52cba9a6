#ifndef GOLDCREST_CONSENSUS_REPLICA_LOG_H_
#define GOLDCREST_CONSENSUS_REPLICA_LOG_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/consensus/snapshot.h"
#include "goldcrest/messages/messages.h"

namespace goldcrest::consensus {

//! In-memory log: the latest snapshot and the entries that follow it.
class ReplicaLog {
 public:
  ReplicaLog(Snapshot snapshot, std::vector<messages::LogEntry> entries);

  std::int64_t LastIndex() const;
  std::int64_t LastTerm() const;
  //! nullopt before the snapshot's last index and after the last entry; 0 at
  //! index 0 without a snapshot.
  std::optional<std::int64_t> TermAt(std::int64_t index) const;
  //! `index` must be in (last index of the snapshot, LastIndex()].
  const messages::LogEntry& At(std::int64_t index) const;
  //! The lowest index after the snapshot such that all entries from there to
  //! `index` have the same term.
  std::int64_t FirstIndexOfTermAt(std::int64_t index) const;
  //! Entries starting at `first`: at most `max_count` with commands of at most
  //! `max_bytes` in total, but at least one if there is any.
  std::vector<messages::LogEntry> Slice(std::int64_t first,
                                        std::size_t max_count,
                                        std::size_t max_bytes) const;

  //! Sorted names of the members after the last entry.
  const std::vector<std::string>& Members() const { return members_; }
  //! Index of the entry or snapshot that set Members().
  std::int64_t MembersIndex() const { return members_index_; }
  std::vector<std::string> MembersAt(std::int64_t index) const;

  void Append(messages::LogEntry entry);
  //! Removes all entries with an index of at least `index`.
  void Truncate(std::int64_t index);
  //! Replaces the snapshot and the entries that it covers. Later entries are
  //! kept only if the entry at the snapshot's last index has its last term.
  void Install(Snapshot snapshot);

  const Snapshot& CurrentSnapshot() const { return snapshot_; }

 private:
  void FindMembers();

  Snapshot snapshot_;
  std::vector<messages::LogEntry> entries_;
  std::vector<std::string> members_;
  std::int64_t members_index_ = 0;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_REPLICA_LOG_H_
