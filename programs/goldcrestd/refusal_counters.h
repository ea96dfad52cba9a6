#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_REFUSAL_COUNTERS_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_REFUSAL_COUNTERS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include "goldcrest/types/result_code.h"

namespace goldcrest {

//! Counts the refused requests of this instance by code, customer and group, so
//! that operators can look up why requests were refused without a log line per
//! request. The number of rows is bounded. Thread-safe.
class RefusalCounters {
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

  //! The rows whose customer or group is `subject`; all rows if `subject` is
  //! empty.
  std::vector<Row> Rows(const std::string& subject) const;

 private:
  using Key = std::tuple<ResultCode, std::string, std::string>;

  mutable std::mutex mutex_;
  std::map<Key, Row> rows_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_REFUSAL_COUNTERS_H_
