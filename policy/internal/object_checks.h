#ifndef GOLDCREST_POLICY_OBJECT_CHECKS_H_
#define GOLDCREST_POLICY_OBJECT_CHECKS_H_

#include <optional>
#include <string_view>

#include "goldcrest/messages/messages.h"
#include "internal/problem.h"

namespace goldcrest::policy {

//! Checks an object on its own: its name, which fields its kind has and needs,
//! and their values. Of a deleted object only kind and name are checked.
std::optional<Problem> CheckObject(const messages::Object& object);

//! Checks the change id, the author and the number of objects.
std::optional<Problem> CheckChange(const messages::Change& change);

//! A problem that names the object and the field. Bytes that are not printable
//! are masked, since names come from outside.
Problem ObjectProblem(ResultCode code,
                      const messages::Object& object,
                      std::string_view field,
                      std::string_view text);

//! The object with the fields that are set, and all others at their defaults.
messages::Object Normalized(const messages::Object& object);

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_OBJECT_CHECKS_H_
