// Admission of operations: route, customer and rate; and their end when the key
// is withdrawn.

#include <algorithm>
#include <utility>
#include <vector>

#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {
namespace {

constexpr const char* kKeyWithdrawn = "the key has been withdrawn";

}  // namespace

// Looks up the route and the customer of a new operation. Refuses the operation
// and returns false when it may not run.
bool StatementProxy::StartOperation(Time now, Session& session) {
  session.table = table_;
  session.route = table_->FindRoute(session.database);
  session.started_at = now;
  session.statement_succeeded = false;
  session.aborted = false;
  session.connection = 0;
  const routing::Customer* customer = table_->FindCustomer(session.key);
  std::optional<std::pair<Outcome, std::string>> refusal;
  if (session.route == nullptr)
    refusal = RefuseUnknown(now, Outcome::kUnknownDatabase, "no such database");
  else if (customer == nullptr && !session.route->is_public)
    refusal = RefuseUnknown(now, Outcome::kUnknownKey, "unknown key");
  if (refusal) {
    Refuse(now, session, refusal->first, refusal->second);
    return false;
  }
  session.has_customer = customer != nullptr;
  session.customer = session.has_customer ? customer->name : "-";
  return true;
}

// Takes a token from the customer's rate limit; returns false when the
// operation has to wait for one or was refused.
bool StatementProxy::AdmitOperation(Time now, Session& session) {
  if (RejectOnArrival(now, session))
    return false;
  if (holder_.TryTake(now, session.customer)) {
    session.pending->token_taken = true;
    return true;
  }
  if (RejectWithoutToken(now, session))
    return false;
  holder_.StartWaiting(now, session.customer);
  token_waiters_.push_back(session.id);
  return false;
}

// Admits the newest operation first: otherwise, each operation of a customer
// that stays above its rate would be admitted just before its deadline. A
// caller that has returned when it was told to goes first, one each time.
void StatementProxy::AdmitWaitingOperations(Time now) {
  std::vector<SessionId> waiters = std::exchange(token_waiters_, {});
  std::ranges::reverse(waiters);
  const auto returned = std::ranges::find_if(waiters, [this](SessionId id) {
    const auto it = sessions_.find(id);
    return it != sessions_.end() && it->second.pending &&
           it->second.pending->promised;
  });
  if (returned != waiters.end())
    std::rotate(waiters.begin(), returned, std::next(returned));
  std::vector<SessionId> left;
  for (const SessionId id : waiters) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || !it->second.pending)
      continue;
    Session& session = it->second;
    if (holder_.TryTakeWaiting(now, session.customer)) {
      session.pending->token_taken = true;
      token_forecast_.OnTaken(session.customer);
      const StatementKind kind = session.pending->statement.kind;
      if (kind == StatementKind::kBegin ||
          kind == StatementKind::kBeginReadOnly) {
        session.pending.reset();
        session.state = TransactionState::kOpen;
        ReplyLocally(now, session, Answer::Completed());
        ContinueSession(now, id);
      } else {
        SetGiveUpTime(now, session);
        EnqueueStatement(now, session);
        ContinueSession(now, id);
      }
      continue;
    }
    if (now >= session.pending->give_up_at) {
      holder_.StopWaiting(session.customer);
      token_forecast_.OnGaveUp(now, session.pending->arrival, session.customer);
      Reject(now, session, RateRejection(now, session));
      ContinueSession(now, id);
      continue;
    }
    left.push_back(id);
  }
  // Operations that began to wait during the loop are newer.
  std::ranges::reverse(left);
  token_waiters_.insert(token_waiters_.begin(), left.begin(), left.end());
}

// Changes of the route and of limits apply from the next operation on.
bool StatementProxy::IsKeyWithdrawn(const Session& session) const {
  if (!session.has_customer)
    return false;
  const routing::Customer* customer = table_->FindCustomer(session.key);
  return customer == nullptr || customer->name != session.customer;
}

void StatementProxy::EndWithdrawnOperations(Time now) {
  std::vector<SessionId> withdrawn;
  for (const auto& [id, session] : sessions_) {
    if (session.route != nullptr && IsKeyWithdrawn(session))
      withdrawn.push_back(id);
  }
  for (const SessionId id : withdrawn) {
    EndWithdrawnOperation(now, sessions_.at(id));
    ContinueSession(now, id);
  }
}

// A commit, or a statement outside a transaction, that has been sent keeps its
// outcome.
void StatementProxy::EndWithdrawnOperation(Time now, Session& session) {
  const bool transaction = session.state == TransactionState::kOpen;
  if (!session.pending) {
    if (transaction)
      AbortTransaction(now, session, kKeyWithdrawn);
    return;
  }
  const bool commit = session.pending->statement.kind == StatementKind::kCommit;
  if (session.pending->sent && (commit || !transaction))
    return;
  if (std::erase(token_waiters_, session.id) > 0)
    holder_.StopWaiting(session.customer);
  DetachConnection(now, session);
  if (!transaction)
    return RefuseWithdrawn(now, session);
  ReportDecision(now, session, "transaction_ended", "", kKeyWithdrawn);
  session.state = commit ? TransactionState::kIdle : TransactionState::kFailed;
  if (commit)
    EndOperation(now, session, Outcome::kAborted);
  ReplyError(now, session, Outcome::kAborted, kKeyWithdrawn);
}

// A public route serves the caller also without the key, in a new attempt.
void StatementProxy::RefuseWithdrawn(Time now, Session& session) {
  if (session.route->is_public)
    return Refuse(now, session, Outcome::kAborted, kKeyWithdrawn);
  const auto refusal = RefuseUnknown(now, Outcome::kUnknownKey, kKeyWithdrawn);
  Refuse(now, session, refusal.first, refusal.second);
}

// The entry may have missed that a key was withdrawn.
void StatementProxy::EndUnconfirmedTransactions(Time now) {
  if (options_.confirmation_lease == Duration::max() ||
      !configuration_confirmed_at_ ||
      now - *configuration_confirmed_at_ < options_.confirmation_lease)
    return;
  for (auto& [id, session] : sessions_) {
    if (session.state == TransactionState::kOpen && session.has_customer &&
        !session.pending)
      AbortTransaction(now, session, "configuration not confirmed");
  }
}

}  // namespace goldcrest::statements
