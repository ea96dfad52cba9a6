#include "programs/goldcrestd/platform_peers.h"

#include <algorithm>
#include <chrono>

namespace goldcrest {
namespace {

constexpr const char* kClusterName = "goldcrestcross";

// Controllers elect a leader within 400 to 800 ms, so that a link without
// traffic must be replaced soon after.
constexpr std::chrono::milliseconds kPingInterval{400};
constexpr std::chrono::milliseconds kSilenceTimeout{1'000};

// Connecting takes a round trip of some 11 ms.
constexpr std::chrono::milliseconds kConnectTimeout{300};

// Short, because after a restart of all instances no statement is served until
// these links are up.
constexpr std::chrono::milliseconds kMaxReconnectBackoff{150};

// Each entry has links to dozens of others. StatementProxy probes a relay when
// it owes an answer, so that idle links need few pings.
constexpr std::chrono::seconds kRelayPingInterval{30};
constexpr std::chrono::seconds kRelaySilenceTimeout{75};
constexpr std::chrono::milliseconds kMaxRelayReconnectBackoff{2'000};

// An entry stops reading the rows of an answer long before the queue of a relay
// link is full, so that it only fills when the other entry has stopped reading.
constexpr std::size_t kMaxRelayQueueBytes = std::size_t{4} << 20U;
constexpr std::size_t kMinUnidentified = 8;

}  // namespace

std::string PeerName(const platform::BootSettings& settings,
                     std::uint16_t offset) {
  return settings.host + ":" +
         std::to_string(settings.first_internal_port + offset);
}

std::set<std::string> ControllerNames(const platform::BootSettings& settings) {
  std::set<std::string> names;
  for (const platform::SocketAddress& seed : settings.controller_seeds)
    names.insert(
        seed.host + ":" +
        std::to_string(settings.first_internal_port + kControllerPortOffset));
  return names;
}

std::map<std::string, adapters::PeerAddress> PeerAddresses(
    const std::set<std::string>& names) {
  std::map<std::string, adapters::PeerAddress> addresses;
  for (const std::string& name : names) {
    const platform::SocketAddress address = platform::ParseAddress(name);
    if (address.port != 0)
      addresses[name] = {address.host, address.port};
  }
  return addresses;
}

adapters::PeerTransportOptions PeerOptions(
    const platform::BootSettings& settings,
    std::uint16_t offset) {
  adapters::PeerTransportOptions options;
  options.cluster = kClusterName;
  options.self.instance = PeerName(settings, offset);
  options.self.zone = settings.zone;
  options.self.host = settings.host;
  options.self.port = settings.first_internal_port + offset;
  options.host = settings.host;
  options.port = settings.first_internal_port + offset;
  options.ping_interval = kPingInterval;
  options.silence_timeout = kSilenceTimeout;
  options.connect_timeout = kConnectTimeout;
  options.max_backoff = kMaxReconnectBackoff;
  const platform::ConnectionLimits& limits = settings.connection_limits;
  options.max_frame_bytes =
      std::min(options.max_frame_bytes, limits.peer_memory_bytes / 2);
  options.max_queued_bytes =
      std::min(options.max_queued_bytes, limits.peer_memory_bytes / 2);
  options.max_held_bytes = limits.peer_memory_bytes;
  options.max_incoming_connections = limits.max_peer_connections;
  options.max_unidentified_connections =
      std::min(options.max_unidentified_connections,
               std::max(kMinUnidentified, limits.max_peer_connections / 4));
  return options;
}

adapters::HttpServerOptions HttpOptions(
    const platform::SocketAddress& address,
    const platform::ConnectionLimits& limits) {
  adapters::HttpServerOptions options;
  options.host = address.host;
  options.port = address.port;
  options.max_connections = limits.max_http_connections;
  options.replace_idle_connections = true;
  options.max_refused_connections = std::min(options.max_refused_connections,
                                             limits.max_http_connections / 4);
  options.max_held_bytes = limits.http_memory_bytes;
  return options;
}

adapters::PeerTransportOptions RelayLinkOptions(
    const platform::BootSettings& settings) {
  adapters::PeerTransportOptions options =
      PeerOptions(settings, kRelayPortOffset);
  options.ping_interval = kRelayPingInterval;
  options.silence_timeout = kRelaySilenceTimeout;
  options.max_backoff = kMaxRelayReconnectBackoff;
  options.max_queued_bytes =
      std::min(kMaxRelayQueueBytes, options.max_queued_bytes);
  // An entry's links to controllers have the other half.
  options.max_held_bytes /= 2;
  options.max_queued_messages = SIZE_MAX;
  options.ordered = true;
  return options;
}

quota::LimitWindow LimitWindowOf(const platform::BootSettings& settings) {
  return {settings.quota_window, settings.quota_tolerance,
          settings.quota_allowance};
}

}  // namespace goldcrest
