#ifndef GOLDCREST_STATEMENTS_STATEMENT_H_
#define GOLDCREST_STATEMENTS_STATEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/types/log_position.h"

namespace goldcrest::statements {

enum class StatementKind {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,
  kPrepare,
  kExecute,
  kDeallocate,
  kMalformed,
};

//! One statement of a caller.
struct Statement {
  StatementKind kind = StatementKind::kMalformed;
  std::string id;       //!< Assigned by the caller, unique.
  std::string text;     //!< As received; sent to endpoints unchanged.
  std::string name;     //!< kSet, kPrepare, kExecute, kDeallocate.
  std::string value;    //!< kSet: value; kPrepare: shape; kExecute: arguments.
  bool writes = false;  //!< kWrite, or kPrepare of a statement that writes.
};

//! A command from an entry to an endpoint.
struct EndpointCommand {
  enum class Kind {
    kCallerStatement,  //!< A caller's statement: its `text` and `id`.
    kBegin,
    kBeginReadOnly,
    kRollback,
    kReset,    //!< Clears session values and prepared statements.
    kSet,      //!< `name`, `value`.
    kPrepare,  //!< `name`, `value`: the shape, `writes`.
    kExecute,  //!< `name`, `value`: the arguments, with the caller's `id`.
    kStatus,
    kPause,  //!< Receives no log until kResume. `value`: a term above all.
    kResume,
  };
  Kind kind = Kind::kCallerStatement;
  std::string id;  //!< Of the caller's statement; empty: issued by the entry.
  std::string text;
  std::string name;
  std::string value;
  bool writes = false;
  //! The endpoint refuses the command unless its log has reached this position.
  std::optional<LogPosition> required_position;
};

//! How a statement ended, as reported by an endpoint or to a caller.
enum class Outcome {
  kDone,
  // The attempt had no effect: it was not run or was rolled back.
  kBusy,
  kAborted,
  kBehind,    //!< The endpoint's log has not reached the required position.
  kReadOnly,  //!< The endpoint is not the primary of its group.
  kWrongEndpoint,  //!< Another endpoint answers at this address.
  kTooManyConnections,
  // The statement ran or may have run.
  kFailed,
  kTimedOut,
  kInDoubt,
  // Refused because of the request itself.
  kUnknownPrepared,
  kMalformed,
  kUnknownKey,
  kUnknownDatabase,
  kTooLarge,
  kOther,
};

//! True when neither the statement nor its transaction has any effect.
bool IsNotRun(Outcome outcome);

//! Short name for logs and counters, such as "in_doubt".
const char* NameOf(Outcome outcome);

enum class TransactionState { kIdle, kOpen, kFailed };

//! The answer to one statement, from an endpoint or to a caller.
struct Answer {
  //! The answer of an entry to a statement that it completes without an
  //! endpoint.
  static Answer Completed();

  Outcome outcome = Outcome::kDone;
  std::vector<std::string> rows;
  std::string signature;  //!< kDone: the endpoint's signature, "-" for none.
  std::string code;       //!< Not kDone: the endpoint's error word.
  std::string message;    //!< Not kDone.
  TransactionState state = TransactionState::kIdle;
  std::optional<LogPosition> position;
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_STATEMENT_H_
