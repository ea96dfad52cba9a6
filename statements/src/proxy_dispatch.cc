// Dispatch: chooses the endpoint and the connection for each statement.

#include <algorithm>
#include <chrono>
#include <tuple>

#include "goldcrest/routing/endpoint_eligibility.h"
#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {
namespace {

// Costs of a candidate endpoint that are added to its expected wait. A new
// connection takes a slot of the endpoint for some 12 ms and two round trips.
constexpr Duration kHandshakeCost = std::chrono::milliseconds(14);
// Keeps reads off the primary in favour of statements that need it, where its
// availability zone has another endpoint.
constexpr Duration kPrimaryCost = std::chrono::milliseconds(12);

// While all of its connections to an endpoint are in use, an entry may open up
// to this multiple of its equal share.
constexpr int kMaxShareMultiple = 4;

// Part of an endpoint's connections that relays keep open while they are idle.
// The rest is for entries that run operations themselves, and for reconnecting
// after a loss of power, when an endpoint counts dead connections for seconds.
constexpr int kKeptPercent = 65;

constexpr const char* kPromotionUnderWay = "another primary is being promoted";

// Connections of each endpoint that are left to the probes of the controllers.
constexpr int kProbeConnections = 1;

}  // namespace

bool StatementProxy::Writes(const Session& session,
                            const Statement& statement) const {
  if (statement.kind == StatementKind::kWrite)
    return true;
  if (statement.kind != StatementKind::kExecute)
    return false;
  const auto it = session.prepared.find(statement.name);
  return it != session.prepared.end() && it->second.writes;
}

bool StatementProxy::NeedsPrimary(const Session& session) const {
  if (session.route->consistency == routing::Consistency::kPrimary)
    return true;
  if (session.state == TransactionState::kOpen)
    return !session.read_only;
  return Writes(session, session.pending->statement);
}

void StatementProxy::Dispatch(Time now,
                              Session& session,
                              ConnectionPolicy policy) {
  if (!session.pending || session.pending->sent || session.connection != 0 ||
      now < session.pending->retry_at)
    return;
  if (!evacuations_.Knows(now)) {
    session.pending->last_cause = "evacuated zones not confirmed";
    return;
  }
  if (NeedsPrimary(session))
    return DispatchToPrimary(now, session, policy);
  const auto required_position = RequiredReadPosition(session);
  if (!required_position)
    return DispatchToPrimary(now, session, policy);
  DispatchToAnyMember(now, session, *required_position, policy);
}

void StatementProxy::DispatchToPrimary(Time now,
                                       Session& session,
                                       ConnectionPolicy policy) {
  // One in an evacuated zone is not asked any more whether it still leads.
  const std::string primary = primaries_.PrimaryOf(
      now, session.route->group,
      [&](const std::string& endpoint) { return IsClosedTo(now, endpoint); });
  if (primary.empty()) {
    const std::string closed = primaries_.PrimaryOf(now, session.route->group);
    session.pending->last_cause =
        closed.empty()
            ? "no primary known"
            : "primary " + closed + " is in an evacuated availability zone";
    return;
  }
  if (HasDrainedTooLong(now, primary)) {
    session.pending->last_cause = "primary " + primary + " drains";
    return;
  }
  if (session.state == TransactionState::kIdle &&
      Writes(session, session.pending->statement) &&
      write_holds_.IsHeld(now, session.route->group, primary)) {
    session.pending->last_cause = kPromotionUnderWay;
    return;
  }
  if (!pool_.HasCapacity(now, primary)) {
    session.pending->last_cause = "primary " + primary + " is busy";
    return;
  }
  session.pending->last_cause = "no connection to primary " + primary;
  if (!AcquireConnection(now, session, primary, policy))
    return;
  StartStatement(now, session, *pool_.Find(session.connection), std::nullopt);
}

// A primary that drains is replaced, and serves until then. While nobody can
// promote another one, it gets new work for a limited time only.
bool StatementProxy::HasDrainedTooLong(Time now,
                                       const std::string& primary) const {
  const auto* entry = directory_.Find(primary);
  return entry != nullptr && entry->record.draining &&
         now - entry->changed_at >= options_.draining_primary_timeout;
}

// The position that an endpoint must have reached to serve the session's read;
// nullopt when only the primary can serve it.
std::optional<LogPosition> StatementProxy::RequiredReadPosition(
    const Session& session) {
  PositionHistory& history = positions_[session.route->group];
  const bool reads_own =
      session.route->consistency == routing::Consistency::kReadYourWrites;
  Time bound = session.pending->arrival - session.route->max_staleness;
  if (reads_own && session.unplaced_commit_at)
    bound = std::max(bound, *session.unplaced_commit_at);
  const auto covering = history.PositionCovering(bound);
  if (!covering || !reads_own)
    return covering;
  // `covering` belongs to the newest term, which contains every commit of an
  // earlier term that was not rolled back.
  if (session.last_commit.term < history.Term())
    return covering;
  return std::max(*covering, session.last_commit);
}

