// Answers of endpoints, lost connections and deadlines.

#include <algorithm>
#include <chrono>

#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {
namespace {

constexpr int kMaxAttempts = 12;

// How long an endpoint is left out for one statement after it refused it.
constexpr Duration kBusyPause = std::chrono::milliseconds(40);
constexpr Duration kOtherPause = std::chrono::milliseconds(400);

// Statements that only the primary may run are tried again there after this.
constexpr Duration kPrimaryPause = std::chrono::milliseconds(15);

// A connection whose answer nobody awaits any more is closed after this: the
// answer was lost.
constexpr Duration kLostAnswer = std::chrono::milliseconds(1500);

}  // namespace

void StatementProxy::OnOpened(Time now, ConnectionId id) {
  Connection* connection = pool_.Find(id);
  if (connection == nullptr)
    return;
  const std::string group = connection->group;
  pool_.OnOpened(now, id);
  DispatchGroup(now, group);
}

void StatementProxy::OnOpenFailed(Time now, ConnectionId id, Outcome outcome) {
  Connection* connection = pool_.Find(id);
  if (connection == nullptr)
    return;
  const std::string group = connection->group;
  if (outcome != Outcome::kTooManyConnections)
    NoteUnreachable(now, group, connection->endpoint);
  DecideOnConnection(*connection, "connection_refused", NameOf(outcome),
                     now - connection->since);
  pool_.OnOpenFailed(now, id, outcome);
  DispatchGroup(now, group);
}

void StatementProxy::OnAnswer(Time now, ConnectionId id, const Answer& answer) {
  Connection* connection = pool_.Find(id);
  if (connection == nullptr)
    return;
  if (connection->expected.empty()) {
    DecideOnConnection(*connection, "connection_closed", "answer to nothing");
    pool_.Close(id);
    return;
  }
  const Connection::Expected expected = connection->expected.front();
  connection->expected.pop_front();
  if (!connection->expected.empty())
    connection->expected.front().worked_on_since = now;
  const std::string group = connection->group;
  if (answer.position)
    pool_.OnPosition(connection->endpoint, *answer.position);
  switch (expected.kind) {
    case Connection::Expected::Kind::kSetup:
      if (answer.outcome == Outcome::kDone)
        return;
      DecideOnConnection(
          *connection, "connection_closed",
          std::string("session state refused: ") + NameOf(answer.outcome));
      hooks_.close(id);
      return OnConnectionClosed(now, id);
    case Connection::Expected::Kind::kCleanup:
      break;
    case Connection::Expected::Kind::kBegin:
      OnBeginAnswer(now, *connection, answer, expected.sent_at);
      break;
    case Connection::Expected::Kind::kStatement:
      if (answer.outcome == Outcome::kDone)
        pool_.OnLatency(connection->endpoint, now - expected.worked_on_since);
      OnStatementAnswer(now, *connection, answer, expected.sent_at);
      break;
  }
  DispatchGroup(now, group);
}

// Controllers are told how entries fare with primaries only.
void StatementProxy::NoteUnreachable(Time now,
                                     const std::string& group,
                                     const std::string& endpoint) {
  if (primaries_.PrimaryOf(now, group) == endpoint)
    primaries_.OnUnreachable(now, group, endpoint);
}

void StatementProxy::DecideOnConnection(const Connection& connection,
                                        const std::string& event,
                                        const std::string& cause,
                                        Duration age) {
  hooks_.decided({event, "", connection.group, connection.endpoint, cause, age,
                  Version()});
}

void StatementProxy::Learn(Time now,
                           const Connection& connection,
                           const Answer& answer,
                           Time sent_at) {
  primaries_.OnConfirmed(now, connection.group, connection.endpoint);
  if (answer.position)
    positions_[connection.group].Confirm(sent_at, *answer.position);
}

void StatementProxy::OnBeginAnswer(Time now,
                                   Connection& connection,
                                   const Answer& answer,
                                   Time sent_at) {
  if (answer.outcome == Outcome::kDone) {
    if (connection.leads_checked)
      Learn(now, connection, answer, sent_at);
    const auto it = sessions_.find(connection.session);
    if (it == sessions_.end() || !it->second.pending)
      return CleanUp(now, connection);
    return SendStatement(now, it->second, connection, std::nullopt);
  }
  if (answer.outcome == Outcome::kReadOnly)
    primaries_.OnDenied(now, connection.group, connection.endpoint);
  const auto it = sessions_.find(connection.session);
  const std::string endpoint = connection.endpoint;
  CleanUp(now, connection);
  if (it == sessions_.end())
    return;
  it->second.connection = 0;
  if (!it->second.pending || Retry(now, it->second, endpoint, answer.outcome))
    return;
  const SessionId id = it->first;
  Refuse(now, it->second, answer.outcome, answer.message);
  NextFromInbox(now, id);
}

