// Operations that this entry runs for others.

#include <chrono>
#include <limits>
#include <utility>
#include <vector>

#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {
namespace {

// Numbers of sessions that are run for other entries begin here.
constexpr SessionId kFirstRemoteSession = SessionId{1} << 48U;

bool IsValid(const messages::RelayedStatement& statement) {
  return statement.kind >= 0 &&
         statement.kind <= static_cast<std::int32_t>(StatementKind::kMalformed);
}

// An empty answer to the request.
messages::RelayAnswer AnswerTo(const messages::RelayRequest& request) {
  messages::RelayAnswer answer;
  answer.process = request.process;
  answer.operation = request.operation;
  answer.number = request.number;
  return answer;
}

}  // namespace

// A request without an operation is a probe.
void StatementProxy::OnRelayRequest(Time now,
                                    const std::string& from,
                                    const messages::RelayRequest& request) {
  if (request.operation == 0)
    return hooks_.answer_relayed(from, AnswerTo(request));
  if (!AcceptProcess(now, from, request.process))
    return;
  const RemoteOperationId operation{from, request.process, request.operation};
  const auto known = remote_sessions_.find(operation);
  const bool is_new = remote_entries_.OnOperation(operation);
  if (request.abandoned) {
    if (known != remote_sessions_.end())
      OnSessionClosed(now, SessionId(known->second));
    return;
  }
  if (!request.__isset.statement || !IsValid(request.statement))
    return;
  if (!request.__isset.session) {
    if (known == remote_sessions_.end())
      return AnswerUnknownOperation(
          from, request, is_new ? Outcome::kAborted : Outcome::kInDoubt);
    return RunRemoteStatement(now, known->second, request);
  }
  if (!is_new) {
    hooks_.log_decision({"relay_request_outdated",
                         request.statement.id,
                         "",
                         from,
                         "operation " + std::to_string(request.operation),
                         {},
                         Version()});
    return;
  }
  OnVersionAnnounced(request.session.configuration_version);
  if (stop_phase_ != StopPhase::kNone || !HasConfirmedConfiguration() ||
      request.session.configuration_version > Version()) {
    messages::RelayAnswer answer = AnswerTo(request);
    answer.declined = true;
    return hooks_.answer_relayed(from, answer);
  }
  RunRemoteStatement(now, OpenRemoteSession(now, operation, request.session),
                     request);
}

// Returns false for an earlier process of the entry than the newest known one.
// What an earlier process has left open is rolled back.
bool StatementProxy::AcceptProcess(Time now,
                                   const std::string& from,
                                   std::int64_t process) {
  switch (remote_entries_.OnMessage(from, process)) {
    case RemoteEntries::Process::kNewest:
      return true;
    case RemoteEntries::Process::kOutdated:
      return false;
    case RemoteEntries::Process::kRestarted:
      hooks_.log_decision({"relay_entry_restarted",
                           "",
                           "",
                           from,
                           "another process",
                           {},
                           Version()});
      RollBackRemoteOperations(now, from);
      return true;
  }
  return false;
}

void StatementProxy::RollBackRemoteOperations(Time now,
                                              const std::string& entry) {
  std::vector<SessionId> open;
  const RemoteOperationId first{entry, std::numeric_limits<std::int64_t>::min(),
                                0};
  for (auto it = remote_sessions_.lower_bound(first);
       it != remote_sessions_.end() && it->first.entry == entry; ++it)
    open.push_back(it->second);
  for (const SessionId id : open)
    OnSessionClosed(now, id);
}

// `commit_outcome`: of COMMIT, which may have been run if the operation was
// known. Other statements of a transaction that has ended had no effect.
void StatementProxy::AnswerUnknownOperation(
    const std::string& from,
    const messages::RelayRequest& request,
    Outcome commit_outcome) {
  const bool commit =
      request.statement.kind == static_cast<int>(StatementKind::kCommit);
  messages::RelayAnswer answer = AnswerTo(request);
  const Outcome outcome = commit ? commit_outcome : Outcome::kAborted;
  answer.outcome = static_cast<std::int32_t>(outcome);
  answer.message = outcome == Outcome::kAborted
                       ? "the transaction was rolled back"
                       : "the relay has ended the transaction";
  answer.state = static_cast<std::int32_t>(commit ? TransactionState::kIdle
                                                  : TransactionState::kFailed);
  answer.ended = commit;
  answer.configuration_version = Version();
  hooks_.answer_relayed(from, answer);
}

