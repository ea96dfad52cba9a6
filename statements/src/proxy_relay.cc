// Operations that another entry runs for this one.

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>
#include <vector>

#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {
namespace {

// Added to the times after which a relay answers by itself: a round trip
// between availability zones on a busy link.
constexpr Duration kRelayRoundTrip = std::chrono::milliseconds(60);

// Relays are used where an entry's equal part of a group's connections is below
// this part of the customers: most operations would open a connection.
constexpr int kCustomersPerConnection = 4;

bool IsValid(const messages::RelayAnswer& answer) {
  return answer.outcome >= 0 &&
         answer.outcome <= static_cast<std::int32_t>(Outcome::kOther) &&
         answer.state >= 0 &&
         answer.state <= static_cast<std::int32_t>(TransactionState::kFailed);
}

}  // namespace

bool StatementProxy::UsesRelays(const std::string& group) const {
  const auto it = table_->groups.find(group);
  if (options_.relay.empty() || it == table_->groups.end())
    return false;
  return it->second.connection_limit * kCustomersPerConnection <
         options_.entry_count * static_cast<int>(table_->customers.size());
}

// The availability zone of the endpoint that the operation needs. Empty if
// there is none.
std::string StatementProxy::ZoneForOperation(Time now,
                                             const Session& session,
                                             const Statement& statement) {
  const std::string& group = session.route->group;
  const bool begins = statement.kind == StatementKind::kBegin;
  if (session.route->consistency == routing::Consistency::kPrimary || begins ||
      Writes(session, statement)) {
    const auto* primary = directory_.Find(primaries_.PrimaryOf(now, group));
    return primary == nullptr ? "" : primary->record.zone;
  }
  return ChooseZone(now, *session.route);
}

// Hands the operation that begins with `statement` to the customer's relay.
// Returns false if this entry has to run it.
bool StatementProxy::RelayOperation(Time now,
                                    Session& session,
                                    const Statement& statement) {
  if (session.remote || !UsesRelays(session.route->group))
    return false;
  const std::string zone = ZoneForOperation(now, session, statement);
  if (zone.empty())
    return false;
  const std::string relay = relays_.Choose(now, session.customer, zone);
  if (relay.empty() || relay == options_.relay)
    return false;
  session.relay = relay;
  session.relay_zone = zone;
  session.relayed_operation = next_relayed_operation_++;
  session.relayed_statements = 0;
  relayed_operations_[session.relayed_operation] = session.id;
  relays_.OnOperationStarted(now, relay);
  SendRelayedStatement(now, session, statement, RelayMessage::kFirst);
  return true;
}

// Sends a statement of a transaction to the relay that runs it. Returns false
// for a statement that this entry answers itself.
bool StatementProxy::ForwardStatement(Time now,
                                      Session& session,
                                      const Statement& statement) {
  const bool prepared = session.prepared.count(statement.name) > 0;
  switch (statement.kind) {
    case StatementKind::kSet:
      if (!StoreValue(session, statement))
        return false;
      break;
    case StatementKind::kPrepare:
      if (!StorePrepared(session, statement))
        return false;
      break;
    case StatementKind::kDeallocate:
      if (!ErasePrepared(session, statement.name))
        return false;
      break;
    case StatementKind::kExecute:
      if (!prepared)
        return false;
      break;
    case StatementKind::kCommit:
    case StatementKind::kRead:
    case StatementKind::kWrite:
      break;
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
    case StatementKind::kRollback:
    case StatementKind::kMalformed:
      return false;
  }
  SendRelayedStatement(now, session, statement, RelayMessage::kFollowing);
  return true;
}

