#ifndef GOLDCREST_COORDINATOR_ENDPOINT_CALL_H_
#define GOLDCREST_COORDINATOR_ENDPOINT_CALL_H_

#include <cstdint>
#include <string>

#include "goldcrest/types/time.h"

namespace goldcrest::coordinator {

enum class EndpointOperation : std::uint8_t {
  kStatement,
  kStatus,
  kPromote,
  kFollow,
  kOutcome,  //!< Looks up a request id in the endpoint's log.
};

enum class StatementKind : std::uint8_t {
  kRead,
  kWrite,
  kBegin,
  kCommit,
  kRollback,
};

//! One call to an endpoint. `id` is unique within the calling instance. The
//! endpoint echoes it, so that an answer to another call can be detected.
struct EndpointCall {
  std::uint64_t id = 0;
  std::string endpoint;
  EndpointOperation operation = EndpointOperation::kStatus;
  StatementKind kind = StatementKind::kRead;
  std::int64_t term = 0;
  std::string statement;
  std::string request_id;
  std::string transaction;  //!< Transaction id that the endpoint assigned.
  std::uint64_t pin = 0;    //!< Reserved connection to use; 0: any.
  std::string primary;      //!< kFollow: endpoint to replicate from.
  std::string primary_host;
  int primary_port = 0;
  Time deadline = kNever;
};

enum class AnswerStatus : std::uint8_t {
  kDone,
  kFailed,  //!< The statement ran with an error and changed nothing.
  kNotRun,  //!< The endpoint reports that it did not run the statement.
};

enum class NotRunReason : std::uint8_t {
  kNone,
  kStaleTerm,
  kNotPrimary,
  kNoSlot,
  kOther,
};

//! `term` is the newest term known to the endpoint; `log_term` and `position`
//! are those of the last entry in its log.
struct EndpointAnswer {
  std::uint64_t call_id = 0;
  std::string endpoint;
  AnswerStatus status = AnswerStatus::kDone;
  NotRunReason reason = NotRunReason::kNone;
  std::int64_t term = 0;
  std::int64_t log_term = 0;
  std::int64_t position = 0;
  std::string value;
  std::string transaction;
  bool known = false;  //!< kOutcome: the request id is in the log.
};

enum class Delivery : std::uint8_t {
  kAnswered,
  kNotSent,  //!< No byte of the call left this instance.
  kUnknown,  //!< The call may have arrived; no complete answer came back.
};

struct CallResult {
  Delivery delivery = Delivery::kUnknown;
  EndpointAnswer answer;
};

}  // namespace goldcrest::coordinator

#endif  // GOLDCREST_COORDINATOR_ENDPOINT_CALL_H_
