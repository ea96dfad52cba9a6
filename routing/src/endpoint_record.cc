#include "goldcrest/routing/endpoint_record.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace goldcrest::routing {
namespace {

// Names become fields of a line, which end at a blank or a line break.
bool IsName(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](unsigned char c) {
    return c > ' ' && c != 0x7f;
  });
}

bool IsIpAddress(const std::string& host) {
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  return ::inet_pton(AF_INET, host.c_str(), binary.data()) == 1 ||
         ::inet_pton(AF_INET6, host.c_str(), binary.data()) == 1;
}

bool IsPort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, port);
  return parsed.ec == std::errc() && parsed.ptr == end && port != 0;
}

}  // namespace

std::string DescribeState(const messages::EndpointRecord& record) {
  std::string state = record.primary ? "primary" : "replica";
  if (record.draining)
    state += " draining";
  if (record.gone)
    state += " gone";
  return state;
}

std::string FindRecordProblem(const messages::EndpointRecord& record) {
  if (!IsName(record.endpoint))
    return "id can't name a database";
  if (!IsName(record.group))
    return "service can't name a group";
  const std::size_t colon = record.address.rfind(':');
  if (colon == std::string::npos ||
      !IsPort(std::string_view(record.address).substr(colon + 1)))
    return "address has no port between 1 and 65535";
  if (!IsIpAddress(record.address.substr(0, colon)))
    return "address has no IP number";
  if (record.sequence < 0 || record.started_ms < 0 || record.epoch < 0)
    return "a number is negative";
  return "";
}

}  // namespace goldcrest::routing
