#include "programs/goldcrestd/platform_log.h"

#include <unistd.h>

#include <chrono>

#include "goldcrest/adapters/system_clock.h"

namespace goldcrest {

using adapters::LogField;
using adapters::LogLevel;

PlatformLog::PlatformLog(const std::string& instance, const std::string& zone)
    : output_(std::make_shared<adapters::LogOutput>(STDOUT_FILENO)) {
  adapters::LoggerOptions options;
  options.instance = instance;
  options.zone = zone;
  options.sink = [output = output_](std::string_view line) {
    output->Write(line);
  };
  logger_ = std::make_shared<adapters::Logger>(options);
}

void PlatformLog::LogEvent(std::string_view event,
                           std::initializer_list<LogField> fields) {
  logger_->Log(LogLevel::kInfo, event, ResultCode::kOk, fields);
}

void PlatformLog::LogDecision(const statements::Decision& decision) {
  std::uint64_t left_out = 0;
  const Time now = adapters::SystemClock::Now();
  if (!output_->Admit(now, decision.event, left_out))
    return;
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(decision.age);
  logger_->Log(LogLevel::kInfo, decision.event, ResultCode::kOk,
               {{"request", decision.statement_id},
                {"customer", decision.customer},
                {"group", decision.group},
                {"endpoint", decision.endpoint},
                {"cause", decision.cause},
                {"age_ms", age.count()},
                {"version", decision.configuration_version},
                {"left_out", left_out}});
}

}  // namespace goldcrest