void StatementProxy::OnStatementAnswer(Time now,
                                       Connection& connection,
                                       const Answer& answer,
                                       Time sent_at) {
  const bool refused_lead = answer.outcome == Outcome::kReadOnly;
  if (answer.outcome == Outcome::kDone && connection.leads_checked)
    Learn(now, connection, answer, sent_at);
  const auto it = sessions_.find(connection.session);
  if (it == sessions_.end() || !it->second.pending)
    return CleanUp(now, connection);
  Session& session = it->second;
  if (refused_lead && NeedsPrimary(session))
    primaries_.OnDenied(now, connection.group, connection.endpoint);
  const SessionId id = session.id;
  if (session.state == TransactionState::kIdle) {
    if (answer.outcome == Outcome::kDone &&
        Writes(session, session.pending->statement))
      Learn(now, connection, answer, sent_at);
    OnSingleAnswer(now, session, connection, answer);
  } else {
    OnTransactionAnswer(now, session, connection, answer);
  }
  NextFromInbox(now, id);
}

void StatementProxy::OnSingleAnswer(Time now,
                                    Session& session,
                                    Connection& connection,
                                    const Answer& answer) {
  const bool writes = Writes(session, session.pending->statement);
  const std::string endpoint = connection.endpoint;
  session.connection = 0;
  if (answer.outcome == Outcome::kUnknownPrepared)
    connection.prepared.clear();
  CleanUp(now, connection);
  if (answer.outcome == Outcome::kDone) {
    if (writes && answer.position)
      session.own_commit = std::max(session.own_commit, *answer.position);
    EndOperation(now, session, Outcome::kDone);
    return Reply(now, session, answer);
  }
  const bool repeatable = IsNotRun(answer.outcome) || !writes;
  if (repeatable && Retry(now, session, endpoint, answer.outcome))
    return;
  Decide(now, session, "failed", endpoint, NameOf(answer.outcome));
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
    session.ran = true;
    if (!commit)
      return Reply(now, session, answer);
    if (!session.read_only && answer.position)
      session.own_commit = std::max(session.own_commit, *answer.position);
    session.connection = 0;
    connection.in_transaction = false;
    CleanUp(now, connection);
    session.state = TransactionState::kIdle;
    EndOperation(now, session, Outcome::kDone);
    return Reply(now, session, answer);
  }
  session.connection = 0;
  if (answer.outcome == Outcome::kUnknownPrepared)
    connection.prepared.clear();
  CleanUp(now, connection);
  const bool first = !session.ran;
  if (!commit && first && IsNotRun(answer.outcome) &&
      Retry(now, session, endpoint, answer.outcome))
    return;
  Decide(now, session, "failed", endpoint, NameOf(answer.outcome));
  session.state = commit ? TransactionState::kIdle : TransactionState::kFailed;
  if (commit)
    EndOperation(now, session, answer.outcome);
  Reply(now, session, answer);
}

// Puts a statement that has not run, or may run again, back in line. False when
// its time or its attempts are used up.
bool StatementProxy::Retry(Time now,
                           Session& session,
                           const std::string& endpoint,
                           Outcome outcome) {
  Pending& pending = *session.pending;
  if (pending.attempts >= kMaxAttempts || now >= pending.give_up)
    return false;
  pending.last_cause = endpoint + ": " + NameOf(outcome);
  const bool primary = NeedsPrimary(session);
  if (outcome == Outcome::kBehind && pending.after)
    pool_.OnBehind(now, endpoint, *pending.after);
  if (outcome == Outcome::kBusy)
    pool_.OnBusy(now, endpoint);
  Duration pause = kOtherPause;
  if (outcome == Outcome::kBusy)
    pause = kBusyPause;
  if (primary)
    pending.retry_at =
        outcome == Outcome::kReadOnly ? now : now + kPrimaryPause;
  else if (outcome != Outcome::kBehind)
    pending.avoid[endpoint] = now + pause;
  pending.sent = false;
  waiting_[session.route->group].push_back(session.id);
  Decide(now, session, "retried", endpoint, NameOf(outcome));
  return true;
}

// Makes the connection idle, rolling back what is open on it.
void StatementProxy::CleanUp(Time now, Connection& connection) {
  if (!connection.expected.empty()) {
    connection.session = 0;  // Called again with the last answer.
    return;
  }
  if (connection.in_transaction) {
    EndpointCommand rollback;
    rollback.kind = EndpointCommand::Kind::kRollback;
    connection.expected.push_back(
        {Connection::Expected::Kind::kCleanup, now, now});
    Send(connection, {rollback});
  }
  pool_.Release(now, connection);
}

