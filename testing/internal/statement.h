#ifndef GOLDCREST_TESTING_STATEMENT_H_
#define GOLDCREST_TESTING_STATEMENT_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace goldcrest::testing {

enum class StatementKind : std::uint8_t {
  kRead,
  kWrite,
  kBegin,
  kCommit,
  kRollback,
};

struct StatementRequest {
  std::int64_t call_id = 0;  //!< Copied to the response.
  std::int64_t term = 0;     //!< Must equal the server's term.
  StatementKind kind = StatementKind::kRead;
  std::string statement;
  std::string request_id;   //!< Empty: the request is not deduplicated.
  std::string transaction;  //!< Empty: outside a transaction.
  std::chrono::steady_clock::time_point deadline;
};

enum class StatementStatus : std::uint8_t {
  kDone,
  kFailed,  //!< The statement ran, reported an error and changed nothing.
  kNotRun,
};

struct StatementResponse {
  std::int64_t call_id = 0;
  StatementStatus status = StatementStatus::kNotRun;
  std::string reason;  //!< Set unless the status is kDone.
  std::int64_t term = 0;
  std::int64_t position = 0;
  std::string value;
  std::string transaction;  //!< Id of the transaction that a kBegin opened.
};

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_STATEMENT_H_
