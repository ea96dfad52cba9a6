#ifndef GOLDCREST_TYPES_LOG_POSITION_H_
#define GOLDCREST_TYPES_LOG_POSITION_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace goldcrest {

//! A position in a group's log: the term of a primary and the number of a
//! commit. Where an endpoint may tell none, std::optional holds it.
struct LogPosition {
  std::int64_t term = 0;
  std::int64_t number = 0;

  std::string ToText() const {
    return std::to_string(term) + "." + std::to_string(number);
  }

  bool operator==(const LogPosition&) const = default;
  bool operator<(const LogPosition& other) const {
    return std::tie(term, number) < std::tie(other.term, other.number);
  }
  bool operator<=(const LogPosition& other) const { return !(other < *this); }
};

}  // namespace goldcrest

#endif  // GOLDCREST_TYPES_LOG_POSITION_H_
