#ifndef GOLDCREST_TYPES_LOG_POSITION_H_
#define GOLDCREST_TYPES_LOG_POSITION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace goldcrest {

//! A position in a group's log: the term of a primary and the number of a
//! commit. Where an endpoint may tell none, std::optional holds it.
struct LogPosition {
  std::int64_t term = 0;
  std::int64_t number = 0;

  std::string ToText() const {
    return std::to_string(term) + "." + std::to_string(number);
  }

  auto operator<=>(const LogPosition&) const = default;
};

}  // namespace goldcrest

#endif  // GOLDCREST_TYPES_LOG_POSITION_H_
