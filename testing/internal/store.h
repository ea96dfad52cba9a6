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

//! The log of one server and the values it leads to. Not thread-safe.
class Store {
 public:
  struct Known {
    std::int64_t position = 0;
    std::string statement;
    std::string value;
  };

  //! `entry.position` must be position() + 1.
  void Append(LogEntry entry);
  //! Drops all entries past `position`.
  void Truncate(std::int64_t position);

  std::int64_t position() const {
    return static_cast<std::int64_t>(log_.size());
  }
  std::int64_t last_term() const { return log_.empty() ? 0 : log_.back().term; }
  const std::vector<LogEntry>& log() const { return log_; }
  std::string Get(const std::string& key) const;
  std::optional<Known> Find(const std::string& request_id) const;
  std::vector<TermRun> Runs() const;
  //! Highest position at which this log and one with `runs` have entries of
  //! one term. A term has one primary, so the entries up to it are the same.
  std::int64_t CommonPrefix(const std::vector<TermRun>& runs) const;

 private:
  void Index(const LogEntry& entry);

  std::vector<LogEntry> log_;
  std::map<std::string, std::string> values_;
  std::unordered_map<std::string, Known> known_;
};

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_STORE_H_