// A statement that arrives twice is run once. Without one that was lost, the
// transaction would lack its effect.
void StatementProxy::RunRemoteStatement(Time now,
                                        SessionId id,
                                        const messages::RelayRequest& request) {
  RemoteOperation& remote = *sessions_.at(id).remote;
  if (request.number <= remote.received_statements)
    return;
  if (request.number != remote.received_statements + 1) {
    const std::string entry = remote.id.entry;
    OnSessionClosed(now, id);
    return AnswerUnknownOperation(entry, request, Outcome::kAborted);
  }
  remote.received_statements = request.number;
  Statement statement;
  statement.kind = static_cast<StatementKind>(request.statement.kind);
  statement.id = request.statement.id;
  statement.text = request.statement.text;
  statement.name = request.statement.name;
  statement.value = request.statement.value;
  statement.writes = request.statement.writes;
  OnStatement(now, id, std::move(statement));
}

SessionId StatementProxy::OpenRemoteSession(
    Time now,
    const RemoteOperationId& operation,
    const messages::RelayedSession& described) {
  const SessionId id = kFirstRemoteSession + next_remote_session_++;
  remote_sessions_[operation] = id;
  Session& session = sessions_[id];
  session.id = id;
  RemoteOperation remote;
  remote.id = operation;
  session.remote = std::move(remote);
  session.database = described.database;
  session.key = described.key;
  Statement kept;
  for (const auto& [name, value] : described.values) {
    kept.name = name;
    kept.value = value;
    StoreValue(session, kept);
  }
  for (const auto& [name, prepared] : described.prepared) {
    kept.name = name;
    kept.value = prepared.shape;
    kept.writes = prepared.writes;
    StorePrepared(session, kept);
  }
  session.last_commit = {described.last_commit_term,
                         described.last_commit_number};
  if (described.__isset.unplaced_commit_age_micros)
    session.unplaced_commit_at =
        now - Duration(described.unplaced_commit_age_micros);
  session.remote->unplaced_commit_at = session.unplaced_commit_at;
  session.answered_at = now;
  return id;
}

// An empty answer to the oldest statement that has none. Statements are
// answered in their order.
messages::RelayAnswer StatementProxy::NextAnswer(
    const RemoteOperation& operation) {
  messages::RelayAnswer answer;
  answer.process = operation.id.process;
  answer.operation = operation.id.number;
  answer.number = operation.answered_statements + 1;
  return answer;
}

void StatementProxy::SendRelayedRows(const Session& session,
                                     const std::vector<std::string>& rows) {
  messages::RelayAnswer message = NextAnswer(*session.remote);
  message.rows = rows;
  message.more_rows = true;
  hooks_.answer_relayed(session.remote->id.entry, message);
}

void StatementProxy::SendRelayAnswer(Session& session, const Answer& answer) {
  messages::RelayAnswer message = NextAnswer(*session.remote);
  ++session.remote->answered_statements;
  message.outcome = static_cast<std::int32_t>(answer.outcome);
  message.rows = answer.rows;
  message.signature = answer.signature;
  message.code = answer.code;
  message.message = answer.message;
  message.state = static_cast<std::int32_t>(answer.state);
  if (answer.position) {
    message.__set_position_term(answer.position->term);
    message.position_number = answer.position->number;
  }
  message.ended = session.state == TransactionState::kIdle;
  message.last_commit_term = session.last_commit.term;
  message.last_commit_number = session.last_commit.number;
  message.unplaced_commit =
      session.unplaced_commit_at.has_value() &&
      session.unplaced_commit_at != session.remote->unplaced_commit_at;
  message.configuration_version = Version();
  hooks_.answer_relayed(session.remote->id.entry, message);
}

}  // namespace goldcrest::statements
