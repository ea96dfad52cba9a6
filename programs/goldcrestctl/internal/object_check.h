#ifndef GOLDCREST_CTL_OBJECT_CHECK_H_
#define GOLDCREST_CTL_OBJECT_CHECK_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "check_report.h"
#include "goldcrest/messages/messages.h"

namespace goldcrest::ctl {

//! The objects in force.
struct ObjectsInForce {
  std::int64_t revision = 0;
  std::vector<messages::Object> objects;
};

//! Checks a change of `objects` as the control members do, by applying it to
//! `in_force`, and what the result would contain without effect. Without
//! `in_force`, references to objects that are not in the change are warnings.
CheckReport CheckObjects(std::optional<std::int64_t> base_revision,
                         const std::vector<messages::Object>& objects,
                         const std::optional<ObjectsInForce>& in_force);

}  // namespace goldcrest::ctl

#endif  // GOLDCREST_CTL_OBJECT_CHECK_H_
