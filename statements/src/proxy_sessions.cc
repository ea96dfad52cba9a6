// Sessions and the statements that an entry answers without an endpoint.

#include <algorithm>
#include <chrono>

#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {
namespace {

// Longest wait for a token of the customer's rate limit. The controllers answer
// a report within a round trip, and further tokens come from the rate of this
// entry's share.
constexpr Duration kMaxTokenWait = std::chrono::milliseconds(300);

// Longest wait of a new session for the first confirmed configuration. A caller
// abandons a session that is not accepted within two seconds.
constexpr Duration kMaxConfigurationWait = std::chrono::milliseconds(1500);

// A statement is refused when it has found no endpoint after 1 / kGiveUpDivisor
// of its timeout, so that the caller can still retry within its own deadline.
constexpr int kGiveUpDivisor = 2;

constexpr const char* kStoppingMessage =
    "not run: planned stop; retry on a new connection";
constexpr const char* kNoConfigurationMessage =
    "no confirmed configuration yet";

// Whether a statement begins an operation when no transaction is open.
bool StartsOperation(StatementKind kind) {
  switch (kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
    case StatementKind::kRead:
    case StatementKind::kWrite:
    case StatementKind::kExecute:
      return true;
    case StatementKind::kCommit:
    case StatementKind::kRollback:
    case StatementKind::kSet:
    case StatementKind::kPrepare:
    case StatementKind::kDeallocate:
    case StatementKind::kMalformed:
      return false;
  }
  return false;
}

// When an operation stops waiting for a token.
Time TokenDeadline(Time now, const routing::Route& route) {
  return now + std::min(kMaxTokenWait, route.target_latency);
}

}  // namespace

StatementProxy::StatementProxy(ProxyOptions options, ProxyHooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      pool_({hooks_.open, hooks_.close}),
      relays_(options_.relay),
      evacuations_(options_.evacuation_timeout),
      zones_({options_.zone, options_.zone_salt, options_.zone_byte_cost,
              [this](const routing::ShareChange& change) {
                hooks_.log_decision({"zone_share_changed",
                                     "",
                                     change.group,
                                     "",
                                     routing::Describe(change),
                                     {},
                                     Version()});
                if (hooks_.shares_changed)
                  hooks_.shares_changed(change);
              }}) {}

void StatementProxy::OnSessionStart(Time now,
                                    SessionId id,
                                    const std::string& database,
                                    const std::string& key) {
  // A configuration from before a restart may allow what has been withdrawn.
  if (!HasConfirmedConfiguration() && stop_phase_ == StopPhase::kNone) {
    pending_session_starts_.push_back(
        {id, database, key, now + kMaxConfigurationWait});
    return;
  }
  Session& session = sessions_[id];
  session.id = id;
  session.database = database;
  session.key = key;
  session.started_at = now;
  session.answered_at = now;
  const auto refuse = [&](const std::pair<Outcome, std::string>& refusal) {
    Answer answer;
    answer.outcome = refusal.first;
    answer.message = refusal.second;
    ReportDecision(now, session, "session_refused", "",
                   NameOf(answer.outcome) + (": " + answer.message));
    hooks_.answer(id, answer);
    sessions_.erase(id);
    hooks_.close_session(id);
  };
  if (stop_phase_ == StopPhase::kRefusingOperations)
    return refuse({Outcome::kBusy, kStoppingMessage});
  if (!HasConfirmedConfiguration())
    return refuse({Outcome::kBusy,
                   kNoConfigurationMessage + AdviseRetryForConfiguration(now)});
  const routing::Route* route = table_->FindRoute(database);
  if (route == nullptr)
    return refuse(
        RefuseUnknown(now, Outcome::kUnknownDatabase, "no such database"));
  if (!route->is_public && table_->FindCustomer(key) == nullptr)
    return refuse(RefuseUnknown(now, Outcome::kUnknownKey, "unknown key"));
  hooks_.answer(id, Answer::Completed());
}

// Refuses new sessions for which no configuration was confirmed in time, and
// all that wait for it once operations are refused.
void StatementProxy::RefuseSessionStarts(Time now) {
  std::vector<PendingSessionStart> late;
  std::erase_if(pending_session_starts_, [&](PendingSessionStart& start) {
    if (now < start.deadline && stop_phase_ != StopPhase::kRefusingOperations)
      return false;
    late.push_back(std::move(start));
    return true;
  });
  for (const PendingSessionStart& start : late) {
    Answer answer;
    answer.outcome = Outcome::kBusy;
    answer.message = kNoConfigurationMessage + AdviseRetryForConfiguration(now);
    hooks_.log_decision({"session_refused", "", "", "", answer.message, {}, 0});
    hooks_.answer(start.session, answer);
    hooks_.close_session(start.session);
  }
}

void StatementProxy::OnStatement(Time now, SessionId id, Statement statement) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end())
    return;
  Session& session = it->second;
  if (session.pending || !session.queued_statements.empty()) {
    Enqueue(session, std::move(statement));
    return;
  }
  HandleStatement(now, session, std::move(statement));
  ContinueSession(now, id);
}

