#ifndef GOLDCREST_FLEET_FLEET_STATE_H_
#define GOLDCREST_FLEET_FLEET_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "goldcrest/messages/messages.h"

namespace goldcrest::fleet {

//! The state machine that the controllers replicate: the newest configuration
//! document, the instances that may hold shares of customers' rates, the
//! evacuated availability zones, and the endpoints, so that after a restart of
//! all instances no controller has to wait for heartbeats.
class FleetState {
 public:
  //! Applies the command that is committed at `index` of the log.
  //! Deterministic. A document replaces only a document of a lower version.
  void Apply(const messages::FleetCommand& command, std::int64_t index);

  void Load(messages::FleetSnapshot snapshot);
  const messages::FleetSnapshot& Save() const { return state_; }

  std::int64_t version() const { return state_.document.version; }
  //! Empty before the first document.
  const std::string& text() const { return state_.document.text; }
  const std::map<std::string, messages::HolderState>& holders() const {
    return state_.holders;
  }
  //! By name. Includes the latest ones that are gone.
  const std::map<std::string, messages::EndpointRecord>& endpoints() const {
    return state_.endpoints;
  }
  //! True if a leader has granted the reserves of limits, and they may not be
  //! granted again yet.
  bool reserve_used() const { return state_.reserve_used; }
  const std::set<std::string>& evacuated_zones() const {
    return state_.evacuated_zones;
  }
  //! Index in the log of the last change of the evacuated zones; 0 if there was
  //! none.
  std::int64_t evacuations_index() const { return state_.evacuations_index; }
  //! Bounds of the standing shares, by customer; see quota::Owner. Customers
  //! without one have a bound of 100.
  const std::map<std::string, std::int32_t>& share_bounds() const {
    return state_.share_bounds;
  }

 private:
  void ApplyEvacuation(const messages::ZoneEvacuation& evacuation,
                       std::int64_t index);

  messages::FleetSnapshot state_;
};

}  // namespace goldcrest::fleet

#endif  // GOLDCREST_FLEET_FLEET_STATE_H_
