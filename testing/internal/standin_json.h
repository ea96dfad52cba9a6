#ifndef GOLDCREST_TESTING_STANDIN_JSON_H_
#define GOLDCREST_TESTING_STANDIN_JSON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

#include "database.h"
#include "statement.h"

namespace goldcrest::testing {

//! Returns nullopt when `body` is not a JSON object.
std::optional<boost::json::object> ParseObject(std::string_view body);
//! Return "" or 0 when the object has no member `key` of that type.
std::string TextAt(const boost::json::object& object, std::string_view key);
std::int64_t NumberAt(const boost::json::object& object, std::string_view key);
std::int64_t NumberAt(const boost::json::object& object,
                      std::string_view key,
                      std::int64_t default_value);

//! Returns nullopt when the kind is unknown. The deadline is counted from now.
std::optional<StatementRequest> ToStatementRequest(
    const boost::json::object& object);
std::string ToJson(const StatementResponse& response);
std::string ToJson(const Database::PullResponse& response, std::int64_t term);
//! Returns nullopt when `body` is not a JSON object or of another term. Throws
//! when an array element is not an object.
std::optional<Database::PullResponse> ToPullResponse(std::string_view body,
                                                     std::int64_t term);

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_STANDIN_JSON_H_
