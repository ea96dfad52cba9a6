#ifndef GOLDCREST_ADAPTERS_LOG_OUTPUT_H_
#define GOLDCREST_ADAPTERS_LOG_OUTPUT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "goldcrest/types/time.h"

namespace goldcrest::adapters {

//! Writes log lines to a file descriptor without blocking, and limits the rate
//! of lines of each kind. Omitted lines are counted and reported with the next
//! line written. Not thread-safe.
class LogOutput {
 public:
  explicit LogOutput(int descriptor);

  //! True when a line of this kind may be written now. If so, `left_out`
  //! is set to the number of lines of this kind suppressed since the last one.
  bool Admit(Time now, const std::string& kind, std::uint64_t& left_out);

  //! Writes one line, which includes its newline; drops it if the write would
  //! block.
  void Write(std::string_view line);

  //! Lines dropped because the write would have blocked.
  std::uint64_t Dropped() const { return dropped_; }

  static constexpr std::int64_t kLinesPerSecond = 5;
  static constexpr std::int64_t kBurstLines = 20;

 private:
  struct Bucket {
    Duration credit{};
    Time refilled_at;
    std::uint64_t left_out = 0;
  };

  int descriptor_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_reported_ = 0;
  bool last_write_partial_ = false;  // only part of the last line was written
  std::map<std::string, Bucket> buckets_;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_LOG_OUTPUT_H_
