#ifndef GOLDCREST_POLICY_OBJECT_CHECKS_H_
#define GOLDCREST_POLICY_OBJECT_CHECKS_H_

#include <optional>
#include <string_view>

#include "goldcrest/messages/messages.h"
#include "internal/problem.h"

namespace goldcrest::policy {

//! Checks an object by itself: its name, the fields that its kind allows and
//! requires, and their values. Of a deleted object only kind and name are
//! checked.
std::optional<Problem> CheckObject(const messages::Object& object);

//! Checks the change id, the author and the number of objects.
std::optional<Problem> CheckChange(const messages::Change& change);

//! Returns a problem whose message names the object and the field. Unprintable
//! bytes are masked, because names are untrusted input.
Problem ObjectProblem(ResultCode code,
                      const messages::Object& object,
                      std::string_view field,
                      std::string_view text);

//! Returns the object with all fields that are not set at their defaults.
messages::Object Normalized(const messages::Object& object);

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_OBJECT_CHECKS_H_
