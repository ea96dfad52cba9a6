#ifndef GOLDCREST_STATEMENTS_STATEMENT_H_
#define GOLDCREST_STATEMENTS_STATEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/statements/log_position.h"

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
  std::string id;       //!< Given by the caller, unique.
  std::string text;     //!< As it came; endpoints get it unchanged.
  std::string name;     //!< kSet, kPrepare, kExecute, kDeallocate.
  std::string value;    //!< kSet: value; kPrepare: shape; kExecute: arguments.
  bool writes = false;  //!< kPrepare: a statement that writes; kWrite.
};

//! What an entry sends on a connection to an endpoint.
struct EndpointCommand {
  enum class Kind {
    kCallerStatement,  //!< `text` of a caller, with its `id`.
    kBegin,
    kBeginReadOnly,
    kRollback,
    kReset,    //!< Drops session values and prepared names.
    kSet,      //!< `name`, `value`.
    kPrepare,  //!< `name`, `value`: the shape, `writes`.
    kExecute,  //!< `name`, `value`: the arguments, with the caller's `id`.
    kStatus,
  };
  Kind kind = Kind::kCallerStatement;
  std::string id;  //!< Of the caller's statement; empty: issued by the entry.
  std::string text;
  std::string name;
  std::string value;
  bool writes = false;
  //! The endpoint refuses unless its log has reached this.
  std::optional<LogPosition> required_position;
};

//! How a statement ended, as an endpoint tells it or as a caller is told.
enum class Outcome {
  kDone,
  // Nothing of the caller's attempt is kept.
  kBusy,
  kAborted,
  kBehind,         //!< The endpoint's log lacks the position asked for.
  kReadOnly,       //!< The endpoint does not lead its group.
  kWrongEndpoint,  //!< Another endpoint answers at this address.
  kTooManyConnections,
  // It ran, or may have run.
  kFailed,
  kTimedOut,
  kInDoubt,
  // Refused for what it is.
  kUnknownPrepared,
  kMalformed,
  kUnknownKey,
  kUnknownDatabase,
  kTooLarge,
  kOther,
};

//! True when nothing of the statement or its transaction is kept.
bool IsNotRun(Outcome outcome);

//! Short name for logs and counters, such as "in_doubt".
const char* NameOf(Outcome outcome);

enum class TransactionState { kIdle, kOpen, kFailed };

//! The answer to one statement, from an endpoint or to a caller.
struct Answer {
  //! What an entry answers itself when a statement is done.
  static Answer Completed();

  Outcome outcome = Outcome::kDone;
  std::vector<std::string> rows;
  std::string signature;  //!< kDone: of the endpoint, "-" for none.
  std::string code;       //!< Not kDone: as the endpoint named it.
  std::string message;    //!< Not kDone.
  TransactionState state = TransactionState::kIdle;
  std::optional<LogPosition> position;
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_STATEMENT_H_
