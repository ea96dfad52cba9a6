// Dispatch: which endpoint and which connection may run a statement.

#include <algorithm>
#include <chrono>

#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {
namespace {

// What a choice costs beside the expected wait: a new connection takes a slot
// of the endpoint for some 12 ms and two round trips.
constexpr Duration kHandshakeCost = std::chrono::milliseconds(14);
// Traffic between availability zones costs money and a round trip.
constexpr Duration kOtherZoneCost = std::chrono::milliseconds(14);
// Reads leave the primary to the statements that need it.
constexpr Duration kPrimaryCost = std::chrono::milliseconds(12);

// An entry may exceed its even part of an endpoint's connections this many
// times while all that it has are in use.
constexpr int kMaxOverEvenPart = 4;

// A statement that has waited this long opens a connection before younger ones
// take the idle ones.
constexpr Duration kOpenAnywayAfter = std::chrono::milliseconds(80);

// Connections of each endpoint left to the controllers, which probe it.
constexpr int kReservedConnections = 1;

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

void StatementProxy::DispatchGroup(Time now, const std::string& group) {
  const auto found = waiting_.find(group);
  if (found == waiting_.end() || found->second.empty())
    return;
  struct Waiting {
    int priority;
    Time arrival;
    SessionId id;
  };
  std::vector<Waiting> order;
  for (const SessionId id : std::exchange(found->second, {})) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || !it->second.pending ||
        it->second.pending->sent || it->second.connection != 0 ||
        it->second.route == nullptr || it->second.route->group != group)
      continue;
    const bool known = std::ranges::any_of(
        order, [id](const Waiting& waiting) { return waiting.id == id; });
    if (!known)
      order.push_back(
          {it->second.route->priority, it->second.pending->arrival, id});
  }
  std::ranges::sort(order, [](const Waiting& left, const Waiting& right) {
    return std::tie(left.priority, left.arrival) <
           std::tie(right.priority, right.arrival);
  });
  // First those that can use an idle connection of their customer, then those
  // that need a new one: opening takes a slot of the endpoint, and would close
  // idle connections that others wait for. Who has waited long goes first.
  for (const Waiting& waiting : order) {
    waiting_[group].push_back(waiting.id);
    const bool overdue = now - waiting.arrival >= kOpenAnywayAfter;
    Dispatch(now, sessions_.at(waiting.id),
             overdue ? Opening::kAllowed : Opening::kLater);
  }
  for (const Waiting& waiting : order)
    Dispatch(now, sessions_.at(waiting.id), Opening::kAllowed);
  // Those that now run are dropped with the next call.
}

void StatementProxy::Dispatch(Time now, Session& session, Opening opening) {
  if (!session.pending || session.pending->sent || session.connection != 0 ||
      now < session.pending->retry_at)
    return;
  if (NeedsPrimary(session))
    return DispatchToPrimary(now, session, opening);
  const auto after = ReadPosition(session);
  if (!after)
    return DispatchToPrimary(now, session, opening);
  DispatchToAny(now, session, *after, opening);
}

void StatementProxy::DispatchToPrimary(Time now,
                                       Session& session,
                                       Opening opening) {
  const std::string primary = primaries_.PrimaryOf(now, session.route->group);
  if (primary.empty()) {
    session.pending->last_cause = "no primary known";
    return;
  }
  if (!pool_.HasRoom(now, primary)) {
    session.pending->last_cause = "primary " + primary + " is busy";
    return;
  }
  session.pending->last_cause = "no connection to primary " + primary;
  if (!Acquire(now, session, primary, opening))
    return;
  Run(now, session, *pool_.Find(session.connection), std::nullopt);
}

// The position that an endpoint must have reached for a read of the session;
// nullopt when only the primary can serve it.
std::optional<LogPosition> StatementProxy::ReadPosition(
    const Session& session) {
  PositionHistory& history = positions_[session.route->group];
  const auto covering =
      history.Covering(session.pending->arrival - session.route->max_staleness);
  if (!covering ||
      session.route->consistency != routing::Consistency::kReadYourWrites)
    return covering;
  // A commit of an earlier term that was not rolled back is part of the term
  // that `covering` belongs to.
  if (session.own_commit.term < history.Term())
    return covering;
  return std::max(*covering, session.own_commit);
}

void StatementProxy::DispatchToAny(Time now,
                                   Session& session,
                                   LogPosition after,
                                   Opening opening) {
  struct Candidate {
    Duration cost;
    std::string endpoint;
  };
  std::vector<Candidate> candidates;
  const std::string primary = primaries_.PrimaryOf(now, session.route->group);
  for (const auto* member : directory_.MembersOf(session.route->group)) {
    const std::string& endpoint = member->record.endpoint;
    if (member->record.draining || pool_.IsAvoided(now, endpoint) ||
        pool_.IsBehind(now, endpoint, after))
      continue;
    const auto avoided = session.pending->avoid.find(endpoint);
    if (avoided != session.pending->avoid.end() && now < avoided->second)
      continue;
    Duration cost = pool_.ExpectedWait(now, endpoint);
    if (!pool_.HasIdle(endpoint, session.customer))
      cost += kHandshakeCost;
    if (member->record.zone != options_.zone)
      cost += kOtherZoneCost;
    if (endpoint == primary)
      cost += kPrimaryCost;
    candidates.push_back({cost, endpoint});
  }
  if (candidates.empty()) {
    session.pending->last_cause = "no endpoint can serve the read";
    // All replicas lag or fail; the primary has every commit.
    return DispatchToPrimary(now, session, opening);
  }
  std::ranges::sort(candidates, {}, &Candidate::cost);
  session.pending->last_cause = "no free connection";
  for (const Candidate& candidate : candidates) {
    if (!pool_.HasRoom(now, candidate.endpoint))
      continue;
    if (!Acquire(now, session, candidate.endpoint, opening)) {
      if (opening == Opening::kLater ||
          pool_.IsOpening(session.pending->opening))
        return;
      continue;
    }
    return Run(now, session, *pool_.Find(session.connection), after);
  }
}