void StatementProxy::SendRelayedStatement(Time now,
                                          Session& session,
                                          const Statement& statement,
                                          RelayMessage message) {
  messages::RelayRequest request;
  request.process = options_.process;
  request.operation = session.relayed_operation;
  request.number = ++session.relayed_statements;
  if (message == RelayMessage::kFirst)
    request.__set_session(DescribeSession(now, session, statement));
  messages::RelayedStatement relayed;
  relayed.kind = static_cast<std::int32_t>(statement.kind);
  relayed.id = statement.id;
  relayed.text = statement.text;
  relayed.name = statement.name;
  relayed.value = statement.value;
  relayed.writes = statement.writes;
  request.__set_statement(relayed);
  PendingStatement pending;
  pending.statement = statement;
  pending.arrival = now;
  pending.deadline = now + session.route->statement_timeout + kRelayRoundTrip;
  pending.give_up_at = now + session.route->statement_timeout / 2;
  pending.token_taken = true;
  pending.sent = true;
  session.pending = std::move(pending);
  hooks_.send_to_relay(session.relay, request);
}

messages::RelayedSession StatementProxy::DescribeSession(
    Time now,
    const Session& session,
    const Statement& statement) const {
  messages::RelayedSession described;
  described.database = session.database;
  described.key = session.key;
  described.values = session.values;
  const bool transaction = statement.kind == StatementKind::kBegin ||
                           statement.kind == StatementKind::kBeginReadOnly;
  for (const auto& [name, prepared] : session.prepared) {
    if (!transaction && name != statement.name)
      continue;
    messages::RelayedPreparedStatement copy;
    copy.writes = prepared.writes;
    copy.shape = prepared.shape;
    described.prepared[name] = copy;
  }
  described.last_commit_term = session.last_commit.term;
  described.last_commit_number = session.last_commit.number;
  if (session.unplaced_commit_at)
    described.__set_unplaced_commit_age_micros(
        (now - *session.unplaced_commit_at).count());
  described.configuration_version = std::max(Version(), required_version_);
  return described;
}

// Forgets the relayed operation, which the relay ends by itself or is told to
// abandon.
void StatementProxy::LeaveRelay(Session& session, RelayEnd end) {
  if (session.relay.empty())
    return;
  relayed_operations_.erase(session.relayed_operation);
  relays_.OnOperationEnded(session.relay);
  if (end == RelayEnd::kAbandon) {
    messages::RelayRequest request;
    request.process = options_.process;
    request.operation = session.relayed_operation;
    request.abandoned = true;
    hooks_.send_to_relay(session.relay, request);
  }
  session.relay.clear();
}

void StatementProxy::OnRelayAnswer(Time now,
                                   const std::string& from,
                                   const messages::RelayAnswer& message) {
  relays_.OnHeard(now, from);
  // An operation of an earlier process may have had the same number.
  if (message.process != options_.process)
    return;
  const auto operation = relayed_operations_.find(message.operation);
  if (operation == relayed_operations_.end())
    return;
  Session& session = sessions_.at(operation->second);
  if (session.relay != from || !session.pending ||
      message.number != session.relayed_statements || !IsValid(message))
    return;
  const SessionId id = session.id;
  if (message.more_rows) {
    session.pending->rows_passed = true;
    session.pending->deadline =
        now + session.route->statement_timeout + kRelayRoundTrip;
    return hooks_.rows(id, message.rows);
  }
  if (message.declined) {
    relays_.OnDeclined(now, from);
    LeaveRelay(session, RelayEnd::kEndedThere);
    RestartOperation(now, session);
    return ContinueSession(now, id);
  }
  required_version_ =
      std::max(required_version_, message.configuration_version);
  const LogPosition last_commit{message.last_commit_term,
                                message.last_commit_number};
  if (session.last_commit < last_commit) {
    session.last_commit = last_commit;
    session.unplaced_commit_at.reset();
  }
  if (message.unplaced_commit)
    session.unplaced_commit_at = now + std::chrono::microseconds(1);
  ObserveRelayAnswer(now, session, message);
  Answer answer;
  answer.outcome = static_cast<Outcome>(message.outcome);
  answer.rows = message.rows;
  answer.signature = message.signature;
  answer.code = message.code;
  answer.message = message.message;
  if (message.__isset.position_term)
    answer.position = {message.position_term, message.position_number};
  session.state = static_cast<TransactionState>(message.state);
  if (answer.outcome == Outcome::kDone &&
      session.state == TransactionState::kOpen)
    session.statement_succeeded = true;
  if (message.ended) {
    LeaveRelay(session, RelayEnd::kEndedThere);
    EndOperation(now, session, answer.outcome);
  }
  Reply(now, session, std::move(answer));
  ContinueSession(now, id);
}

