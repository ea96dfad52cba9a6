#ifndef GOLDCREST_ADAPTERS_LOGGER_H_
#define GOLDCREST_ADAPTERS_LOGGER_H_

#include <atomic>
#include <concepts>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

#include "goldcrest/types/result_code.h"

namespace goldcrest::adapters {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

//! One name=value pair of a log line.
struct LogField {
  LogField(std::string_view field_name, std::string_view text)
      : name(field_name), value(text) {}
  LogField(std::string_view field_name, const char* text)
      : name(field_name), value(text) {}
  LogField(std::string_view field_name, std::integral auto number)
      : name(field_name), value(std::to_string(number)) {}

  std::string name;
  std::string value;
};

struct LoggerOptions {
  LogLevel level = LogLevel::kInfo;
  std::string instance;
  std::string zone;
  //! Receives each line with its newline; standard error when empty.
  std::function<void(std::string_view)> sink;
};

//! Structured log lines: time, level, instance, zone, event, code, fields.
//! Values are quoted when needed. The values of fields that could hold a key, a
//! token or a body are replaced by "redacted". Safe from any thread.
class Logger {
 public:
  explicit Logger(LoggerOptions options);

  void SetLevel(LogLevel level) { level_ = level; }
  bool IsEnabled(LogLevel level) const { return level >= level_; }

  void Log(LogLevel level,
           std::string_view event,
           ResultCode code,
           std::initializer_list<LogField> fields = {}) const;

  void Debug(std::string_view event,
             std::initializer_list<LogField> fields = {}) const {
    Log(LogLevel::kDebug, event, ResultCode::kOk, fields);
  }
  void Info(std::string_view event,
            std::initializer_list<LogField> fields = {}) const {
    Log(LogLevel::kInfo, event, ResultCode::kOk, fields);
  }
  void Warning(std::string_view event,
               ResultCode code,
               std::initializer_list<LogField> fields = {}) const {
    Log(LogLevel::kWarning, event, code, fields);
  }
  void Error(std::string_view event,
             ResultCode code,
             std::initializer_list<LogField> fields = {}) const {
    Log(LogLevel::kError, event, code, fields);
  }

 private:
  std::atomic<LogLevel> level_;
  std::string instance_;
  std::string zone_;
  std::function<void(std::string_view)> sink_;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_LOGGER_H_
