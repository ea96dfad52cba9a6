#include "goldcrest/settings/problem.h"

#include <fmt/format.h>

namespace goldcrest::settings {

std::string ToString(const Problem& problem) {
  return fmt::format("{}:{}:{}: expected {} ({} {})", problem.file,
                     problem.line, problem.key, problem.expected,
                     ToNumber(problem.code), InfoOf(problem.code).name);
}

}  // namespace goldcrest::settings
