#ifndef GOLDCREST_TESTING_LOG_ENTRY_H_
#define GOLDCREST_TESTING_LOG_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace goldcrest::testing {

//! The first result of a request with an id, kept so that a resend gets it.
struct RequestResult {
  std::string request_id;
  std::string statement;
  std::string value;
};

struct KeyValue {
  std::string key;
  std::string value;
};

//! What one write or one committed transaction changed. It replicates as a
//! whole, so a replica never holds half a transaction.
struct LogEntry {
  std::int64_t position = 0;
  std::int64_t term = 0;
  std::vector<RequestResult> results;
  std::vector<KeyValue> writes;
  std::chrono::steady_clock::time_point added;  //!< At this server.
};

//! Consecutive entries of one term, up to and including position `last`.
struct TermRun {
  std::int64_t term = 0;
  std::int64_t last = 0;
};

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_LOG_ENTRY_H_
