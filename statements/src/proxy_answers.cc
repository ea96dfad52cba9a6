// Answers of endpoints, lost connections, retries and timeouts.

#include <algorithm>
#include <chrono>

#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {
namespace {

constexpr int kMaxAttempts = 12;

// How long a statement avoids an endpoint that refused it as busy, or where it
// failed otherwise.
constexpr Duration kBusyEndpointDelay = std::chrono::milliseconds(40);
constexpr Duration kFailedEndpointDelay = std::chrono::milliseconds(400);

// Delay before a statement that only the primary may run is retried there.
constexpr Duration kPrimaryRetryDelay = std::chrono::milliseconds(15);

// A connection that no session uses, or that is being opened, is closed when
// its oldest answer has been outstanding for this long: the answer was lost.
constexpr Duration kLostAnswerTimeout = std::chrono::milliseconds(1500);

// A connection with longer session values and prepared names is not kept for
// other sessions.
constexpr std::size_t kMaxIdleSetupBytes = std::size_t{32} << 10U;

// A connection whose transaction the endpoint still refuses to roll back after
// this time is closed, which rolls it back.
constexpr Duration kMaxRollbackTime = std::chrono::milliseconds(400);

}  // namespace

void StatementProxy::OnOpened(Time now, ConnectionId id) {
  Connection* connection = pool_.Find(id);
  if (connection == nullptr)
    return;
  const std::string group = connection->group;
  // The handshake of the connection and the endpoint's greeting.
  zones_.OnRoundTrip(now, ZoneOf(connection->endpoint),
                     (now - connection->state_since) / 2);
  pool_.OnOpened(now, id);
  DispatchGroup(now, group);
}

void StatementProxy::OnOpenFailed(Time now, ConnectionId id, Outcome outcome) {
  Connection* connection = pool_.Find(id);
  if (connection == nullptr)
    return;
  const std::string group = connection->group;
  if (outcome != Outcome::kTooManyConnections)
    ReportUnreachablePrimary(now, group, connection->endpoint);
  ReportConnectionDecision(*connection, "connection_refused", NameOf(outcome),
                           now - connection->state_since);
  pool_.OnOpenFailed(now, id, outcome);
  DispatchGroup(now, group);
}

void StatementProxy::OnAnswer(Time now, ConnectionId id, const Answer& answer) {
  Connection* connection = pool_.Find(id);
  if (connection == nullptr)
    return;
  if (connection->expected_answers.empty()) {
    ReportConnectionDecision(*connection, "connection_closed",
                             "answer to nothing");
    pool_.Close(id);
    return;
  }
  const Connection::ExpectedAnswer expected =
      connection->expected_answers.front();
  connection->expected_answers.pop_front();
  if (!connection->expected_answers.empty())
    connection->expected_answers.front().processing_since = now;
  connection->transaction = answer.state;
  const std::string group = connection->group;
  if (answer.outcome == Outcome::kDone &&
      answer.state != expected.state_after_success)
    return DiscardConnection(now, *connection, "unexpected transaction state");
  if (answer.position)
    pool_.OnPosition(connection->endpoint, *answer.position);
  if (expected.proves_primary && answer.outcome == Outcome::kDone)
    RecordPrimaryAnswer(now, *connection, answer, expected.sent_at);
  ObserveAnswer(now, *connection, expected, answer);
  switch (expected.kind) {
    case Connection::ExpectedAnswer::Kind::kSetup:
      OnSetupAnswer(now, *connection, expected.command, answer);
      break;
    case Connection::ExpectedAnswer::Kind::kRollback:
      OnRollbackAnswer(now, *connection, answer);
      break;
    case Connection::ExpectedAnswer::Kind::kBegin:
      OnBeginAnswer(now, *connection, answer);
      break;
    case Connection::ExpectedAnswer::Kind::kStatement:
      if (answer.outcome == Outcome::kDone) {
        pool_.OnLatency(connection->endpoint, now - expected.processing_since);
        const auto it = sessions_.find(connection->session);
        if (it != sessions_.end())
          service_forecast_.OnServed(it->second.database,
                                     now - expected.sent_at);
      }
      OnStatementAnswer(now, *connection, answer);
      break;
  }
  DispatchGroup(now, group);
}

