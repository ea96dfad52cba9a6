#include "internal/mark_codec.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <exception>
#include <memory>
#include <utility>

#include "goldcrest/session/token_sealer.h"

namespace goldcrest::session {
namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

constexpr int kMaxBytes = static_cast<int>(TokenSealer::kMaxTokenBytes);

// Throws on malformed bytes.
std::optional<Marks> ReadMarks(Protocol& protocol) {
  Marks marks;
  protocol.readString(marks.customer);
  std::int32_t count = 0;
  protocol.readI32(count);
  if (count < 0 || count > static_cast<std::int32_t>(TokenSealer::kMaxGroups)) {
    return std::nullopt;
  }
  for (std::int32_t i = 0; i < count; ++i) {
    std::string group;
    Mark mark;
    protocol.readString(group);
    protocol.readI64(mark.term);
    protocol.readI64(mark.position);
    marks.groups.emplace(std::move(group), mark);
  }
  return marks;
}

}  // namespace

std::string EncodeMarks(const Marks& marks) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  Protocol protocol(buffer);
  protocol.writeString(marks.customer);
  protocol.writeI32(static_cast<std::int32_t>(marks.groups.size()));
  for (const auto& [group, mark] : marks.groups) {
    protocol.writeString(group);
    protocol.writeI64(mark.term);
    protocol.writeI64(mark.position);
  }
  return buffer->getBufferAsString();
}

std::optional<Marks> DecodeMarks(std::string_view bytes) {
  if (bytes.size() > TokenSealer::kMaxTokenBytes)
    return std::nullopt;
  // TMemoryBuffer takes a mutable pointer but only reads in OBSERVE mode.
  auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
  auto buffer = std::make_shared<TMemoryBuffer>(
      data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE,
      std::make_shared<TConfiguration>(kMaxBytes, kMaxBytes));
  Protocol protocol(buffer);
  std::optional<Marks> marks;
  try {
    marks = ReadMarks(protocol);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  if (buffer->available_read() != 0)
    return std::nullopt;
  return marks;
}

}  // namespace goldcrest::session
