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

//! Nullopt when `body` is not a JSON object.
std::optional<boost::json::object> ParseObject(std::string_view body);
//! "" or 0 when there is no such field of that type.
std::string TextAt(const boost::json::object& object, std::string_view key);
std::int64_t NumberAt(const boost::json::object& object, std::string_view key);
std::int64_t NumberAt(const boost::json::object& object,
                      std::string_view key,
                      std::int64_t missing);

//! Nullopt when the kind is unknown.
std::optional<StatementRequest> ToStatementRequest(
    const boost::json::object& object);
std::string ToJson(const StatementAnswer& answer);
std::string ToJson(const Database::PullAnswer& answer, std::int64_t term);
std::optional<Database::PullAnswer> ToPullAnswer(std::string_view body,
                                                 std::int64_t term);

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_STANDIN_JSON_H_
