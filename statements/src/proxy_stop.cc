// The planned stop of an entry.

#include <algorithm>
#include <chrono>
#include <vector>

#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {
namespace {

// Statements of an operation that runs outside a transaction follow each other
// within this time. Closing the session between them would break the operation.
constexpr Duration kMaxPauseInOperation = std::chrono::milliseconds(60);

}  // namespace

void StatementProxy::BeginDrain(Time now) {
  stop_phase_ = std::max(stop_phase_, StopPhase::kClosingSessions);
  CloseSessionsBetweenOperations(now);
}

void StatementProxy::RefuseOperations(Time now) {
  if (stop_phase_ == StopPhase::kRefusingOperations)
    return;
  stop_phase_ = StopPhase::kRefusingOperations;
  for (auto& [id, session] : sessions_) {
    if (session.state == TransactionState::kOpen && !session.pending)
      AbortTransaction(now, session, "planned stop");
  }
  RefuseSessionStarts(now);
  CloseSessionsBetweenOperations(now);
}

int StatementProxy::EndSessions(Time now) {
  RefuseOperations(now);
  std::vector<SessionId> ids;
  for (const auto& [id, session] : sessions_)
    ids.push_back(id);
  int unanswered = 0;
  for (const SessionId id : ids) {
    Session& session = sessions_.at(id);
    if (session.pending) {
      if (session.pending->sent)
        ++unanswered;
      if (std::erase(token_waiters_, id) > 0)
        holder_.StopWaiting(session.customer);
      AbandonStatement(now, session, "planned stop");
    }
    ContinueSession(now, id);
    if (sessions_.count(id) > 0)
      CloseSession(now, id);
  }
  return unanswered;
}

bool StatementProxy::MayCloseSession(Time now, const Session& session) const {
  if (session.pending || !session.queued_statements.empty() ||
      session.state != TransactionState::kIdle)
    return false;
  switch (stop_phase_) {
    case StopPhase::kNone:
      return false;
    case StopPhase::kClosingSessions:
      if (!session.operation_ended &&
          now - session.answered_at < kMaxPauseInOperation)
        return false;
      break;
    case StopPhase::kRefusingOperations:
      break;
  }
  // A statement that has arrived while the process was busy gets its answer.
  return !hooks_.has_unread_input(session.id);
}

void StatementProxy::CloseSession(Time now, SessionId id) {
  OnSessionClosed(now, id);
  hooks_.close_session(id);
}

void StatementProxy::CloseSessionsBetweenOperations(Time now) {
  std::vector<SessionId> closing;
  for (const auto& [id, session] : sessions_) {
    if (MayCloseSession(now, session))
      closing.push_back(id);
  }
  for (const SessionId id : closing)
    CloseSession(now, id);
}

// Its caller learns of it at its next statement.
void StatementProxy::AbortTransaction(Time now,
                                      Session& session,
                                      const std::string& cause) {
  session.transaction_idle_deadline = kNever;
  if (session.aborted)
    return;
  DetachConnection(now, session);
  session.aborted = true;
  ReportDecision(now, session, "transaction_ended", "", cause);
}

}  // namespace goldcrest::statements
