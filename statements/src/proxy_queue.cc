// Statements that wait for an endpoint: their order, rejections on arrival, and
// when refused callers should retry.

#include <algorithm>
#include <chrono>
#include <utility>

#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {
namespace {

// A statement that has waited this long may open a connection before newer
// statements take the idle ones.
constexpr Duration kMaxIdleConnectionWait = std::chrono::milliseconds(80);

// A retry takes up to this multiple of the mean service time.
constexpr int kServiceMargin = 2;

// A returning caller is recognised from shortly before the time it was told,
// because its clock and its timers differ, to a round trip after it.
constexpr Duration kReturnsEarly = std::chrono::milliseconds(20);
constexpr Duration kReturnsLate = std::chrono::milliseconds(100);

// Entries get a new configuration within a second while they have contact.
constexpr Duration kConfigurationUsefulTime = std::chrono::seconds(1);

}  // namespace

// The session may still be listed for an earlier statement while its next
// operation waits for a token.
bool StatementProxy::IsWaiting(const Session& session,
                               const std::string& group) {
  if (!session.pending || session.pending->sent || session.connection != 0 ||
      session.route == nullptr || session.route->group != group)
    return false;
  return session.pending->token_taken ||
         session.state == TransactionState::kOpen;
}

// Statements that only the primary may run wait apart from the others.
std::string StatementProxy::QueueOf(const Session& session) const {
  const StatementKind kind = session.pending->statement.kind;
  const bool primary = kind == StatementKind::kBegin || NeedsPrimary(session);
  return session.route->group + (primary ? "/primary" : "/any");
}

WaitingStatement StatementProxy::DescribeWaiting(const Session& session) const {
  WaitingStatement waiting;
  waiting.session = session.id;
  waiting.customer = session.customer;
  waiting.priority = session.route->priority;
  waiting.arrival = session.pending->arrival;
  waiting.repeated = session.pending->attempts > 0;
  const Time since =
      waiting.repeated ? session.pending->queued_at : session.started_at;
  waiting.due = since + session.route->target_latency;
  waiting.promised = session.pending->promised;
  const routing::Customer* customer =
      session.has_customer ? table_->FindCustomer(session.key) : nullptr;
  if (customer != nullptr) {
    waiting.weight = std::max<std::int64_t>(1, customer->rate_per_second);
    return waiting;
  }
  // Callers without a customer count as one customer with a mean rate.
  std::int64_t rates = 0;
  for (const routing::Customer& other : table_->customers)
    rates += other.rate_per_second;
  const auto count = static_cast<std::int64_t>(table_->customers.size());
  waiting.weight =
      std::max<std::int64_t>(1, rates / std::max<std::int64_t>(1, count));
  return waiting;
}

std::vector<WaitingStatement> StatementProxy::WaitingIn(
    const std::string& group) const {
  std::vector<WaitingStatement> waiting;
  const auto found = waiting_sessions_.find(group);
  if (found == waiting_sessions_.end())
    return waiting;
  std::vector<SessionId> ids = found->second;
  std::ranges::sort(ids);
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  for (const SessionId id : ids) {
    const auto it = sessions_.find(id);
    if (it != sessions_.end() && IsWaiting(it->second, group))
      waiting.push_back(DescribeWaiting(it->second));
  }
  return waiting;
}

// A statement that finds others waiting is sent in its turn.
void StatementProxy::EnqueueStatement(Time now, Session& session) {
  const std::string group = session.route->group;
  std::vector<SessionId>& waiting = waiting_sessions_[group];
  session.pending->queued_at = now;
  if (waiting.size() >= 2 * StatementQueue::kMaxWaiting) {
    return RejectUnsent(now, session, "queue_full",
                        "not run: too many statements wait for " + group);
  }
  waiting.push_back(session.id);
  if (waiting.size() > 1)
    return DispatchGroup(now, group);
  Dispatch(now, session, ConnectionPolicy::kMayOpen);
  if (IsWaiting(session, group))
    return UpdateQueueLengths(now, group);
  waiting.clear();
  OnDispatched(now, session);
}

void StatementProxy::DispatchGroup(Time now, const std::string& group) {
  const auto found = waiting_sessions_.find(group);
  if (found == waiting_sessions_.end() || found->second.empty())
    return;
  std::vector<WaitingStatement> order = WaitingIn(group);
  queues_[group].Sort(now, order);
  const bool contended = order.size() > 1;
  std::vector<SessionId>& waiting = found->second;
  waiting.clear();
  for (const WaitingStatement& statement : order)
    waiting.push_back(statement.session);
  const auto dispatch = [&](const WaitingStatement& statement,
                            ConnectionPolicy policy) {
    Session& session = sessions_.at(statement.session);
    if (!IsWaiting(session, group))
      return;
    const std::string queue = QueueOf(session);
    Dispatch(now, session, policy);
    if (IsWaiting(session, group))
      return;
    std::erase(waiting, statement.session);
    if (contended)
      queues_[group].OnStarted(statement);
    if (session.pending->queued_at < now)
      service_forecast_.OnStarted(now, queue);
    OnDispatched(now, session);
  };
  // First dispatches statements that can use an idle connection of their
  // customer, then those that need a new one: opening takes a slot of the
  // endpoint and may close an idle connection that another statement waits for.
  // Overdue statements may open one in the first pass.
  for (const WaitingStatement& statement : order) {
    const bool overdue = now - statement.arrival >= kMaxIdleConnectionWait;
    dispatch(statement, overdue ? ConnectionPolicy::kMayOpen
                                : ConnectionPolicy::kIdleOnly);
  }
  for (const WaitingStatement& statement : order)
    dispatch(statement, ConnectionPolicy::kMayOpen);
  UpdateQueueLengths(now, group);
}