// Only failures of primaries are reported to the controllers.
void StatementProxy::ReportUnreachablePrimary(Time now,
                                              const std::string& group,
                                              const std::string& endpoint) {
  if (primaries_.PrimaryOf(now, group) == endpoint)
    primaries_.OnUnreachable(now, group, endpoint);
}

void StatementProxy::ReportConnectionDecision(const Connection& connection,
                                              const std::string& event,
                                              const std::string& cause,
                                              Duration age) {
  hooks_.log_decision({event, "", connection.group, connection.endpoint, cause,
                       age, Version()});
}

void StatementProxy::RecordPrimaryAnswer(Time now,
                                         const Connection& connection,
                                         const Answer& answer,
                                         Time sent_at) {
  primaries_.OnConfirmed(now, sent_at, connection.group, connection.endpoint);
  if (answer.position)
    positions_[connection.group].Confirm(sent_at, *answer.position);
}

void StatementProxy::OnBeginAnswer(Time now,
                                   Connection& connection,
                                   const Answer& answer) {
  if (answer.outcome == Outcome::kDone) {
    const auto it = sessions_.find(connection.session);
    if (it == sessions_.end() || !it->second.pending)
      return CleanUpConnection(now, connection);
    return SendStatement(now, it->second, connection);
  }
  if (answer.outcome == Outcome::kReadOnly)
    primaries_.OnRefused(now, connection.group, connection.endpoint);
  const auto it = sessions_.find(connection.session);
  const std::string endpoint = connection.endpoint;
  CleanUpConnection(now, connection);
  if (it == sessions_.end())
    return;
  it->second.connection = 0;
  if (!it->second.pending || Retry(now, it->second, endpoint, answer.outcome))
    return;
  const SessionId id = it->first;
  Refuse(now, it->second, answer.outcome, answer.message);
  ContinueSession(now, id);
}

// The connection's values and names are those that the endpoint has accepted.
// A refused value refuses the statement that waits for it. A refused name has
// no effect but that the statement sent along with it is refused.
void StatementProxy::OnSetupAnswer(Time now,
                                   Connection& connection,
                                   const EndpointCommand& command,
                                   const Answer& answer) {
  const bool accepted = answer.outcome == Outcome::kDone;
  if (command.kind == EndpointCommand::Kind::kPrepare) {
    if (accepted && connection.prepared.insert(command.name).second)
      connection.setup_bytes += command.name.size();
    return;
  }
  if (!accepted && !IsNotRun(answer.outcome)) {
    return DiscardConnection(
        now, connection,
        std::string("session value ") + NameOf(answer.outcome));
  }
  if (!accepted)
    return OnStatementAnswer(now, connection, answer);
  if (command.kind == EndpointCommand::Kind::kReset) {
    connection.values.clear();
    connection.prepared.clear();
    connection.setup_bytes = 0;
  } else {
    std::string& value = connection.values[command.name];
    connection.setup_bytes += command.name.size() + command.value.size();
    connection.setup_bytes -=
        std::min(connection.setup_bytes,
                 value.empty() ? 0 : command.name.size() + value.size());
    value = command.value;
  }
  if (!connection.expected_answers.empty())
    return;
  const auto it = sessions_.find(connection.session);
  if (it == sessions_.end() || !it->second.pending)
    return CleanUpConnection(now, connection);
  SendStatement(now, it->second, connection);
}

void StatementProxy::OnStatementAnswer(Time now,
                                       Connection& connection,
                                       Answer answer) {
  if (answer.outcome == Outcome::kUnknownPrepared) {
    // The caller has prepared the statement; the endpoint does not know it.
    connection.prepared.clear();
    answer.outcome = Outcome::kAborted;
  }
  const bool refused_as_replica = answer.outcome == Outcome::kReadOnly;
  const auto it = sessions_.find(connection.session);
  if (it == sessions_.end() || !it->second.pending)
    return CleanUpConnection(now, connection);
  Session& session = it->second;
  if (refused_as_replica && NeedsPrimary(session))
    primaries_.OnRefused(now, connection.group, connection.endpoint);
  const SessionId id = session.id;
  if (session.state == TransactionState::kIdle)
    OnAutocommitAnswer(now, session, connection, answer);
  else
    OnTransactionAnswer(now, session, connection, answer);
  ContinueSession(now, id);
}

