#ifndef GOLDCREST_STORAGE_RECORDS_H_
#define GOLDCREST_STORAGE_RECORDS_H_

#include <optional>
#include <string>
#include <string_view>

#include "goldcrest/consensus/hard_state.h"
#include "goldcrest/consensus/snapshot.h"

namespace goldcrest::storage {

struct Identity {
  std::string cluster;
  std::string instance;

  bool operator==(const Identity&) const = default;
};

//! Contents of the files `identity`, `hard_state` and `snapshot`. Each consists
//! of records whose payloads are PeerMessages: a Hello; a VoteRequest with the
//! term, the vote as candidate and `joining` as pre_vote; SnapshotChunks. The
//! Decode functions return nullopt for incomplete or damaged contents.
std::string EncodeIdentity(const Identity& identity);
std::optional<Identity> DecodeIdentity(std::string_view bytes);

std::string EncodeHardState(const consensus::HardState& state);
std::optional<consensus::HardState> DecodeHardState(std::string_view bytes);

std::string EncodeSnapshot(const consensus::Snapshot& snapshot);
std::optional<consensus::Snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace goldcrest::storage

#endif  // GOLDCREST_STORAGE_RECORDS_H_
