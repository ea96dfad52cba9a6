#ifndef GOLDCREST_CONSENSUS_OUTPUT_H_
#define GOLDCREST_CONSENSUS_OUTPUT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "goldcrest/consensus/hard_state.h"
#include "goldcrest/consensus/snapshot.h"
#include "goldcrest/messages/messages.h"

namespace goldcrest::consensus {

//! Removes all entries with an index of at least `index`.
struct TruncateLog {
  std::int64_t index = 0;

  bool operator==(const TruncateLog&) const = default;
};

//! Appends entries. The first one directly follows the last stored entry.
struct AppendEntries {
  std::vector<messages::LogEntry> entries;

  bool operator==(const AppendEntries&) const = default;
};

//! Replaces the stored snapshot and removes the entries up to its last index.
//! Later entries are kept only if the log's entry at the snapshot's last index
//! has the snapshot's last term.
struct SaveSnapshot {
  Snapshot snapshot;

  bool operator==(const SaveSnapshot&) const = default;
};

using LogWrite =
    std::variant<HardState, TruncateLog, AppendEntries, SaveSnapshot>;

//! A message to another member.
struct Outbound {
  std::string to;  //!< Member name.
  messages::ConsensusMessage message;
};

//! Actions that the caller of a Replica must take after each call, in this
//! order: make all `writes` durable, send `messages`, restore the application
//! from `installed` if it is set, and apply `committed`. `writes` must be
//! durable before the next call.
struct Output {
  std::vector<LogWrite> writes;
  std::vector<Outbound>
      messages;  //!< The transport may lose, reorder or duplicate them.
  std::optional<Snapshot> installed;  //!< Snapshot received from the leader.
  //! Newly committed entries in index order, each index once between restarts.
  //! Includes membership entries and the empty entry that each leader appends
  //! at the start of its term.
  std::vector<messages::LogEntry> committed;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_OUTPUT_H_
