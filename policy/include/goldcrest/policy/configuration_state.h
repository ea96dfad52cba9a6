#ifndef GOLDCREST_POLICY_CONFIGURATION_STATE_H_
#define GOLDCREST_POLICY_CONFIGURATION_STATE_H_

#include <cstdint>
#include <vector>

#include "goldcrest/messages/messages.h"

namespace goldcrest::policy {

//! The configuration in a snapshot; the fields go into ControlSnapshot.
struct ConfigurationState {
  std::int64_t revision = 0;
  std::vector<messages::Object> objects;         //!< With tombstones.
  std::vector<messages::AppliedChange> changes;  //!< Oldest first.

  bool operator==(const ConfigurationState&) const = default;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_CONFIGURATION_STATE_H_