// Without a position, the session's reads need one that was confirmed later.
void StatementProxy::RecordCommit(Time now,
                                  Session& session,
                                  const Answer& answer) {
  if (!answer.position) {
    // A request of the same microsecond may have been sent before.
    session.unplaced_commit_at = now + std::chrono::microseconds(1);
    return;
  }
  session.last_commit = std::max(session.last_commit, *answer.position);
  session.unplaced_commit_at.reset();
}

void StatementProxy::DispatchToAnyMember(Time now,
                                         Session& session,
                                         LogPosition required_position,
                                         ConnectionPolicy policy) {
  std::vector<Candidate> candidates;
  const std::string primary = primaries_.PrimaryOf(now, session.route->group);
  for (const auto* member : directory_.MembersOf(session.route->group)) {
    const std::string& endpoint = member->record.endpoint;
    if (!routing::MayGetWork(now, member->record, evacuations_,
                             routing::Work::kAnyMember) ||
        pool_.IsAvoided(now, endpoint) ||
        pool_.IsBehind(now, endpoint, required_position))
      continue;
    const auto avoided = session.pending->avoided_until.find(endpoint);
    if (avoided != session.pending->avoided_until.end() &&
        now < avoided->second)
      continue;
    Duration cost = pool_.ExpectedWait(now, endpoint);
    if (!pool_.HasIdle(endpoint, session.customer))
      cost += kHandshakeCost;
    if (endpoint == primary)
      cost += kPrimaryCost;
    candidates.push_back({cost, endpoint, member->record.zone});
  }
  if (candidates.empty()) {
    session.pending->last_cause = "no endpoint can serve the read";
    // All replicas lag or fail; the primary has every commit.
    return DispatchToPrimary(now, session, policy);
  }
  AssignZone(now, session, candidates);
  const std::string& zone = session.pending->zone;
  std::ranges::sort(candidates, {}, [&](const Candidate& candidate) {
    return std::tuple(!zone.empty() && candidate.zone != zone, candidate.cost);
  });
  session.pending->last_cause = "no free connection";
  for (const Candidate& candidate : candidates) {
    if (!zone.empty() && candidate.zone != zone &&
        now < session.pending->leave_zone_at)
      return;
    if (!pool_.HasCapacity(now, candidate.endpoint))
      continue;
    if (!AcquireConnection(now, session, candidate.endpoint, policy)) {
      if (policy == ConnectionPolicy::kIdleOnly ||
          pool_.IsBecomingIdle(now, session.pending->awaited_connection))
        return;
      continue;
    }
    return StartStatement(now, session, *pool_.Find(session.connection),
                          required_position);
  }
}

int StatementProxy::ConnectionLimit(const std::string& endpoint) const {
  const auto* entry = directory_.Find(endpoint);
  if (entry == nullptr || !table_)
    return 1;
  const auto it = table_->groups.find(entry->record.group);
  return it == table_->groups.end() ? 1 : it->second.connection_limit;
}

int StatementProxy::EqualConnectionShare(const std::string& endpoint) const {
  const int limit = ConnectionLimit(endpoint) - kProbeConnections;
  return std::max({1, limit / std::max(1, options_.entry_count),
                   KeptConnections(endpoint)});
}

// Connections that a relay keeps open for the next operations of its customers.
// The relays of the endpoint's availability zone share a part of its limit.
int StatementProxy::KeptConnections(const std::string& endpoint) const {
  const auto* entry = directory_.Find(endpoint);
  if (entry == nullptr || table_ == nullptr || !options_.offers_relay ||
      entry->record.zone != options_.zone || !UsesRelays(entry->record.group))
    return 0;
  const int relays = std::max(1, relays_.CountIn(options_.zone));
  const int kept = ConnectionLimit(endpoint) * kKeptPercent / 100;
  return (kept + relays - 1) / relays;
}

// Assigns an idle connection to the session and returns true. If there is none,
// waits for one that is being opened or rolled back, or starts to open one, and
// returns false.
bool StatementProxy::AcquireConnection(Time now,
                                       Session& session,
                                       const std::string& endpoint,
                                       ConnectionPolicy policy) {
  Connection* idle =
      pool_.TakeIdle(now, endpoint, session.customer, session.id);
  if (idle != nullptr) {
    session.connection = idle->id;
    return true;
  }
  if (policy == ConnectionPolicy::kIdleOnly)
    return false;
  ConnectionId& awaited = session.pending->awaited_connection;
  if (pool_.IsBecomingIdle(now, awaited) &&
      pool_.Find(awaited)->endpoint == endpoint)
    return false;
  const int share = EqualConnectionShare(endpoint);
  const ConnectionTarget target{endpoint, session.route->group,
                                session.customer};
  ConnectionId id = pool_.AwaitRollback(now, endpoint, session.customer);
  if (id == 0)
    id = pool_.Open(now, target, share);
  if (id == 0)
    id = pool_.Open(
        now, target,
        std::min(ConnectionLimit(endpoint), share * kMaxShareMultiple));
  if (id != 0)
    awaited = id;
  return false;
}