// The division of reads among the zones rests on their latency.
void StatementProxy::ObserveRelayAnswer(Time now,
                                        const Session& session,
                                        const messages::RelayAnswer& message) {
  const Statement& statement = session.pending->statement;
  const Duration latency = now - session.pending->arrival;
  zones_.OnRoundTrip(now, session.relay_zone, latency);
  if (session.state != TransactionState::kIdle || Writes(session, statement) ||
      session.route->consistency == routing::Consistency::kPrimary ||
      static_cast<Outcome>(message.outcome) != Outcome::kDone)
    return;
  std::size_t bytes = statement.text.size() + message.signature.size();
  for (const std::string& row : message.rows)
    bytes += row.size();
  zones_.OnAnswer(now, session.route->group, session.relay_zone, latency,
                  bytes);
}

// Runs the operation elsewhere, of which nothing has taken effect. Its first
// statement is pending.
void StatementProxy::RestartOperation(Time now, Session& session) {
  Statement statement = std::move(session.pending->statement);
  session.pending.reset();
  RunOperation(now, session, std::move(statement));
}

// A relay is lost or unresponsive: what has no effect is run elsewhere.
void StatementProxy::OnRelayLost(Time now,
                                 const std::string& relay,
                                 const std::string& cause) {
  std::vector<SessionId> affected;
  for (const auto& [operation, id] : relayed_operations_) {
    if (sessions_.at(id).relay == relay)
      affected.push_back(id);
  }
  if (!affected.empty())
    hooks_.log_decision(
        {"relay_lost",
         "",
         "",
         relay,
         cause + ", " + std::to_string(affected.size()) + " operations",
         {},
         Version()});
  for (const SessionId id : affected) {
    Session& session = sessions_.at(id);
    LeaveRelay(session, RelayEnd::kAbandon);
    const bool restartable = session.pending && !session.pending->rows_passed &&
                             session.state == TransactionState::kIdle &&
                             !Writes(session, session.pending->statement) &&
                             now < session.pending->give_up_at;
    if (restartable) {
      ReportDecision(now, session, "retried", relay, cause);
      RestartOperation(now, session);
    } else {
      if (session.pending)
        session.pending->give_up_at = now;  // Prevents a retry.
      std::string lost = cause;
      lost.append(" ").append(relay);
      OnConnectionLost(now, session, lost);
    }
    ContinueSession(now, id);
  }
}

messages::RelayInstance StatementProxy::OwnRelay() const {
  messages::RelayInstance relay;
  relay.instance = options_.relay;
  relay.zone = options_.zone;
  relay.available = options_.offers_relay && stop_phase_ == StopPhase::kNone;
  return relay;
}

// Runs an operation whose route and customer are known.
void StatementProxy::RunOperation(Time now,
                                  Session& session,
                                  Statement statement) {
  if (RelayOperation(now, session, statement))
    return;
  // The caller may have seen the effect of a newer configuration.
  if (required_version_ > Version())
    return Refuse(
        now, session, Outcome::kBusy,
        "a newer configuration is in force" + AdviseRetryForConfiguration(now));
  if (statement.kind == StatementKind::kBegin ||
      statement.kind == StatementKind::kBeginReadOnly)
    return BeginTransaction(now, session, std::move(statement));
  SubmitStatement(now, session, std::move(statement));
}

void StatementProxy::OnRelay(const messages::RelayInstance& relay) {
  relays_.OnRelay(relay);
}

void StatementProxy::OnRelayLink(Time now, const std::string& relay, bool up) {
  relays_.OnLink(now, relay, up);
  if (up)
    return;
  OnRelayLost(now, relay, "lost relay");
  RollBackRemoteOperations(now, relay);
}

void StatementProxy::ProbeRelays(Time now) {
  for (const std::string& relay : relays_.TakeProbesDue(now))
    hooks_.send_to_relay(relay, messages::RelayRequest());
  for (const std::string& relay : relays_.TakeUnresponsive(now))
    OnRelayLost(now, relay, "unresponsive relay");
}

}  // namespace goldcrest::statements
