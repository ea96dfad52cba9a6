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

// Deepest nesting of goldcrest.thrift is 6; bounds the stack that hostile
// bytes can use.
constexpr int kMaxNesting = 16;

template <typename Message>
std::string EncodeAny(const Message& message) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

template <typename Message>
std::optional<Message> DecodeAny(std::string_view bytes,
                                 std::size_t max_bytes = kMaxEncodedBytes) {
  if (bytes.size() > max_bytes)
    return std::nullopt;
  // TMemoryBuffer takes a mutable pointer but only reads in OBSERVE mode.
  auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
  auto configuration = std::make_shared<TConfiguration>(
      static_cast<int>(max_bytes), static_cast<int>(max_bytes), kMaxNesting);
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
  return EncodeAny(message);
}

std::string Encode(const Command& command) {
  return EncodeAny(command);
}

std::string Encode(const ControlSnapshot& snapshot) {
  return EncodeAny(snapshot);
}

std::string Encode(const Change& change) {
  return EncodeAny(change);
}

std::string Encode(const FleetCommand& command) {
  return EncodeAny(command);
}

std::string Encode(const FleetSnapshot& snapshot) {
  return EncodeAny(snapshot);
}

std::string Encode(const LogEntry& entry) {
  return EncodeAny(entry);
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  return DecodeAny<PeerMessage>(bytes);
}

std::optional<Command> DecodeCommand(std::string_view bytes) {
  return DecodeAny<Command>(bytes);
}

std::optional<ControlSnapshot> DecodeControlSnapshot(std::string_view bytes) {
  return DecodeAny<ControlSnapshot>(bytes, kMaxSnapshotBytes);
}

std::optional<FleetCommand> DecodeFleetCommand(std::string_view bytes) {
  return DecodeAny<FleetCommand>(bytes);
}

std::optional<FleetSnapshot> DecodeFleetSnapshot(std::string_view bytes) {
  return DecodeAny<FleetSnapshot>(bytes, kMaxSnapshotBytes);
}

std::optional<LogEntry> DecodeLogEntry(std::string_view bytes) {
  return DecodeAny<LogEntry>(bytes);
}

}  // namespace goldcrest::messages
