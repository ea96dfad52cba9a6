#ifndef GOLDCREST_FLEET_FLEET_STATE_H_
#define GOLDCREST_FLEET_FLEET_STATE_H_

#include <cstdint>
#include <map>
#include <string>

#include "goldcrest/messages/messages.h"

namespace goldcrest::fleet {

//! What the controllers agree on: the newest configuration document, the
//! instances that may hold shares of customers' rates, and the endpoints, so
//! that a restart of all instances need not wait for heartbeats.
class FleetState {
 public:
  //! Deterministic. A document replaces one of a lower version only.
  void Apply(const messages::FleetCommand& command);

  void Load(messages::FleetSnapshot snapshot);
  const messages::FleetSnapshot& Save() const { return state_; }

  std::int64_t version() const { return state_.document.version; }
  //! Empty before the first document.
  const std::string& text() const { return state_.document.text; }
  const std::map<std::string, messages::HolderState>& holders() const {
    return state_.holders;
  }
  const std::map<std::string, messages::EndpointRecord>& endpoints() const {
    return state_.endpoints;
  }
  //! A leader has given out the reserves of limits not long ago.
  bool reserve_used() const { return state_.reserve_used; }

 private:
  messages::FleetSnapshot state_;
};

}  // namespace goldcrest::fleet

#endif  // GOLDCREST_FLEET_FLEET_STATE_H_
