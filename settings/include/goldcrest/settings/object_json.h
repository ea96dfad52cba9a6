#ifndef GOLDCREST_SETTINGS_OBJECT_JSON_H_
#define GOLDCREST_SETTINGS_OBJECT_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "goldcrest/messages/messages.h"

namespace goldcrest::settings {

//! JSON text of the operator interface; fields that are not set are left out.
//! Rates and bursts are numbers of requests, objectives a share from 0 to 1,
//! digests hexadecimal.
std::string ToJson(const messages::Object& object);
std::string ToJson(const std::vector<messages::Object>& objects);
std::string ToJson(const messages::Change& change);

//! Reads one object or an array of them. Appends one line to `errors` for each
//! field that is unknown, missing, of another kind of object or not valid, as
//! "objects[1].rate: expected ..." or, for one object, "rate: expected ...".
//! The result is to be used only when there is no error.
std::vector<messages::Object> ParseObjects(std::string_view json,
                                           std::vector<std::string>* errors);

//! Reads the body of POST /v1/changes in the same way.
messages::Change ParseChange(std::string_view json,
                             std::vector<std::string>* errors);

//! "customer", "key" and so on.
std::string_view ToText(messages::ObjectKind::type kind);

}  // namespace goldcrest::settings

#endif  // GOLDCREST_SETTINGS_OBJECT_JSON_H_
