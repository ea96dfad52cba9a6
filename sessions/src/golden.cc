#include "goldcrest/sessions/golden.h"

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string_view>

#include <fmt/format.h>

namespace goldcrest::sessions {

std::string CompareWithGolden(const std::string& path,
                              const std::string& text) {
  const char* approve = std::getenv("GOLDCREST_APPROVE");
  if (approve != nullptr && std::string_view(approve) == "1") {
    std::ofstream(path) << text;
    return {};
  }
  std::ifstream file(path);
  if (!file)
    return fmt::format("{} is missing; got:\n{}", path, text);
  std::istringstream actual(text);
  std::string expected_line;
  std::string actual_line;
  for (int line = 1;; ++line) {
    const bool has_expected = !!std::getline(file, expected_line);
    const bool has_actual = !!std::getline(actual, actual_line);
    if (!has_expected && !has_actual)
      return {};
    if (has_expected != has_actual || expected_line != actual_line)
      return fmt::format("{}:{}\n expected: {}\n got:      {}", path, line,
                         has_expected ? expected_line : "(end)",
                         has_actual ? actual_line : "(end)");
  }
}

}  // namespace goldcrest::sessions