void StatementProxy::OnSessionClosed(Time now, SessionId id) {
  std::erase_if(
      pending_session_starts_,
      [id](const PendingSessionStart& start) { return start.session == id; });
  const auto it = sessions_.find(id);
  if (it == sessions_.end())
    return;
  Session& session = it->second;
  if (session.pending && session.route != nullptr)
    ReportDecision(now, session, "caller_left", "", "session closed");
  if (session.pending && std::ranges::count(token_waiters_, id) > 0)
    holder_.StopWaiting(session.customer);
  std::erase(token_waiters_, id);
  DetachConnection(now, session);
  if (session.remote)
    remote_sessions_.erase(session.remote->id);
  sessions_.erase(it);
}

// Detaches the session from its connection, which is reused once its
// outstanding answers have arrived.
void StatementProxy::DetachConnection(Time now, Session& session) {
  LeaveRelay(session, RelayEnd::kAbandon);
  if (session.connection == 0)
    return;
  Connection* connection = pool_.Find(session.connection);
  session.connection = 0;
  if (connection == nullptr)
    return;
  connection->session = 0;
  if (connection->expected_answers.empty())
    CleanUpConnection(now, *connection);
}

void StatementProxy::ContinueSession(Time now, SessionId id) {
  while (true) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || it->second.pending)
      return;
    Session& session = it->second;
    if (session.queued_statements.empty()) {
      // The session of another entry's operation ends with it.
      if (session.remote && session.state == TransactionState::kIdle)
        return OnSessionClosed(now, id);
      if (MayCloseSession(now, session))
        CloseSession(now, id);
      return;
    }
    if (hooks_.is_output_full && hooks_.is_output_full(id))
      return;
    HandleStatement(now, session, Dequeue(session));
  }
}

