#ifndef GOLDCREST_CONTROL_INTERNAL_PENDING_KEY_H_
#define GOLDCREST_CONTROL_INTERNAL_PENDING_KEY_H_

#include <string_view>

namespace goldcrest::control {

//! Keys of proposals in flight start with what they are about; the name of the
//! group, instance or endpoint follows.
inline constexpr std::string_view kCoordinatorKey = "coordinator ";
inline constexpr std::string_view kRemoveKey = "remove ";
inline constexpr std::string_view kInstanceKey = "instance ";
inline constexpr std::string_view kEndpointKey = "endpoint ";
inline constexpr std::string_view kNoteKey = "note ";

}  // namespace goldcrest::control

#endif  // GOLDCREST_CONTROL_INTERNAL_PENDING_KEY_H_
