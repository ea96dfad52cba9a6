#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_LOG_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_LOG_H_

#include <memory>
#include <string>
#include <string_view>

#include "goldcrest/adapters/log_output.h"
#include "goldcrest/adapters/logger.h"
#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest {

//! Writes structured log lines to standard output. Limits the rate of decisions
//! of each kind.
class PlatformLog {
 public:
  PlatformLog(const std::string& instance, const std::string& zone);

  //! Logs an event that is never left out, such as a start, a stop or a change
  //! of the known leader.
  void LogEvent(std::string_view event,
                std::initializer_list<adapters::LogField> fields);

  //! Logs a decision on a statement unless too many of its kind were logged
  //! recently; the next line that is logged counts those left out.
  void LogDecision(const statements::Decision& decision);

  const std::shared_ptr<adapters::Logger>& logger() const { return logger_; }

 private:
  std::shared_ptr<adapters::LogOutput> output_;
  std::shared_ptr<adapters::Logger> logger_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_LOG_H_