void StatementProxy::OnAutocommitAnswer(Time now,
                                        Session& session,
                                        Connection& connection,
                                        const Answer& answer) {
  const bool writes = Writes(session, session.pending->statement);
  const std::string endpoint = connection.endpoint;
  session.connection = 0;
  CleanUpConnection(now, connection);
  if (answer.outcome == Outcome::kDone) {
    if (writes)
      RecordCommit(now, session, answer);
    EndOperation(now, session, Outcome::kDone);
    return Reply(now, session, answer);
  }
  const bool repeatable = IsNotRun(answer.outcome) || !writes;
  if (repeatable && Retry(now, session, endpoint, answer.outcome))
    return;
  ReportDecision(now, session, "failed", endpoint, NameOf(answer.outcome));
  EndOperation(now, session, answer.outcome);
  Reply(now, session, answer);
}

void StatementProxy::OnTransactionAnswer(Time now,
                                         Session& session,
                                         Connection& connection,
                                         const Answer& answer) {
  const bool commit = session.pending->statement.kind == StatementKind::kCommit;
  const std::string endpoint = connection.endpoint;
  if (answer.outcome == Outcome::kDone) {
    session.statement_succeeded = true;
    if (!commit)
      return Reply(now, session, answer);
    if (connection.has_written)
      RecordCommit(now, session, answer);
    session.connection = 0;
    CleanUpConnection(now, connection);
    session.state = TransactionState::kIdle;
    EndOperation(now, session, Outcome::kDone);
    return Reply(now, session, answer);
  }
  session.connection = 0;
  CleanUpConnection(now, connection);
  const bool first = !session.statement_succeeded;
  if (!commit && first && IsNotRun(answer.outcome) &&
      Retry(now, session, endpoint, answer.outcome))
    return;
  ReportDecision(now, session, "failed", endpoint, NameOf(answer.outcome));
  session.state = commit ? TransactionState::kIdle : TransactionState::kFailed;
  if (commit)
    EndOperation(now, session, answer.outcome);
  Reply(now, session, answer);
}

// Queues a statement again that has not run or may be repeated. Returns false
// when its time or its attempts are used up.
bool StatementProxy::Retry(Time now,
                           Session& session,
                           const std::string& endpoint,
                           Outcome outcome) {
  PendingStatement& pending = *session.pending;
  if (pending.attempts >= kMaxAttempts || now >= pending.give_up_at ||
      pending.rows_passed || IsKeyWithdrawn(session))
    return false;
  pending.last_cause = endpoint + ": " + NameOf(outcome);
  const bool primary = NeedsPrimary(session);
  if (outcome == Outcome::kBehind && pending.required_position)
    pool_.OnBehind(now, endpoint, *pending.required_position);
  if (outcome == Outcome::kBusy)
    pool_.OnBusy(now, endpoint);
  if (!primary && (outcome == Outcome::kBehind || outcome == Outcome::kBusy))
    ObserveRefusal(now, session.route->group, endpoint);
  Duration pause = kFailedEndpointDelay;
  if (outcome == Outcome::kBusy)
    pause = kBusyEndpointDelay;
  if (primary)
    pending.retry_at =
        outcome == Outcome::kReadOnly ? now : now + kPrimaryRetryDelay;
  else if (outcome != Outcome::kBehind)
    pending.avoided_until[endpoint] = now + pause;
  pending.sent = false;
  pending.queued_at = now;
  waiting_sessions_[session.route->group].push_back(session.id);
  ReportDecision(now, session, "retried", endpoint, NameOf(outcome));
  return true;
}

