#include "goldcrest/fleet/membership_planner.h"

#include <algorithm>

namespace goldcrest::fleet {
namespace {

std::vector<std::string> Without(std::vector<std::string> members,
                                 const std::string& name) {
  std::erase(members, name);
  return members;
}

}  // namespace

std::optional<std::vector<std::string>> NextMembership(
    Time now,
    const MembershipView& view) {
  const auto is_member = [&](const std::string& name) {
    return std::ranges::count(view.members, name) > 0;
  };
  const auto is_live = [&](const std::string& name) {
    const auto it = view.peers.find(name);
    return name == view.self ||
           (it != view.peers.end() && now - it->second.heard_at < kPeerTimeout);
  };
  for (const auto& [name, peer] : view.peers) {
    if (is_member(name) && peer.joining && is_live(name) &&
        view.members.size() > 1 &&
        now - view.changed_at >= kAdmissionGracePeriod)
      return Without(view.members, name);
  }
  const auto is_silent = [&](const std::string& name) {
    const auto it = view.peers.find(name);
    return name != view.self && it != view.peers.end() &&
           now - it->second.heard_at >= kMemberRemovalTimeout;
  };
  const auto silent = std::ranges::find_if(view.members, is_silent);
  for (const auto& [name, peer] : view.peers) {
    if (is_member(name) || !peer.has_disk || peer.draining || !is_live(name))
      continue;
    if (view.addition_refused && silent != view.members.end())
      return Without(view.members, *silent);
    std::vector<std::string> members = view.members;
    members.push_back(name);
    return members;
  }
  const auto wanted = 2 * static_cast<std::size_t>(view.tolerated_losses) + 1;
  if (view.members.size() <= wanted)
    return std::nullopt;
  if (silent != view.members.end())
    return Without(view.members, *silent);
  for (const auto& [name, peer] : view.peers) {
    if (is_member(name) && peer.draining)
      return Without(view.members, name);
  }
  return std::nullopt;
}

}  // namespace goldcrest::fleet
