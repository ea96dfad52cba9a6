#include "goldcrest/messages/codec.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <exception>
#include <memory>

namespace goldcrest::messages {
namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

// Limits the stack depth that untrusted input can cause. The deepest nesting in
// goldcrest.thrift is 6.
constexpr int kMaxNestingDepth = 16;

template <typename Message>
std::string EncodeCompact(const Message& message) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

template <typename Message>
std::optional<Message> DecodeCompact(std::string_view bytes,
                                     std::size_t max_bytes = kMaxEncodedBytes) {
  if (bytes.size() > max_bytes)
    return std::nullopt;
  // TMemoryBuffer takes a mutable pointer but only reads in OBSERVE mode.
  auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
  auto configuration = std::make_shared<TConfiguration>(
      static_cast<int>(max_bytes), static_cast<int>(max_bytes),
      kMaxNestingDepth);
  auto buffer = std::make_shared<TMemoryBuffer>(
      data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE,
      configuration);
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  Message message;
  try {
    message.read(&protocol);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  if (buffer->available_read() != 0)
    return std::nullopt;
  return message;
}

}  // namespace

std::string Encode(const PeerMessage& message) {
  return EncodeCompact(message);
}

std::string Encode(const Command& command) {
  return EncodeCompact(command);
}

std::string Encode(const ControlSnapshot& snapshot) {
  return EncodeCompact(snapshot);
}

std::string Encode(const Change& change) {
  return EncodeCompact(change);
}

std::string Encode(const FleetCommand& command) {
  return EncodeCompact(command);
}

std::string Encode(const FleetSnapshot& snapshot) {
  return EncodeCompact(snapshot);
}

std::string Encode(const LogEntry& entry) {
  return EncodeCompact(entry);
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  return DecodeCompact<PeerMessage>(bytes);
}

std::optional<Command> DecodeCommand(std::string_view bytes) {
  return DecodeCompact<Command>(bytes);
}

std::optional<ControlSnapshot> DecodeControlSnapshot(std::string_view bytes) {
  return DecodeCompact<ControlSnapshot>(bytes, kMaxSnapshotBytes);
}

std::optional<FleetCommand> DecodeFleetCommand(std::string_view bytes) {
  return DecodeCompact<FleetCommand>(bytes);
}

std::optional<FleetSnapshot> DecodeFleetSnapshot(std::string_view bytes) {
  return DecodeCompact<FleetSnapshot>(bytes, kMaxSnapshotBytes);
}

std::optional<LogEntry> DecodeLogEntry(std::string_view bytes) {
  return DecodeCompact<LogEntry>(bytes);
}

}  // namespace goldcrest::messages
