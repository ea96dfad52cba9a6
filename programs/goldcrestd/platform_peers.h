#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_PEERS_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_PEERS_H_

#include <map>
#include <set>
#include <string>

#include "goldcrest/adapters/peer_transport.h"
#include "goldcrest/platform/boot_settings.h"
#include "goldcrest/quota/limit.h"

namespace goldcrest {

// A process is named by the address of its peer port, which is all that others
// need to reach it. Both processes of an instance take a port of its internal
// range.
inline constexpr std::uint16_t kControllerOffset = 0;
inline constexpr std::uint16_t kEntryOffset = 1;

//! Name of the process whose port has this offset in the internal range.
std::string PeerName(const platform::BootSettings& settings,
                     std::uint16_t offset);

//! Names of the controllers that the settings list.
std::set<std::string> ControllerNames(const platform::BootSettings& settings);

//! Where the named processes listen.
std::map<std::string, adapters::PeerAddress> PeerAddresses(
    const std::set<std::string>& names);

adapters::PeerTransportOptions PeerOptions(
    const platform::BootSettings& settings,
    std::uint16_t offset);

quota::LimitWindow LimitWindowOf(const platform::BootSettings& settings);

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_PEERS_H_
