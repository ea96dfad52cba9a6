#ifndef GOLDCREST_STATEMENTS_LOG_POSITION_H_
#define GOLDCREST_STATEMENTS_LOG_POSITION_H_

#include <compare>
#include <cstdint>

namespace goldcrest::statements {

//! A place in a group's log: the term of a primary and the number of a commit.
struct LogPosition {
  std::int64_t term = 0;
  std::int64_t number = 0;

  auto operator<=>(const LogPosition&) const = default;
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_LOG_POSITION_H_
