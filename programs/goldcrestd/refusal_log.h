#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_REFUSAL_LOG_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_REFUSAL_LOG_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include "goldcrest/types/result_code.h"

namespace goldcrest {

//! Refusals of this instance, counted by code, customer and group, so that
//! "why was this refused" can be answered without a log entry per request.
//! Bounded; safe from any thread.
class RefusalLog {
 public:
  struct Row {
    ResultCode code = ResultCode::kOk;
    std::string customer;
    std::string group;
    std::int64_t count = 0;
    std::int64_t first_wall_ms = 0;
    std::int64_t last_wall_ms = 0;
  };

  void Add(ResultCode code,
           const std::string& customer,
           const std::string& group,
           std::int64_t wall_ms);

  //! Rows whose customer or group is `subject`; all rows if it is empty.
  std::vector<Row> Rows(const std::string& subject) const;

 private:
  using Key = std::tuple<ResultCode, std::string, std::string>;

  mutable std::mutex mutex_;
  std::map<Key, Row> rows_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_REFUSAL_LOG_H_
