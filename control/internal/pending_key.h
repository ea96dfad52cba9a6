#ifndef GOLDCREST_CONTROL_INTERNAL_PENDING_KEY_H_
#define GOLDCREST_CONTROL_INTERNAL_PENDING_KEY_H_

#include <string_view>

namespace goldcrest::control {

//! The key of a pending proposal is one of these prefixes, which states the
//! kind of proposal, followed by the name of the group, instance or endpoint.
inline constexpr std::string_view kCoordinatorKeyPrefix = "coordinator ";
inline constexpr std::string_view kRemoveKeyPrefix = "remove ";
inline constexpr std::string_view kInstanceKeyPrefix = "instance ";
inline constexpr std::string_view kEndpointKeyPrefix = "endpoint ";
inline constexpr std::string_view kNoteKeyPrefix = "note ";

}  // namespace goldcrest::control

#endif  // GOLDCREST_CONTROL_INTERNAL_PENDING_KEY_H_
