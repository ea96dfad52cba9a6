#ifndef GOLDCREST_POLICY_CONFIGURATION_STATE_H_
#define GOLDCREST_POLICY_CONFIGURATION_STATE_H_

#include <cstdint>
#include <vector>

#include "goldcrest/messages/messages.h"

namespace goldcrest::policy {

//! State of a Configuration for a snapshot; ControlSnapshot stores its fields.
struct ConfigurationState {
  std::int64_t revision = 0;
  std::vector<messages::Object> objects;         //!< Including tombstones.
  std::vector<messages::AppliedChange> changes;  //!< Oldest first.

  bool operator==(const ConfigurationState&) const = default;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_CONFIGURATION_STATE_H_
