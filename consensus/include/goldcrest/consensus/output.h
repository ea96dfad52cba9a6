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

//! Drops the entries from `index` on.
struct TruncateLog {
  std::int64_t index = 0;

  bool operator==(const TruncateLog&) const = default;
};

//! Appends entries, which follow the last one without a gap.
struct AppendEntries {
  std::vector<messages::LogEntry> entries;

  bool operator==(const AppendEntries&) const = default;
};

//! Replaces the snapshot and drops the entries up to its last index. The later
//! entries stay only if the log holds the entry at the snapshot's last index
//! with the snapshot's last term.
struct SaveSnapshot {
  Snapshot snapshot;

  bool operator==(const SaveSnapshot&) const = default;
};

using LogWrite =
    std::variant<HardState, TruncateLog, AppendEntries, SaveSnapshot>;

struct Outbound {
  std::string to;  //!< Member name.
  messages::ConsensusMessage message;
};

//! What the caller does after a call, in this order: make all `writes` durable;
//! then send `messages`; restore the application from `installed`, if set; then
//! apply `committed`. `writes` must be durable before the next call.
struct Output {
  std::vector<LogWrite> writes;
  std::vector<Outbound> messages;  //!< May be lost, reordered or duplicated.
  std::optional<Snapshot> installed;
  //! In order of index, each index once between restarts. Includes membership
  //! changes and the empty entry with which a leader begins.
  std::vector<messages::LogEntry> committed;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_OUTPUT_H_
