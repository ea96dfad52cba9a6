#include "goldcrest/adapters/logger.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <utility>

#include "goldcrest/adapters/system_clock.h"

namespace goldcrest::adapters {
namespace {

// Fields with these names may contain a caller's key, token or data.
constexpr std::array<std::string_view, 7> kSecretFields = {
    "authorization", "body", "key", "secret", "statement", "token", "value"};

constexpr std::string_view NameOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == '\x7F';
         });
}

void AppendValue(fmt::memory_buffer& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    line.append(value);
    return;
  }
  line.push_back('"');
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      line.push_back('\\');
      line.push_back(c);
    } else if (c == '\n') {
      line.append(std::string_view("\\n"));
    } else if (byte < ' ' || byte == 0x7FU) {
      fmt::format_to(std::back_inserter(line), "\\x{:02x}", byte);
    } else {
      line.push_back(c);
    }
  }
  line.push_back('"');
}

void AppendField(fmt::memory_buffer& line,
                 std::string_view name,
                 std::string_view value) {
  line.push_back(' ');
  line.append(name);
  line.push_back('=');
  AppendValue(line, value);
}

}  // namespace

Logger::Logger(LoggerOptions options)
    : level_(options.level),
      instance_(std::move(options.instance)),
      zone_(std::move(options.zone)),
      sink_(std::move(options.sink)) {}

void Logger::Log(LogLevel level,
                 std::string_view event,
                 ResultCode code,
                 std::initializer_list<LogField> fields) const {
  if (!IsEnabled(level))
    return;
  const auto wall = SystemClock::WallNow();
  const auto seconds = std::chrono::floor<std::chrono::seconds>(wall);
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line),
                 "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={}",
                 fmt::gmtime(static_cast<std::time_t>(seconds.count())),
                 (wall - seconds).count(), NameOf(level));
  if (!instance_.empty())
    AppendField(line, "instance", instance_);
  if (!zone_.empty())
    AppendField(line, "zone", zone_);
  AppendField(line, "event", event);
  AppendField(line, "code", std::to_string(ToNumber(code)));
  for (const LogField& field : fields) {
    const bool secret = std::find(kSecretFields.begin(), kSecretFields.end(),
                                  field.name) != kSecretFields.end();
    AppendField(line, field.name, secret ? "redacted" : field.value);
  }
  line.push_back('\n');
  const std::string_view text(line.data(), line.size());
  if (sink_) {
    sink_(text);
    return;
  }
  // Standard error is unbuffered, so each line is one write; the stdio lock
  // prevents lines of concurrent threads from interleaving.
  fmt::print(stderr, "{}", text);
}

}  // namespace goldcrest::adapters
