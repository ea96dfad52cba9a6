#ifndef GOLDCREST_CTL_OBJECT_DIFF_H_
#define GOLDCREST_CTL_OBJECT_DIFF_H_

#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"

namespace goldcrest::ctl {

//! What applying `wanted` would change in `current`, one line per change, as
//! "+ quota gold", "- key van-1" or "~ quota gold: rate 5 -> 7". Objects that
//! are only in `current` stay as they are.
std::vector<std::string> DiffObjects(
    const std::vector<messages::Object>& current,
    const std::vector<messages::Object>& wanted);

}  // namespace goldcrest::ctl

#endif  // GOLDCREST_CTL_OBJECT_DIFF_H_
