#ifndef GOLDCREST_TESTING_LOG_ENTRY_H_
#define GOLDCREST_TESTING_LOG_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace goldcrest::testing {

//! First result of a request with an id, stored so that a resent request gets
//! the same result.
struct RequestResult {
  std::string request_id;
  std::string statement;
  std::string value;
};

struct KeyValue {
  std::string key;
  std::string value;
};

//! Changes of one write or one committed transaction. An entry replicates as a
//! whole, so a replica never holds part of a transaction.
struct LogEntry {
  std::int64_t position = 0;
  std::int64_t term = 0;
  std::vector<RequestResult> results;
  std::vector<KeyValue> writes;
  std::chrono::steady_clock::time_point added_at;  //!< To this server.
};

//! Consecutive log entries of one term; `last_position` is inclusive.
struct TermRange {
  std::int64_t term = 0;
  std::int64_t last_position = 0;
};

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_LOG_ENTRY_H_
