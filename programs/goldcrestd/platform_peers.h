#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_PEERS_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_PEERS_H_

#include <map>
#include <set>
#include <string>

#include "goldcrest/adapters/http_server.h"
#include "goldcrest/adapters/peer_transport.h"
#include "goldcrest/platform/boot_settings.h"
#include "goldcrest/quota/limit.h"

namespace goldcrest {

// The name of a process is the address of its peer port, so that its peers can
// connect to it without a directory. The controller and the entry of an
// instance use these ports of the instance's internal range.
inline constexpr std::uint16_t kControllerPortOffset = 0;
inline constexpr std::uint16_t kEntryPortOffset = 1;
// Port of the entry for other entries.
inline constexpr std::uint16_t kRelayPortOffset = 2;

//! Name of this instance's process whose peer port has this offset in the
//! internal range.
std::string PeerName(const platform::BootSettings& settings,
                     std::uint16_t offset);

//! Names of the controllers in the settings' list of seeds.
std::set<std::string> ControllerNames(const platform::BootSettings& settings);

//! Peer addresses of the named processes; names without a port are left out.
std::map<std::string, adapters::PeerAddress> PeerAddresses(
    const std::set<std::string>& names);

adapters::PeerTransportOptions PeerOptions(
    const platform::BootSettings& settings,
    std::uint16_t offset);

//! Options of the links between entries.
adapters::PeerTransportOptions RelayLinkOptions(
    const platform::BootSettings& settings);
//! Options of the HTTP listener at this address.
adapters::HttpServerOptions HttpOptions(
    const platform::SocketAddress& address,
    const platform::ConnectionLimits& limits);

quota::LimitWindow LimitWindowOf(const platform::BootSettings& settings);

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_PEERS_H_
