#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_CONTROL_JSON_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_CONTROL_JSON_H_

#include <string>

#include "goldcrest/entry/control_node.h"

namespace goldcrest {

//! The control leader's view of the fleet (leader, members, instances, groups
//! and endpoints) as JSON.
std::string StatusJson(const entry::ControlNode& node, Time now);

//! The journal entries whose subject or inputs name `subject`, as JSON; all
//! entries if `subject` is empty.
std::string JournalJson(const control::ControlState& state,
                        const std::string& subject);

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_CONTROL_JSON_H_
