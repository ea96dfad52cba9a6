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
  std::istringstream got(text);
  std::string expected_line;
  std::string got_line;
  for (int line = 1;; ++line) {
    const bool more_expected = !!std::getline(file, expected_line);
    const bool more_got = !!std::getline(got, got_line);
    if (!more_expected && !more_got)
      return {};
    if (more_expected != more_got || expected_line != got_line)
      return fmt::format("{}:{}\n expected: {}\n got:      {}", path, line,
                         more_expected ? expected_line : "(end)",
                         more_got ? got_line : "(end)");
  }
}

}  // namespace goldcrest::sessions
