#include "goldcrest/fleet/fleet_state.h"

#include <utility>

namespace goldcrest::fleet {

void FleetState::Apply(const messages::FleetCommand& command) {
  if (command.__isset.put && (state_.document.text.empty() ||
                              command.put.version > state_.document.version))
    state_.document = command.put;
  if (command.__isset.endpoint) {
    if (command.endpoint.gone)
      state_.endpoints.erase(command.endpoint.endpoint);
    else
      state_.endpoints[command.endpoint.endpoint] = command.endpoint;
  }
  if (command.__isset.reserve)
    state_.reserve_used = command.reserve.used;
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

void FleetState::Load(messages::FleetSnapshot snapshot) {
  state_ = std::move(snapshot);
}

}  // namespace goldcrest::fleet
