#include "goldcrest/statements/relay_directory.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace goldcrest::statements {
namespace {

// A relay that owes an answer and has sent nothing for this long is probed.
// Most operations end sooner, so that probes are rare.
constexpr Duration kMaxSilence = std::chrono::milliseconds(250);

// Longer than a round trip between availability zones on a busy link.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);

// A relay declines while it stops or lags behind the configuration.
constexpr Duration kDeclinedDelay = std::chrono::milliseconds(200);

}  // namespace

void RelayDirectory::OnRelay(const messages::RelayInstance& instance) {
  Relay& relay = relays_[instance.instance];
  relay.zone = instance.zone;
  relay.available = instance.available;
  if (!instance.available)
    wanted_.erase(instance.instance);
}

void RelayDirectory::OnLink(Time now, const std::string& name, bool up) {
  Relay& relay = relays_[name];
  relay.linked = up;
  relay.operations = 0;
  relay.unresponsive = false;
  relay.probed_at.reset();
  relay.silent_since = now;
}

void RelayDirectory::OnHeard(Time now, const std::string& name) {
  Relay& relay = relays_[name];
  relay.silent_since = now;
  relay.probed_at.reset();
  relay.unresponsive = false;
}

void RelayDirectory::OnOperationStarted(Time now, const std::string& name) {
  Relay& relay = relays_[name];
  if (relay.operations++ == 0)
    relay.silent_since = now;
}

void RelayDirectory::OnOperationEnded(const std::string& name) {
  Relay& relay = relays_[name];
  relay.operations = std::max(0, relay.operations - 1);
}

void RelayDirectory::OnDeclined(Time now, const std::string& name) {
  relays_[name].avoided_until = now + kDeclinedDelay;
}

bool RelayDirectory::IsUsable(Time now, const Relay& relay) const {
  return relay.linked && !relay.unresponsive && now >= relay.avoided_until;
}

std::string RelayDirectory::Choose(Time now,
                                   const std::string& customer,
                                   const std::string& zone) {
  // The best relay of all and the best usable one.
  std::pair<std::size_t, std::string> preferred;
  std::pair<std::size_t, std::string> usable;
  for (const auto& [name, relay] : relays_) {
    if (!relay.available || relay.zone != zone)
      continue;
    std::string key = customer;
    key.append("\n").append(name);
    const std::pair candidate(std::hash<std::string>{}(key), name);
    preferred = std::max(preferred, candidate);
    if (name == self_ || IsUsable(now, relay))
      usable = std::max(usable, candidate);
  }
  if (!preferred.second.empty() && preferred.second != self_ &&
      !relays_.at(preferred.second).linked)
    wanted_.insert(preferred.second);
  return usable.second;
}

int RelayDirectory::CountIn(const std::string& zone) const {
  return static_cast<int>(std::ranges::count_if(relays_, [&](const auto& item) {
    return item.second.available && item.second.zone == zone;
  }));
}

std::vector<std::string> RelayDirectory::TakeProbesDue(Time now) {
  std::vector<std::string> due;
  for (auto& [name, relay] : relays_) {
    if (!relay.linked || relay.operations == 0 || relay.probed_at ||
        now - relay.silent_since < kMaxSilence)
      continue;
    relay.probed_at = now;
    due.push_back(name);
  }
  return due;
}

std::vector<std::string> RelayDirectory::TakeUnresponsive(Time now) {
  std::vector<std::string> silent;
  for (auto& [name, relay] : relays_) {
    if (relay.unresponsive || !relay.probed_at ||
        now - *relay.probed_at < kProbeTimeout)
      continue;
    relay.unresponsive = true;
    silent.push_back(name);
  }
  return silent;
}

}  // namespace goldcrest::statements
