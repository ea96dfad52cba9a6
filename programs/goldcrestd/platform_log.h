#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_LOG_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_LOG_H_

#include <memory>
#include <string>
#include <string_view>

#include "goldcrest/adapters/log_output.h"
#include "goldcrest/adapters/logger.h"
#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest {

//! Structured lines on standard output, bounded by kind.
class PlatformLog {
 public:
  PlatformLog(const std::string& instance, const std::string& zone);

  //! Lines that are never left out: start, stop, a change of belief.
  void Event(std::string_view event,
             std::initializer_list<adapters::LogField> fields);

  //! A decision on a statement; repeats of its kind are bounded.
  void Decided(const statements::Decision& decision);

  const std::shared_ptr<adapters::Logger>& logger() const { return logger_; }

 private:
  std::shared_ptr<adapters::LogOutput> output_;
  std::shared_ptr<adapters::Logger> logger_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_LOG_H_
