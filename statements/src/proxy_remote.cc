// Operations that this entry runs for others.

#include <chrono>
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

}  // namespace

// A request without a number is a probe.
void StatementProxy::OnRelayRequest(Time now,
                                    const std::string& from,
                                    const messages::RelayRequest& request) {
  messages::RelayAnswer answer;
  answer.operation = request.operation;
  if (request.operation == 0)
    return hooks_.answer_relayed(from, answer);
  const auto known = remote_sessions_.find({from, request.operation});
  if (request.abandoned) {
    if (known != remote_sessions_.end())
      OnSessionClosed(now, SessionId(known->second));
    return;
  }
  if (!request.__isset.statement || !IsValid(request.statement))
    return;
  SessionId id = 0;
  if (known != remote_sessions_.end()) {
    id = known->second;
  } else if (request.__isset.session) {
    OnVersionAnnounced(request.session.configuration_version);
    if (stop_phase_ != StopPhase::kNone || !HasConfirmedConfiguration() ||
        request.session.configuration_version > Version()) {
      answer.declined = true;
      return hooks_.answer_relayed(from, answer);
    }
    id = OpenRemoteSession(now, from, request);
  } else {
    // The transaction has ended here, for example by its idle timeout.
    const bool commit =
        request.statement.kind == static_cast<int>(StatementKind::kCommit);
    answer.outcome = static_cast<std::int32_t>(Outcome::kAborted);
    answer.message = "the transaction was rolled back";
    answer.state = static_cast<std::int32_t>(
        commit ? TransactionState::kIdle : TransactionState::kFailed);
    answer.ended = commit;
    answer.configuration_version = Version();
    return hooks_.answer_relayed(from, answer);
  }
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
    const std::string& from,
    const messages::RelayRequest& request) {
  const SessionId id = kFirstRemoteSession + next_remote_session_++;
  remote_sessions_[{from, request.operation}] = id;
  Session& session = sessions_[id];
  session.id = id;
  RemoteOperation remote;
  remote.entry = from;
  remote.operation = request.operation;
  session.remote = std::move(remote);
  session.database = request.session.database;
  session.key = request.session.key;
  Statement kept;
  for (const auto& [name, value] : request.session.values) {
    kept.name = name;
    kept.value = value;
    StoreValue(session, kept);
  }
  for (const auto& [name, prepared] : request.session.prepared) {
    kept.name = name;
    kept.value = prepared.shape;
    kept.writes = prepared.writes;
    StorePrepared(session, kept);
  }
  session.last_commit = {request.session.last_commit_term,
                         request.session.last_commit_number};
  if (request.session.__isset.unplaced_commit_age_micros)
    session.unplaced_commit_at =
        now - Duration(request.session.unplaced_commit_age_micros);
  session.remote->unplaced_commit_at = session.unplaced_commit_at;
  session.answered_at = now;
  return id;
}

void StatementProxy::SendRelayedRows(const Session& session,
                                     const std::vector<std::string>& rows) {
  messages::RelayAnswer message;
  message.operation = session.remote->operation;
  message.rows = rows;
  message.more_rows = true;
  hooks_.answer_relayed(session.remote->entry, message);
}

void StatementProxy::SendRelayAnswer(const Session& session,
                                     const Answer& answer) {
  messages::RelayAnswer message;
  message.operation = session.remote->operation;
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
  hooks_.answer_relayed(session.remote->entry, message);
}

}  // namespace goldcrest::statements