void StatementProxy::HandleStatement(Time now,
                                     Session& session,
                                     Statement statement) {
  session.operation_ended = false;
  if (session.state == TransactionState::kOpen)
    session.transaction_idle_deadline = kNever;
  if (stop_phase_ == StopPhase::kRefusingOperations) {
    if (session.state == TransactionState::kOpen)
      AbortTransaction(now, session, "planned stop");
    else if (session.state == TransactionState::kIdle &&
             StartsOperation(statement.kind))
      return Refuse(now, session, Outcome::kBusy, kStoppingMessage);
  }
  const bool ends = statement.kind == StatementKind::kRollback ||
                    statement.kind == StatementKind::kCommit;
  if (session.aborted && !ends) {
    session.state = TransactionState::kFailed;
    return ReplyError(now, session, Outcome::kAborted,
                      "the transaction was rolled back");
  }
  if (session.state == TransactionState::kFailed && !ends) {
    return ReplyError(now, session, Outcome::kMalformed,
                      "the transaction has failed");
  }
  if (!session.relay.empty() && session.state == TransactionState::kOpen &&
      ForwardStatement(now, session, statement))
    return;
  switch (statement.kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      return HandleBegin(now, session, std::move(statement));
    case StatementKind::kRollback:
      return HandleRollback(now, session);
    case StatementKind::kSet:
      return HandleSet(now, session, statement);
    case StatementKind::kPrepare:
    case StatementKind::kDeallocate:
      return HandlePrepare(now, session, statement);
    case StatementKind::kCommit:
    case StatementKind::kRead:
    case StatementKind::kWrite:
    case StatementKind::kExecute:
      return HandleEndpointStatement(now, session, std::move(statement));
    case StatementKind::kMalformed:
      FailTransaction(session);
      return ReplyError(now, session, Outcome::kMalformed,
                        "the statement can't be read");
  }
}

void StatementProxy::HandleBegin(Time now,
                                 Session& session,
                                 Statement statement) {
  if (session.state != TransactionState::kIdle) {
    return ReplyError(now, session, Outcome::kMalformed,
                      "a transaction is open already");
  }
  session.read_only = statement.kind == StatementKind::kBeginReadOnly;
  if (StartOperation(now, session))
    RunOperation(now, session, std::move(statement));
}

void StatementProxy::BeginTransaction(Time now,
                                      Session& session,
                                      Statement statement) {
  session.pending = PendingStatement{};
  session.pending->statement = std::move(statement);
  session.pending->arrival = now;
  session.pending->give_up_at = TokenDeadline(now, *session.route);
  session.pending->deadline = session.pending->give_up_at;
  if (AdmitOperation(now, session)) {
    session.pending.reset();
    session.state = TransactionState::kOpen;
    ReplyLocally(now, session, Answer::Completed());
  }
}

void StatementProxy::HandleRollback(Time now, Session& session) {
  if (session.state == TransactionState::kIdle) {
    return ReplyError(now, session, Outcome::kMalformed,
                      "no transaction is open");
  }
  DetachConnection(now, session);
  const bool failed = session.state == TransactionState::kFailed;
  session.state = TransactionState::kIdle;
  EndOperation(now, session, failed ? Outcome::kAborted : Outcome::kDone);
  ReplyLocally(now, session, Answer::Completed());
}

std::string StatementProxy::PreparedStatement::SharedName() const {
  std::string name = writes ? "w" : "r";
  for (const char c : shape) {
    if (c == ' ')
      name += "_.";
    else if (c == '_')
      name += "__";
    else
      name += c;
  }
  return name;
}

void StatementProxy::HandleEndpointStatement(Time now,
                                             Session& session,
                                             Statement statement) {
  const bool commit = statement.kind == StatementKind::kCommit;
  if (commit && (session.state != TransactionState::kOpen || session.aborted)) {
    const bool open = session.state != TransactionState::kIdle;
    DetachConnection(now, session);
    session.state = TransactionState::kIdle;
    session.aborted = false;
    if (!open)
      return ReplyError(now, session, Outcome::kMalformed,
                        "no transaction is open");
    EndOperation(now, session, Outcome::kAborted);
    return ReplyError(now, session, Outcome::kAborted,
                      "the transaction was rolled back");
  }
  if (statement.kind == StatementKind::kExecute &&
      session.prepared.count(statement.name) == 0) {
    FailTransaction(session);
    return ReplyError(now, session, Outcome::kUnknownPrepared,
                      "no such prepared statement");
  }
  if (session.state != TransactionState::kIdle)
    return SubmitStatement(now, session, std::move(statement));
  if (StartOperation(now, session))
    RunOperation(now, session, std::move(statement));
}

