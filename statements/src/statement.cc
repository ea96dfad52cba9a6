#include "goldcrest/statements/statement.h"

namespace goldcrest::statements {

bool IsNotRun(Outcome outcome) {
  switch (outcome) {
    case Outcome::kBusy:
    case Outcome::kAborted:
    case Outcome::kBehind:
    case Outcome::kReadOnly:
    case Outcome::kWrongEndpoint:
    case Outcome::kTooManyConnections:
    case Outcome::kUnknownPrepared:
    case Outcome::kMalformed:
    case Outcome::kUnknownKey:
    case Outcome::kUnknownDatabase:
    case Outcome::kTooLarge:
      return true;
    case Outcome::kDone:
    case Outcome::kFailed:
    case Outcome::kTimedOut:
    case Outcome::kInDoubt:
    case Outcome::kOther:
      return false;
  }
  return false;
}

Answer Answer::Completed() {
  Answer answer;
  answer.signature.push_back('-');
  return answer;
}

const char* NameOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kBusy:
      return "busy";
    case Outcome::kAborted:
      return "aborted";
    case Outcome::kBehind:
      return "behind";
    case Outcome::kReadOnly:
      return "read_only";
    case Outcome::kWrongEndpoint:
      return "wrong_endpoint";
    case Outcome::kTooManyConnections:
      return "too_many_connections";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kTimedOut:
      return "timed_out";
    case Outcome::kInDoubt:
      return "in_doubt";
    case Outcome::kUnknownPrepared:
      return "unknown_prepared";
    case Outcome::kMalformed:
      return "malformed";
    case Outcome::kUnknownKey:
      return "unknown_key";
    case Outcome::kUnknownDatabase:
      return "unknown_database";
    case Outcome::kTooLarge:
      return "too_large";
    case Outcome::kOther:
      return "other";
  }
  return "other";
}

}  // namespace goldcrest::statements