void StatementProxy::OnConnectionClosed(Time now, ConnectionId id) {
  Connection* connection = pool_.Find(id);
  if (connection == nullptr)
    return;
  const Connection lost = *connection;
  pool_.Forget(id);
  if (lost.state == Connection::State::kIdle && lost.expected.empty())
    return;  // The endpoint closes connections that idle.
  pool_.OnFailure(now, lost.endpoint);
  NoteUnreachable(now, lost.group, lost.endpoint);
  const auto it = sessions_.find(lost.session);
  if (it != sessions_.end() && it->second.connection == id) {
    it->second.connection = 0;
    LoseConnection(now, it->second, "connection closed by " + lost.endpoint);
    NextFromInbox(now, lost.session);
  }
  DispatchGroup(now, lost.group);
}

// The session's connection is gone: what ran on it in a transaction is rolled
// back; a commit or a single write may have taken effect.
void StatementProxy::LoseConnection(Time now,
                                    Session& session,
                                    const std::string& cause) {
  const bool transaction = session.state == TransactionState::kOpen;
  if (!session.pending) {
    session.aborted = true;
    Decide(now, session, "transaction_lost", "", cause);
    return;
  }
  Pending& pending = *session.pending;
  const bool commit = pending.statement.kind == StatementKind::kCommit;
  const bool writes = Writes(session, pending.statement);
  if (!pending.sent && (!transaction || !session.ran)) {
    if (Retry(now, session, cause, Outcome::kFailed))
      return;
    return Refuse(now, session, Outcome::kBusy, "not run; retry after 200 ms");
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
  Decide(now, session, "failed", "",
         std::string(NameOf(answer.outcome)) + ": " + cause);
  if (session.state == TransactionState::kIdle)
    EndOperation(now, session, answer.outcome);
  ReplyLocally(now, session, std::move(answer));
}

void StatementProxy::OnStatementTimeout(Time now, Session& session) {
  Connection* connection = pool_.Find(session.connection);
  if (connection != nullptr) {
    pool_.OnFailure(now, connection->endpoint);
    NoteUnreachable(now, connection->group, connection->endpoint);
  }
  session.pending->give_up = now;  // No retry: its time is over.
  Abandon(now, session);
  LoseConnection(now, session, "no answer within the statement timeout");
}

void StatementProxy::Tick(Time now) {
  RefuseWaitingStarts(now);
  ServeWaitingForTokens(now);
  if (draining_)
    CloseIdleSessions(now);
  std::vector<SessionId> due;
  for (const auto& [id, session] : sessions_) {
    const bool waits_for_token = session.pending && !session.pending->counted &&
                                 session.state == TransactionState::kIdle;
    const bool late =
        session.pending && !waits_for_token &&
        (now >= session.pending->deadline ||
         (!session.pending->sent && now >= session.pending->give_up));
    if (late || now >= session.idle_until)
      due.push_back(id);
  }
  for (const SessionId id : due) {
    Session& session = sessions_.at(id);
    if (!session.pending) {
      session.idle_until = kNever;
      Abandon(now, session);
      session.aborted = true;
      Decide(now, session, "transaction_ended", "", "idle for too long");
      continue;
    }
    const bool ran = session.state == TransactionState::kOpen && session.ran;
    if (session.pending->sent || ran) {
      OnStatementTimeout(now, session);
    } else {
      Abandon(now, session);
      Refuse(
          now, session, Outcome::kBusy,
          "not run: " + session.pending->last_cause + "; retry after 100 ms");
    }
    NextFromInbox(now, id);
  }
  for (const ConnectionId id : pool_.Stuck(now - kLostAnswer)) {
    DecideOnConnection(*pool_.Find(id), "connection_closed",
                       "an answer was lost");
    pool_.Close(id);
  }
  pool_.CloseIdle(now, [this](const std::string& endpoint) {
    const auto* entry = directory_.Find(endpoint);
    return entry == nullptr || entry->record.gone ||
           (entry->record.draining && !entry->record.primary);
  });
  std::vector<std::string> groups;
  for (const auto& [group, ids] : waiting_) {
    if (!ids.empty())
      groups.push_back(group);
  }
  for (const std::string& group : groups)
    DispatchGroup(now, group);
}

void StatementProxy::BeginDrain(Time now) {
  draining_ = true;
  CloseIdleSessions(now);
}

void StatementProxy::AbortTransactions(Time now) {
  for (auto& [id, session] : sessions_) {
    if (session.state != TransactionState::kOpen || session.pending)
      continue;
    Abandon(now, session);
    session.aborted = true;
    Decide(now, session, "transaction_ended", "", "planned stop");
  }
}

}  // namespace goldcrest::statements
