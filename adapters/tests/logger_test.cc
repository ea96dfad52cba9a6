#include "goldcrest/adapters/logger.h"

#include <catch2/catch.hpp>

namespace goldcrest::adapters {
namespace {

// Removes the time from a log line, since it differs between runs.
std::string WithoutTime(const std::string& line) {
  return line.substr(line.find(' ') + 1);
}

}  // namespace

TEST_CASE("A log line has its fields in order and is one line", "[adapters]") {
  std::string line;
  Logger logger(
      {.instance = "e1", .zone = "a", .sink = [&](auto text) { line = text; }});
  logger.Warning("primary_changed", ResultCode::kNoPrimary,
                 {{"group", "bookings"},
                  {"cause", "silent for\n500 ms \"x\""},
                  {"term", 7},
                  {"empty", ""}});
  CHECK(WithoutTime(line) ==
        "level=warning instance=e1 zone=a event=primary_changed code=402 "
        "group=bookings cause=\"silent for\\n500 ms \\\"x\\\"\" term=7 "
        "empty=\"\"\n");
  CHECK(line.starts_with("time=20"));
  CHECK(line.find("Z level") ==
        std::string("time=2026-12-04T07:00:00.123").size());
  line.clear();
  logger.Debug("too_fine");
  CHECK(line.empty());
}

TEST_CASE("Keys, tokens and bodies do not reach the log",
          "[adapters][guarantee]") {
  std::string line;
  const Logger logger({.sink = [&](auto text) { line = text; }});
  logger.Info("request", {{"authorization", "Bearer abc"},
                          {"body", "abc"},
                          {"statement", "abc"},
                          {"token", "abc"}});
  CHECK(line.find("abc") == std::string::npos);
}

}  // namespace goldcrest::adapters
