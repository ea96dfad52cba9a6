#include "goldcrest/types/result_code.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace goldcrest {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

TEST_CASE("Every result code is listed in the docs with its outcome",
          "[types]") {
  const std::string page =
      ReadFile(GOLDCREST_TEST_DATA "/../../docs/result-codes.md");
  for (const ResultCodeInfo& info : AllResultCodes()) {
    const std::string row = fmt::format(
        "| {} | `{}` | `{}` | {} | {} |", ToNumber(info.code), info.name,
        ToString(info.outcome), info.http_status, info.meaning);
    CAPTURE(row);
    CHECK(page.find(row) != std::string::npos);
  }
}

TEST_CASE("A number from a newer version means that the outcome is unknown",
          "[types]") {
  CHECK(ResultCodeFromNumber(999) == ResultCode::kOutcomeUnknown);
  CHECK(ResultCodeFromNumber(300) == ResultCode::kRateExceeded);
}

}  // namespace goldcrest
