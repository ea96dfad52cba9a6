#include "goldcrest/fleet/fleet_state.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace goldcrest::fleet {
namespace {

// Gone endpoints are kept, so that their delayed heartbeats are recognised
// after a restart of all controllers as well.
constexpr std::ptrdiff_t kMaxGoneEndpoints = 500;

void DropOldestGone(std::map<std::string, messages::EndpointRecord>& records) {
  const auto is_gone = [](const auto& item) { return item.second.gone; };
  if (std::ranges::count_if(records, is_gone) <= kMaxGoneEndpoints)
    return;
  const auto rank = [](const auto& item) {
    return std::pair(!item.second.gone, item.second.started_ms);
  };
  records.erase(std::ranges::min_element(records, {}, rank));
}

}  // namespace

void FleetState::Apply(const messages::FleetCommand& command,
                       std::int64_t index) {
  if (command.__isset.put && (state_.document.text.empty() ||
                              command.put.version > state_.document.version))
    state_.document = command.put;
  if (command.__isset.endpoint) {
    state_.endpoints[command.endpoint.endpoint] = command.endpoint;
    DropOldestGone(state_.endpoints);
  }
  if (command.__isset.reserve)
    state_.reserve_used = command.reserve.used;
  if (command.__isset.evacuation)
    ApplyEvacuation(command.evacuation, index);
  if (command.__isset.bounds) {
    for (const auto& [customer, percent] : command.bounds.percents) {
      if (percent < 100)
        state_.share_bounds[customer] = percent;
      else
        state_.share_bounds.erase(customer);
    }
  }
  if (!command.__isset.holder)
    return;
  messages::HolderState& holder = state_.holders[command.holder.instance];
  if (command.holder.released) {
    holder.process = 0;
  } else if (holder.process != command.holder.process) {
    holder.process = command.holder.process;
    ++holder.incarnation;
  }
}

// A repeated order changes nothing, so that the index stays as well.
void FleetState::ApplyEvacuation(const messages::ZoneEvacuation& evacuation,
                                 std::int64_t index) {
  const bool changed =
      evacuation.active ? state_.evacuated_zones.insert(evacuation.zone).second
                        : state_.evacuated_zones.erase(evacuation.zone) > 0;
  if (changed)
    state_.evacuations_index = index;
}

void FleetState::Load(messages::FleetSnapshot snapshot) {
  state_ = std::move(snapshot);
}

}  // namespace goldcrest::fleet
