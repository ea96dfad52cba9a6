// Admission of operations: route, customer and rate.

#include <algorithm>
#include <utility>
#include <vector>

#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {

// Looks up the route and the customer of an operation that begins. Answers and
// returns false when it may not run.
bool StatementProxy::StartOperation(Time now, Session& session) {
  session.table = table_;
  session.route = table_->FindRoute(session.database);
  session.started_at = now;
  session.ran = false;
  session.aborted = false;
  session.connection = 0;
  if (session.route == nullptr) {
    Refuse(now, session, Outcome::kUnknownDatabase, "no such database");
    return false;
  }
  const routing::Customer* customer = table_->FindCustomer(session.key);
  if (customer == nullptr && !session.route->open) {
    Refuse(now, session, Outcome::kUnknownKey, "unknown key");
    return false;
  }
  session.customer = customer == nullptr ? "-" : customer->name;
  return true;
}

// Takes a token of the customer's rate; false when the operation has to wait
// for one.
bool StatementProxy::Admit(Time now, Session& session) {
  if (holder_.TryTake(now, session.customer)) {
    session.pending->counted = true;
    return true;
  }
  holder_.StartWaiting(now, session.customer);
  token_waiters_.push_back(session.id);
  return false;
}

// The newest operation goes first: a customer that keeps above its rate would
// otherwise have each operation served just before it is given up.
void StatementProxy::ServeWaitingForTokens(Time now) {
  std::vector<SessionId> waiters = std::exchange(token_waiters_, {});
  std::ranges::reverse(waiters);
  std::vector<SessionId> left;
  for (const SessionId id : waiters) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || !it->second.pending)
      continue;
    Session& session = it->second;
    if (holder_.TryTakeWaiting(now, session.customer)) {
      session.pending->counted = true;
      const StatementKind kind = session.pending->statement.kind;
      if (kind == StatementKind::kBegin ||
          kind == StatementKind::kBeginReadOnly) {
        session.pending.reset();
        session.state = TransactionState::kOpen;
        ReplyLocally(now, session, Answer::Completed());
        NextFromInbox(now, id);
      } else {
        waiting_[session.route->group].push_back(id);
        Dispatch(now, session, Opening::kAllowed);
      }
      continue;
    }
    if (now >= session.pending->give_up) {
      holder_.StopWaiting(session.customer);
      Refuse(now, session, Outcome::kBusy,
             "customer's rate exceeded; retry after 500 ms");
      NextFromInbox(now, id);
      continue;
    }
    left.push_back(id);
  }
  // Those that began to wait meanwhile are newer.
  std::ranges::reverse(left);
  token_waiters_.insert(token_waiters_.begin(), left.begin(), left.end());
}

}  // namespace goldcrest::statements