// Makes the connection idle once it has no outstanding answers, after a
// transaction that is open on it has been rolled back.
void StatementProxy::CleanUpConnection(Time now, Connection& connection) {
  if (!connection.expected_answers.empty()) {
    connection.session = 0;  // Called again at the last answer.
    return;
  }
  if (connection.setup_bytes > kMaxIdleSetupBytes)
    return pool_.Close(connection.id);
  if (connection.transaction == TransactionState::kIdle)
    return pool_.Release(now, connection);
  pool_.BeginRollback(now, connection);
  SendRollback(now, connection);
}

void StatementProxy::SendRollback(Time now, Connection& connection) {
  if (!MaySend(now, connection)) {
    ReportConnectionDecision(connection, "connection_closed",
                             "availability zone evacuated, or not known to be");
    return pool_.Close(connection.id);
  }
  EndpointCommand rollback;
  rollback.kind = EndpointCommand::Kind::kRollback;
  connection.rollback_due = kNever;
  connection.expected_answers.push_back(
      {Connection::ExpectedAnswer::Kind::kRollback, now, now});
  Send(connection, {rollback});
}

// An endpoint that refuses under load keeps its connections for a while:
// opening others would cost it further slots.
void StatementProxy::OnRollbackAnswer(Time now,
                                      Connection& connection,
                                      const Answer& answer) {
  if (answer.state == TransactionState::kIdle)
    return pool_.Release(now, connection);
  const Duration age = now - connection.state_since;
  const std::string cause =
      std::string("rollback refused: ") + NameOf(answer.outcome);
  if (answer.outcome == Outcome::kBusy && age < kMaxRollbackTime) {
    ReportConnectionDecision(connection, "rollback_repeated", cause, age);
    connection.rollback_due = now + kBusyEndpointDelay;
    return;
  }
  ReportConnectionDecision(connection, "connection_closed", cause, age);
  pool_.Close(connection.id);
}

void StatementProxy::OnConnectionClosed(Time now, ConnectionId id) {
  Connection* connection = pool_.Find(id);
  if (connection == nullptr)
    return;
  const Connection lost = *connection;
  pool_.Remove(id);
  if (lost.state == Connection::State::kIdle && lost.expected_answers.empty())
    return;  // The endpoint closes idle connections.
  pool_.OnFailure(now, lost.endpoint);
  ReportUnreachablePrimary(now, lost.group, lost.endpoint);
  LeaveLostConnection(now, lost, "connection closed by " + lost.endpoint);
}

// Closes a connection whose state at the endpoint is not known. The endpoint
// itself counts as reachable.
void StatementProxy::DiscardConnection(Time now,
                                       const Connection& connection,
                                       const std::string& cause) {
  ReportConnectionDecision(connection, "connection_closed", cause);
  const Connection lost = connection;
  pool_.Close(lost.id);
  LeaveLostConnection(now, lost, cause + " at " + lost.endpoint);
}

void StatementProxy::LeaveLostConnection(Time now,
                                         const Connection& lost,
                                         const std::string& cause) {
  const auto it = sessions_.find(lost.session);
  if (it != sessions_.end() && it->second.connection == lost.id) {
    it->second.connection = 0;
    OnConnectionLost(now, it->second, cause);
    ContinueSession(now, lost.session);
  }
  DispatchGroup(now, lost.group);
}

