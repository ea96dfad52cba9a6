#ifndef GOLDCREST_CTL_OBJECT_DIFF_H_
#define GOLDCREST_CTL_OBJECT_DIFF_H_

#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"

namespace goldcrest::ctl {

//! Lists the changes that applying `wanted` to `current` would make, one line
//! per change: "+ quota gold", "- key van-1" or "~ quota gold: rate 5 -> 7".
//! Objects that are only in `current` would not change.
std::vector<std::string> DiffObjects(
    const std::vector<messages::Object>& current,
    const std::vector<messages::Object>& wanted);

}  // namespace goldcrest::ctl

#endif  // GOLDCREST_CTL_OBJECT_DIFF_H_
