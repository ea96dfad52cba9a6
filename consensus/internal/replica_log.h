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

//! The snapshot and the entries that follow it, in memory.
class ReplicaLog {
 public:
  ReplicaLog(Snapshot snapshot, std::vector<messages::LogEntry> entries);

  std::int64_t LastIndex() const;
  std::int64_t LastTerm() const;
  //! nullopt below the snapshot and beyond the end; 0 at index 0 without one.
  std::optional<std::int64_t> TermAt(std::int64_t index) const;
  //! `index` must be within (snapshot, end].
  const messages::LogEntry& At(std::int64_t index) const;
  //! The lowest index above the snapshot from which on all entries up to
  //! `index` have the same term.
  std::int64_t FirstIndexOfTermAt(std::int64_t index) const;
  //! Entries from `first` on, at least one if there is one, at most `max_count`
  //! and about `max_bytes`.
  std::vector<messages::LogEntry> Slice(std::int64_t first,
                                        std::size_t max_count,
                                        std::size_t max_bytes) const;

  //! Sorted names of the members in force after the last entry.
  const std::vector<std::string>& Members() const { return members_; }
  //! Index of the entry, or of the snapshot, that set Members().
  std::int64_t MembersIndex() const { return members_index_; }
  std::vector<std::string> MembersAt(std::int64_t index) const;

  void Append(messages::LogEntry entry);
  //! Drops the entries from `index` on.
  void Truncate(std::int64_t index);
  //! Later entries stay only if the entry at the snapshot's end matches it.
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