void StatementProxy::SubmitStatement(Time now,
                                     Session& session,
                                     Statement statement) {
  session.pending = PendingStatement{};
  PendingStatement& pending = *session.pending;
  pending.statement = std::move(statement);
  pending.arrival = now;
  pending.deadline = now + session.route->statement_timeout;
  SetGiveUpTime(now, session);
  if (session.state == TransactionState::kIdle) {
    const Time give_up_at = std::exchange(
        pending.give_up_at,
        std::min(pending.give_up_at, TokenDeadline(now, *session.route)));
    if (!AdmitOperation(now, session))
      return;
    pending.give_up_at = give_up_at;
  }
  if (session.connection != 0) {
    Connection* connection = pool_.Find(session.connection);
    if (connection != nullptr)
      return SendStatement(now, session, *connection);
  }
  EnqueueStatement(now, session);
}

Time StatementProxy::GiveUpAt(Time now, const routing::Route& route) {
  return now + route.statement_timeout / kGiveUpDivisor;
}

// Starts the statement's time to find a connection. The time that its operation
// has waited for a token does not count: a refusal would lose the token.
void StatementProxy::SetGiveUpTime(Time now, Session& session) {
  PendingStatement& pending = *session.pending;
  pending.give_up_at =
      std::min(GiveUpAt(now, *session.route), pending.deadline);
}

void StatementProxy::ReplyLocally(Time now, Session& session, Answer answer) {
  answer.position.reset();
  Reply(now, session, std::move(answer));
}

void StatementProxy::ReplyError(Time now,
                                Session& session,
                                Outcome outcome,
                                const char* message) {
  Answer answer;
  answer.outcome = outcome;
  answer.message = message;
  ReplyLocally(now, session, std::move(answer));
}

void StatementProxy::FailTransaction(Session& session) {
  if (session.state == TransactionState::kOpen)
    session.state = TransactionState::kFailed;
}

// Answers the pending statement. The public function that was called then calls
// ContinueSession().
void StatementProxy::Reply(Time now, Session& session, Answer answer) {
  session.pending.reset();
  answer.state = session.state;
  if (session.state == TransactionState::kOpen &&
      table_->transaction_idle_timeout > Duration::zero())
    session.transaction_idle_deadline = now + table_->transaction_idle_timeout;
  session.answered_at = now;
  if (session.remote)
    SendRelayAnswer(session, answer);
  else
    hooks_.answer(session.id, answer);
}

void StatementProxy::Refuse(Time now,
                            Session& session,
                            Outcome outcome,
                            const std::string& message) {
  if (message.empty())
    return RejectUnsent(now, session, "endpoint", "not run", outcome);
  ReportDecision(now, session, "refused", "",
                 std::string(NameOf(outcome)) + ": " + message);
  if (session.state == TransactionState::kOpen)
    session.state = TransactionState::kFailed;
  else
    EndOperation(now, session, outcome);
  Answer answer;
  answer.outcome = outcome;
  answer.message = message;
  ReplyLocally(now, session, std::move(answer));
}

void StatementProxy::EndOperation(Time now, Session& session, Outcome outcome) {
  session.transaction_idle_deadline = kNever;
  if (session.route != nullptr && !session.remote)
    hooks_.completed(*session.route, outcome, now - session.started_at);
  session.route = nullptr;
  session.table.reset();
  session.aborted = false;
  session.statement_succeeded = false;
  session.operation_ended = true;
}

void StatementProxy::ReportDecision(Time now,
                                    const Session& session,
                                    const std::string& event,
                                    const std::string& endpoint,
                                    const std::string& cause) {
  Decision decision;
  decision.event = event;
  if (session.pending) {
    decision.statement_id = session.pending->statement.id;
    decision.age = now - session.pending->arrival;
  }
  if (session.route != nullptr)
    decision.group = session.route->group;
  decision.endpoint = endpoint;
  decision.cause = cause;
  decision.configuration_version = Version();
  decision.customer = session.customer;
  hooks_.log_decision(decision);
}

}  // namespace goldcrest::statements