// Sends BEGIN first for the caller's transaction and for a single read that
// only the primary may serve, because an endpoint that is no longer primary
// refuses a transaction that is not read-only. Otherwise sends the statement at
// once.
void StatementProxy::StartStatement(
    Time now,
    Session& session,
    Connection& connection,
    std::optional<LogPosition> required_position) {
  ++session.pending->attempts;
  session.pending->required_position = required_position;
  const bool primary = NeedsPrimary(session) || !required_position;
  const bool transaction = session.state == TransactionState::kOpen;
  const bool writes = Writes(session, session.pending->statement);
  if (!transaction && (writes || !primary))
    return SendStatement(now, session, connection);
  EndpointCommand begin;
  begin.kind = primary ? EndpointCommand::Kind::kBegin
                       : EndpointCommand::Kind::kBeginReadOnly;
  if (!primary)
    begin.required_position = required_position;
  connection.requires_primary = primary;
  connection.expected_answers.push_back(
      {Connection::ExpectedAnswer::Kind::kBegin, now, now, primary,
       TransactionState::kOpen});
  Send(connection, {begin});
}

// Sends the session's values first if the connection has others. The statement
// follows their answers: an endpoint that refuses a value would run it with
// another one. A name is prepared along with the statement, which an endpoint
// refuses if it does not know the name.
void StatementProxy::SendStatement(Time now,
                                   Session& session,
                                   Connection& connection) {
  // ContinueHeldOperations() sends it later, or ends the operation.
  if (!MaySend(now, connection))
    return;
  if (Commits(session, connection) &&
      write_holds_.IsHeld(now, connection.group, connection.endpoint)) {
    session.pending->last_cause = kPromotionUnderWay;
    commits_held_ = true;
    return;
  }
  const std::vector<EndpointCommand> values =
      ValueCommands(session, connection);
  if (!values.empty()) {
    ExpectSetupAnswers(now, connection, values);
    return Send(connection, values);
  }
  PendingStatement& pending = *session.pending;
  std::vector<EndpointCommand> commands = PrepareCommands(session, connection);
  ExpectSetupAnswers(now, connection, commands);
  EndpointCommand command;
  command.id = pending.statement.id;
  if (connection.transaction == TransactionState::kIdle)
    command.required_position = pending.required_position;
  if (pending.statement.kind == StatementKind::kExecute) {
    const PreparedStatement& prepared =
        session.prepared.at(pending.statement.name);
    command.kind = EndpointCommand::Kind::kExecute;
    command.name = prepared.SharedName();
    command.value = pending.statement.value;
  } else {
    command.text = pending.statement.text;
  }
  commands.push_back(std::move(command));
  const bool writes = Writes(session, pending.statement);
  // An endpoint that has lost the lead still commits a transaction that has
  // written nothing.
  const bool commits = pending.statement.kind == StatementKind::kCommit;
  const bool commits_nothing = commits && !connection.has_written;
  connection.expected_answers.push_back(
      {Connection::ExpectedAnswer::Kind::kStatement, now, now,
       writes || (connection.requires_primary && !commits_nothing),
       commits ? TransactionState::kIdle : connection.transaction});
  connection.has_written |= writes;
  pending.sent = true;
  Send(connection, commands);
}

// The commands that bring the connection to the session's values.
std::vector<EndpointCommand> StatementProxy::ValueCommands(
    const Session& session,
    const Connection& connection) {
  std::vector<EndpointCommand> commands;
  const bool surplus = std::ranges::any_of(
      connection.values,
      [&](const auto& item) { return session.values.count(item.first) == 0; });
  if (surplus)
    commands.emplace_back().kind = EndpointCommand::Kind::kReset;
  for (const auto& [name, value] : session.values) {
    const auto it = connection.values.find(name);
    if (!surplus && it != connection.values.end() && it->second == value)
      continue;
    EndpointCommand& set = commands.emplace_back();
    set.kind = EndpointCommand::Kind::kSet;
    set.name = name;
    set.value = value;
  }
  return commands;
}

// The command that prepares the statement to be executed, if the connection
// does not have it. Prepared statements are named after their shapes, so that
// sessions share them.
std::vector<EndpointCommand> StatementProxy::PrepareCommands(
    const Session& session,
    const Connection& connection) {
  if (session.pending->statement.kind != StatementKind::kExecute)
    return {};
  const PreparedStatement& prepared =
      session.prepared.at(session.pending->statement.name);
  EndpointCommand prepare;
  prepare.kind = EndpointCommand::Kind::kPrepare;
  prepare.name = prepared.SharedName();
  prepare.value = prepared.shape;
  prepare.writes = prepared.writes;
  if (connection.prepared.count(prepare.name) > 0)
    return {};
  return {prepare};
}

void StatementProxy::ExpectSetupAnswers(
    Time now,
    Connection& connection,
    const std::vector<EndpointCommand>& commands) {
  for (const EndpointCommand& command : commands)
    connection.expected_answers.push_back(
        {Connection::ExpectedAnswer::Kind::kSetup, now, now, false,
         connection.transaction, command});
}

void StatementProxy::Send(const Connection& connection,
                          const std::vector<EndpointCommand>& commands) {
  hooks_.send(connection.id, commands);
}

}  // namespace goldcrest::statements
