#ifndef GOLDCREST_MESSAGES_CODEC_H_
#define GOLDCREST_MESSAGES_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "goldcrest/messages/messages.h"

namespace goldcrest::messages {

//! Largest encoded message that is read, in bytes. A peer that announces more
//! is disconnected.
inline constexpr std::size_t kMaxEncodedBytes = std::size_t{16} << 20U;

//! Largest encoded snapshot that is read, in bytes. A snapshot comes from the
//! own disk or in chunks from another control member, and holds the whole
//! configuration; at 100,000 customers with one key each it has 15 MB.
inline constexpr std::size_t kMaxSnapshotBytes = std::size_t{256} << 20U;

//! Encodes in the Thrift compact protocol.
std::string Encode(const PeerMessage& message);
std::string Encode(const Command& command);
std::string Encode(const ControlSnapshot& snapshot);
std::string Encode(const Change& change);
std::string Encode(const FleetCommand& command);
std::string Encode(const FleetSnapshot& snapshot);
std::string Encode(const LogEntry& entry);

//! Decodes bytes of any origin; nullopt when they are not one whole valid
//! message or larger than kMaxEncodedBytes (a snapshot: kMaxSnapshotBytes).
std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes);
std::optional<Command> DecodeCommand(std::string_view bytes);
std::optional<ControlSnapshot> DecodeControlSnapshot(std::string_view bytes);
std::optional<FleetCommand> DecodeFleetCommand(std::string_view bytes);
std::optional<FleetSnapshot> DecodeFleetSnapshot(std::string_view bytes);
std::optional<LogEntry> DecodeLogEntry(std::string_view bytes);

}  // namespace goldcrest::messages

#endif  // GOLDCREST_MESSAGES_CODEC_H_
