#ifndef GOLDCREST_TESTING_STORE_H_
#define GOLDCREST_TESTING_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "log_entry.h"

namespace goldcrest::testing {

//! Replicated log of one server, with indexes of the current values and of the
//! results by request id. Not thread-safe.
class Store {
 public:
  struct StoredResult {
    std::int64_t position = 0;  //!< Of the log entry that holds the result.
    std::string statement;
    std::string value;
  };

  //! `entry.position` must be position() + 1.
  void Append(LogEntry entry);
  //! Drops all entries after `position`.
  void Truncate(std::int64_t position);

  std::int64_t position() const {
    return static_cast<std::int64_t>(log_.size());
  }
  std::int64_t last_term() const { return log_.empty() ? 0 : log_.back().term; }
  const std::vector<LogEntry>& log() const { return log_; }
  //! Returns "" when the key has no value.
  std::string Get(const std::string& key) const;
  std::optional<StoredResult> FindResult(const std::string& request_id) const;
  std::vector<TermRange> TermRanges() const;
  //! Returns the highest position at which this log and a log with `ranges`
  //! have entries of the same term, or 0. A term has one primary, so the two
  //! logs are identical up to that position.
  std::int64_t CommonPrefix(const std::vector<TermRange>& ranges) const;

 private:
  void IndexEntry(const LogEntry& entry);

  std::vector<LogEntry> log_;
  std::map<std::string, std::string> values_;
  std::unordered_map<std::string, StoredResult> results_by_request_id_;
};

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_STORE_H_