void StatementProxy::OnDispatched(Time now, Session& session) {
  if (hooks_.waited)
    hooks_.waited(session.route->priority, now - session.pending->queued_at);
}

void StatementProxy::UpdateQueueLengths(Time now, const std::string& group) {
  std::map<std::string, std::size_t> lengths = {{group + "/primary", 0},
                                                {group + "/any", 0}};
  for (const SessionId id : waiting_sessions_[group]) {
    const auto it = sessions_.find(id);
    if (it != sessions_.end() && IsWaiting(it->second, group))
      ++lengths[QueueOf(it->second)];
  }
  for (const auto& [queue, length] : lengths)
    service_forecast_.OnQueueLength(now, queue, length);
}

bool StatementProxy::RejectOnArrival(Time now, Session& session) {
  session.pending->promised =
      session.retry_promised_at != kNever &&
      now >= session.retry_promised_at - kReturnsEarly &&
      now <= session.retry_promised_at + kReturnsLate;
  session.retry_promised_at = kNever;
  const routing::Route& route = *session.route;
  const auto found = waiting_sessions_.find(route.group);
  if (found == waiting_sessions_.end() || found->second.empty())
    return false;
  const std::string queue = QueueOf(session);
  std::vector<WaitingStatement> order = WaitingIn(route.group);
  order.push_back(DescribeWaiting(session));
  queues_[route.group].Sort(now, order);
  std::size_t ahead = 0;
  std::size_t ahead_in_queue = 0;
  for (const WaitingStatement& statement : order) {
    if (statement.session == session.id)
      break;
    ++ahead;
    if (QueueOf(sessions_.at(statement.session)) == queue)
      ++ahead_in_queue;
  }
  if (ahead >= StatementQueue::kMaxWaiting) {
    RejectUnsent(now, session, "queue_full",
                 "not run: too many statements wait for " + route.group);
    return true;
  }
  if (service_forecast_.CanServe(now, queue, session.database, ahead_in_queue,
                                 GiveUpAt(now, route),
                                 now + route.statement_timeout))
    return false;
  const Time start =
      service_forecast_.ExpectedStart(now, queue, ahead_in_queue);
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(start - now);
  Reject(now, session,
         {"expected_wait",
          "not run: " + std::to_string(wait.count()) +
              " ms expected until an endpoint of " + route.group + " is free",
          queue, start, service_forecast_.StartInterval(now, queue)});
  return true;
}

bool StatementProxy::RejectWithoutToken(Time now, Session& session) {
  const Time token_at = holder_.NextFreeTokenAt(now, session.customer);
  if (token_forecast_.MayWait(now, session.customer, token_at,
                              session.pending->give_up_at))
    return false;
  Rejection rejection = RateRejection(now, session);
  rejection.cause = "expected_token";
  Reject(now, session, rejection);
  return true;
}

StatementProxy::Rejection StatementProxy::RateRejection(
    Time now,
    const Session& session) {
  Rejection rejection{"rate", "customer's rate exceeded",
                      "rate/" + session.customer};
  rejection.capacity_at = holder_.NextTokenAt(now, session.customer);
  if (rejection.capacity_at != kNever)
    rejection.interval = rejection.capacity_at - now;
  return rejection;
}

// Refuses a statement that no endpoint could be found for.
void StatementProxy::RejectUnsent(Time now,
                                  Session& session,
                                  std::string_view cause,
                                  const std::string& message,
                                  Outcome outcome) {
  const std::string queue = QueueOf(session);
  Rejection rejection{cause, message, queue};
  rejection.outcome = outcome;
  rejection.interval = service_forecast_.StartInterval(now, queue);
  if (rejection.interval > Duration::zero()) {
    const std::size_t ahead = waiting_sessions_[session.route->group].size();
    rejection.capacity_at = service_forecast_.ExpectedStart(now, queue, ahead);
  }
  Reject(now, session, rejection);
}

void StatementProxy::Reject(Time now,
                            Session& session,
                            const Rejection& rejection) {
  const routing::Route& route = *session.route;
  const Duration service = service_forecast_.ServiceTime(session.database);
  RetrySituation situation;
  situation.arrival = session.started_at;
  situation.useful_end = session.started_at + route.statement_timeout;
  situation.service = std::min(kServiceMargin * service, route.target_latency);
  if (service == Duration::zero())
    situation.service = route.target_latency / kServiceMargin;
  situation.capacity_at = rejection.capacity_at;
  situation.interval = rejection.interval;
  const std::string advice = AdviseRetry(now, rejection, situation, &session);
  Refuse(now, session, rejection.outcome, rejection.message + advice);
}

std::string StatementProxy::AdviseRetry(Time now,
                                        const Rejection& rejection,
                                        const RetrySituation& situation,
                                        Session* session) {
  const Duration after =
      retry_advisor_.Advise(now, rejection.resource, situation);
  if (session != nullptr)
    session->retry_promised_at = now + after;
  if (hooks_.rejected)
    hooks_.rejected(rejection.cause, after);
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(after).count();
  return "; retry after " + std::to_string(count) + " ms";
}

std::string StatementProxy::AdviseRetryForConfiguration(Time now) {
  RetrySituation situation;
  situation.arrival = now;
  situation.useful_end = now + kConfigurationUsefulTime;
  return AdviseRetry(now, {"configuration", "", "configuration"}, situation,
                     nullptr);
}

}  // namespace goldcrest::statements
