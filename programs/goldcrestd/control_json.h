#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_CONTROL_JSON_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_CONTROL_JSON_H_

#include <string>

#include "goldcrest/entry/control_node.h"

namespace goldcrest {

//! What the control leader knows of the fleet, as JSON.
std::string StatusJson(const entry::ControlNode& node, Time now);

//! The journal's entries whose subject or inputs name `subject`; all entries
//! if it is empty.
std::string JournalJson(const control::ControlState& state,
                        const std::string& subject);

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_CONTROL_JSON_H_
