#include "records.h"

#include <cstddef>
#include <vector>

#include "goldcrest/messages/codec.h"
#include "goldcrest/messages/messages.h"
#include "record.h"

namespace goldcrest::storage {
namespace {

// Keeps each record below messages::kMaxEncodedBytes.
constexpr std::size_t kSnapshotChunkBytes = std::size_t{4} << 20U;

std::optional<std::vector<messages::PeerMessage>> DecodeMessages(
    std::string_view bytes) {
  std::vector<messages::PeerMessage> all;
  const auto result =
      ScanRecords(bytes, [&all](std::size_t, std::string_view payload) {
        auto message = messages::DecodePeerMessage(payload);
        if (message)
          all.push_back(std::move(*message));
        return message.has_value();
      });
  if (result.end != ScanEnd::kComplete || all.empty())
    return std::nullopt;
  return all;
}

std::optional<messages::PeerMessage> DecodeSingleMessage(
    std::string_view bytes) {
  const auto all = DecodeMessages(bytes);
  if (!all || all->size() != 1)
    return std::nullopt;
  return all->front();
}

std::string EncodeConsensusRecord(const messages::ConsensusMessage& message) {
  messages::PeerMessage peer_message;
  peer_message.__set_consensus(message);
  return EncodeRecord(messages::Encode(peer_message));
}

}  // namespace

std::string EncodeIdentity(const Identity& identity) {
  messages::Hello hello;
  hello.cluster = identity.cluster;
  hello.instance.instance = identity.instance;
  messages::PeerMessage message;
  message.__set_hello(hello);
  return EncodeRecord(messages::Encode(message));
}

std::optional<Identity> DecodeIdentity(std::string_view bytes) {
  const auto message = DecodeSingleMessage(bytes);
  if (!message || !message->__isset.hello)
    return std::nullopt;
  return Identity{message->hello.cluster, message->hello.instance.instance};
}

std::string EncodeHardState(const consensus::HardState& state) {
  messages::VoteRequest request;
  request.term = state.term;
  request.candidate = state.vote;
  request.pre_vote = state.joining;
  messages::ConsensusMessage message;
  message.__set_vote_request(request);
  return EncodeConsensusRecord(message);
}

std::optional<consensus::HardState> DecodeHardState(std::string_view bytes) {
  const auto message = DecodeSingleMessage(bytes);
  if (!message || !message->consensus.__isset.vote_request)
    return std::nullopt;
  const messages::VoteRequest& request = message->consensus.vote_request;
  return consensus::HardState{request.term, request.candidate,
                              request.pre_vote};
}

std::string EncodeSnapshot(const consensus::Snapshot& snapshot) {
  std::string bytes;
  std::size_t offset = 0;
  do {
    messages::SnapshotChunk chunk;
    chunk.last_index = snapshot.last_index;
    chunk.last_term = snapshot.last_term;
    chunk.members = snapshot.members;
    chunk.offset = static_cast<std::int64_t>(offset);
    chunk.data = snapshot.data.substr(offset, kSnapshotChunkBytes);
    offset += chunk.data.size();
    chunk.done = offset == snapshot.data.size();
    messages::ConsensusMessage message;
    message.__set_snapshot_chunk(chunk);
    bytes += EncodeConsensusRecord(message);
  } while (offset < snapshot.data.size());
  return bytes;
}

std::optional<consensus::Snapshot> DecodeSnapshot(std::string_view bytes) {
  const auto all = DecodeMessages(bytes);
  if (!all)
    return std::nullopt;
  consensus::Snapshot snapshot;
  for (const messages::PeerMessage& message : *all) {
    const messages::SnapshotChunk& chunk = message.consensus.snapshot_chunk;
    const bool last = &message == &all->back();
    if (!message.consensus.__isset.snapshot_chunk || chunk.done != last ||
        chunk.offset != static_cast<std::int64_t>(snapshot.data.size()))
      return std::nullopt;
    snapshot.last_index = chunk.last_index;
    snapshot.last_term = chunk.last_term;
    snapshot.members = chunk.members;
    snapshot.data += chunk.data;
  }
  return snapshot;
}

}  // namespace goldcrest::storage