// The session has lost its connection: an open transaction is rolled back; a
// commit or a write outside a transaction may have taken effect.
void StatementProxy::OnConnectionLost(Time now,
                                      Session& session,
                                      const std::string& cause) {
  const bool transaction = session.state == TransactionState::kOpen;
  if (!session.pending) {
    session.aborted = true;
    ReportDecision(now, session, "transaction_lost", "", cause);
    return;
  }
  PendingStatement& pending = *session.pending;
  const bool commit = pending.statement.kind == StatementKind::kCommit;
  const bool writes = Writes(session, pending.statement);
  if (!pending.sent && (!transaction || !session.statement_succeeded)) {
    if (Retry(now, session, cause, Outcome::kFailed))
      return;
    return RejectUnsent(now, session, "connection_lost", "not run");
  }
  if (!transaction && !writes && Retry(now, session, cause, Outcome::kFailed))
    return;
  Answer answer;
  answer.message = cause;
  if (transaction && !(commit && pending.sent)) {
    answer.outcome = Outcome::kAborted;
    session.state =
        commit ? TransactionState::kIdle : TransactionState::kFailed;
  } else if (commit || writes) {
    answer.outcome = Outcome::kInDoubt;
    session.state = TransactionState::kIdle;
  } else {
    answer.outcome = Outcome::kTimedOut;
  }
  ReportDecision(now, session, "failed", "",
                 std::string(NameOf(answer.outcome)) + ": " + cause);
  if (session.state == TransactionState::kIdle)
    EndOperation(now, session, answer.outcome);
  ReplyLocally(now, session, std::move(answer));
}

void StatementProxy::AbandonStatement(Time now,
                                      Session& session,
                                      const std::string& cause) {
  const bool ran =
      session.state == TransactionState::kOpen && session.statement_succeeded;
  const bool sent = session.pending->sent;
  DetachConnection(now, session);
  if (sent || ran) {
    session.pending->give_up_at = now;  // Prevents a retry.
    return OnConnectionLost(now, session, cause);
  }
  RejectUnsent(now, session, "no_endpoint",
               "not run: " + session.pending->last_cause);
}

void StatementProxy::Tick(Time now) {
  evacuations_.Tick(now);
  ContinueHeldOperations(now);
  GiveUpCommits(now);
  SendHeldCommits(now);
  RefuseSessionStarts(now);
  AdmitWaitingOperations(now);
  EndUnconfirmedTransactions(now);
  ProbeRelays(now);
  if (stop_phase_ != StopPhase::kNone)
    CloseSessionsBetweenOperations(now);
  std::vector<SessionId> due;
  for (const auto& [id, session] : sessions_) {
    const bool waits_for_token = session.pending &&
                                 !session.pending->token_taken &&
                                 session.state == TransactionState::kIdle;
    const bool late =
        session.pending && !waits_for_token &&
        (now >= session.pending->deadline ||
         (!session.pending->sent && now >= session.pending->give_up_at));
    if (late || now >= session.transaction_idle_deadline)
      due.push_back(id);
  }
  for (const SessionId id : due) {
    Session& session = sessions_.at(id);
    if (!session.pending) {
      AbortTransaction(now, session, "idle for too long");
      continue;
    }
    // An endpoint that has sent rows may wait for the caller to take them.
    if (session.pending->sent && !session.pending->rows_passed) {
      Connection* connection = pool_.Find(session.connection);
      if (connection != nullptr) {
        pool_.OnFailure(now, connection->endpoint);
        ReportUnreachablePrimary(now, connection->group, connection->endpoint);
      }
    }
    AbandonStatement(now, session, "no answer within the statement timeout");
    ContinueSession(now, id);
  }
  for (const ConnectionId id :
       pool_.UnansweredSince(now - kLostAnswerTimeout)) {
    ReportConnectionDecision(*pool_.Find(id), "connection_closed",
                             "an answer was lost");
    pool_.Close(id);
  }
  for (const ConnectionId id : pool_.OpeningSince(now - kLostAnswerTimeout)) {
    hooks_.close(id);
    OnOpenFailed(now, id, Outcome::kTimedOut);
  }
  for (const ConnectionId id : pool_.RollbacksDue(now))
    SendRollback(now, *pool_.Find(id));
  const auto unwanted = [&](const std::string& endpoint) {
    return IsUnused(now, endpoint);
  };
  pool_.CloseIdle(now, unwanted, [this](const std::string& endpoint) {
    return KeptConnections(endpoint);
  });
  std::vector<std::string> groups;
  for (const auto& [group, ids] : waiting_sessions_) {
    if (!ids.empty())
      groups.push_back(group);
  }
  for (const std::string& group : groups)
    DispatchGroup(now, group);
}

}  // namespace goldcrest::statements
