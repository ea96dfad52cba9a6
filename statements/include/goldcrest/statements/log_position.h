#ifndef GOLDCREST_STATEMENTS_LOG_POSITION_H_
#define GOLDCREST_STATEMENTS_LOG_POSITION_H_

#include <cstdint>
#include <tuple>

namespace goldcrest::statements {

//! A position in a group's log: the term of a primary and the number of a
//! commit.
struct LogPosition {
  std::int64_t term = 0;
  std::int64_t number = 0;

  bool operator==(const LogPosition&) const = default;
  bool operator<(const LogPosition& other) const {
    return std::tie(term, number) < std::tie(other.term, other.number);
  }
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_LOG_POSITION_H_