int StatementProxy::ConnectionLimit(const std::string& endpoint) const {
  const auto* entry = directory_.Find(endpoint);
  if (entry == nullptr || !table_)
    return 1;
  const auto it = table_->groups.find(entry->record.group);
  return it == table_->groups.end() ? 1 : it->second.connection_limit;
}

int StatementProxy::EvenPart(const std::string& endpoint) const {
  const int limit = ConnectionLimit(endpoint) - kReservedConnections;
  return std::max(1, limit / std::max(1, options_.entries));
}

// Gives the session an idle connection. Otherwise begins to open one, unless
// that is under way, and returns false.
bool StatementProxy::Acquire(Time now,
                             Session& session,
                             const std::string& endpoint,
                             Opening opening) {
  Connection* idle = pool_.Take(now, endpoint, session.customer, session.id);
  if (idle != nullptr) {
    session.connection = idle->id;
    return true;
  }
  if (opening == Opening::kLater)
    return false;
  if (pool_.IsOpening(session.pending->opening) &&
      pool_.Find(session.pending->opening)->endpoint == endpoint)
    return false;
  const int even = EvenPart(endpoint);
  const ConnectionTarget target{endpoint, session.route->group,
                                session.customer};
  ConnectionId id = pool_.Open(now, target, even);
  if (id == 0)
    id = pool_.Open(
        now, target,
        std::min(ConnectionLimit(endpoint), even * kMaxOverEvenPart));
  if (id != 0)
    session.pending->opening = id;
  return false;
}

// Begins a transaction on the endpoint where one is needed: for the caller's
// own, and for a single read that only the primary may serve, because a
// transaction that is not read-only is refused by an endpoint that has lost the
// lead. Otherwise sends the statement.
void StatementProxy::Run(Time now,
                         Session& session,
                         Connection& connection,
                         std::optional<LogPosition> after) {
  ++session.pending->attempts;
  session.pending->after = after;
  const bool primary = NeedsPrimary(session) || !after;
  const bool transaction = session.state == TransactionState::kOpen;
  const bool writes = Writes(session, session.pending->statement);
  if (!transaction && (writes || !primary))
    return SendStatement(now, session, connection, after);
  EndpointCommand begin;
  begin.kind = primary ? EndpointCommand::Kind::kBegin
                       : EndpointCommand::Kind::kBeginReadOnly;
  if (!primary)
    begin.required_position = after;
  connection.in_transaction = true;
  connection.leads_checked = primary;
  connection.expected.push_back({Connection::Expected::Kind::kBegin, now, now});
  Send(connection, {begin});
}

void StatementProxy::SendStatement(Time now,
                                   Session& session,
                                   Connection& connection,
                                   std::optional<LogPosition> after) {
  Pending& pending = *session.pending;
  std::vector<EndpointCommand> commands;
  AppendSetup(session, connection, commands);
  for (std::size_t i = 0; i < commands.size(); ++i)
    connection.expected.push_back(
        {Connection::Expected::Kind::kSetup, now, now});
  EndpointCommand command;
  command.id = pending.statement.id;
  command.required_position = after;
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
  connection.expected.push_back(
      {Connection::Expected::Kind::kStatement, now, now});
  pending.sent = true;
  Send(connection, commands);
}

// Gives the connection the session's values and the prepared statement that it
// is about to execute. Names of prepared statements are those of the shapes, so
// that sessions share them.
void StatementProxy::AppendSetup(const Session& session,
                                 Connection& connection,
                                 std::vector<EndpointCommand>& commands) const {
  const bool surplus = std::ranges::any_of(
      connection.values,
      [&](const auto& item) { return session.values.count(item.first) == 0; });
  if (surplus) {
    EndpointCommand reset;
    reset.kind = EndpointCommand::Kind::kReset;
    commands.push_back(reset);
    connection.values.clear();
    connection.prepared.clear();
  }
  for (const auto& [name, value] : session.values) {
    const auto it = connection.values.find(name);
    if (it != connection.values.end() && it->second == value)
      continue;
    EndpointCommand set;
    set.kind = EndpointCommand::Kind::kSet;
    set.name = name;
    set.value = value;
    commands.push_back(set);
    connection.values[name] = value;
  }
  if (session.pending->statement.kind != StatementKind::kExecute)
    return;
  const PreparedStatement& prepared =
      session.prepared.at(session.pending->statement.name);
  const std::string name = prepared.SharedName();
  if (!connection.prepared.insert(name).second)
    return;
  EndpointCommand prepare;
  prepare.kind = EndpointCommand::Kind::kPrepare;
  prepare.name = name;
  prepare.value = prepared.shape;
  prepare.writes = prepared.writes;
  commands.push_back(prepare);
}

void StatementProxy::Send(const Connection& connection,
                          const std::vector<EndpointCommand>& commands) {
  hooks_.send(connection.id, commands);
}

}  // namespace goldcrest::statements
