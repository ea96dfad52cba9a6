#include "goldcrest/statements/connection_pool.h"

#include <algorithm>
#include <chrono>

namespace goldcrest::statements {
namespace {

// Delay before the next connection attempt after a refusal for too many
// connections, doubled with each consecutive refusal: long enough for another
// entry to close an idle connection. Each attempt occupies a slot of the
// endpoint for some milliseconds, refused or not.
constexpr Duration kTooManyConnectionsBackoff = std::chrono::milliseconds(40);
constexpr int kMaxTooManyConnectionsDoublings = 4;

// Connections that an entry opens to one endpoint concurrently. Without a
// bound, a full endpoint spends its slots on refusing connections.
constexpr int kMaxConcurrentOpens = 2;

// Delay before an unreachable endpoint is tried again, doubled with each
// consecutive failure.
constexpr Duration kFailureBackoff = std::chrono::milliseconds(100);
constexpr int kMaxFailureDoublings = 3;

// Idle connections are closed soon: another entry or another customer may need
// the slot, and after a power loss an endpoint counts dead connections for
// seconds. At an overloaded endpoint they are kept longer, because opening new
// connections would cost it further slots.
constexpr Duration kIdleTimeout = std::chrono::milliseconds(200);
constexpr Duration kIdleTimeoutWhenBusy = std::chrono::milliseconds(1500);

// Idle time of connections that are kept for the next operations. Shorter than
// the time after which endpoints close them.
constexpr Duration kKeptIdleTimeout = std::chrono::seconds(30);

// How long a statement waits for a connection that is being rolled back before
// it opens another one. Longer than a round trip between availability zones.
constexpr Duration kMaxRollbackWait = std::chrono::milliseconds(100);

// How long the refusal of a read by a lagging endpoint applies to other reads
// that require the same position or a later one.
constexpr Duration kBehindValidity = std::chrono::milliseconds(200);

// The window limits the concurrent statements to one endpoint. It shrinks when
// the endpoint refuses a statement as busy, at most once per interval, and
// grows with each answer.
constexpr double kWindowDecreaseFactor = 0.7;
constexpr Duration kWindowDecreaseInterval = std::chrono::milliseconds(60);
constexpr double kWindowIncrease = 0.15;
constexpr double kMaxWindow = 24;

// Delay after a refusal at the smallest window, doubled with each refusal and
// halved with each answer: dozens of entries with one statement each are still
// too many for a few slots, and each attempt costs traffic between availability
// zones.
constexpr Duration kMinBusyBackoff = std::chrono::milliseconds(20);
constexpr Duration kMaxBusyBackoff = std::chrono::milliseconds(160);

// The newest latency has the weight 1 / kLatencySmoothingDivisor.
constexpr int kLatencySmoothingDivisor = 5;

}  // namespace

ConnectionPool::ConnectionPool(ConnectionPoolHooks hooks)
    : hooks_(std::move(hooks)) {}

Connection* ConnectionPool::TakeIdle(Time now,
                                     const std::string& endpoint,
                                     const std::string& customer,
                                     SessionId session) {
  // Takes the most recently used one, so that the others can time out.
  Connection* best = nullptr;
  for (auto& [id, connection] : connections_) {
    if (connection.state != Connection::State::kIdle ||
        connection.endpoint != endpoint || connection.customer != customer)
      continue;
    if (best == nullptr || connection.state_since > best->state_since)
      best = &connection;
  }
  if (best == nullptr)
    return nullptr;
  best->state = Connection::State::kBusy;
  best->state_since = now;
  best->session = session;
  return best;
}

ConnectionId ConnectionPool::AwaitRollback(Time now,
                                           const std::string& endpoint,
                                           const std::string& customer) {
  for (auto& [id, connection] : connections_) {
    if (connection.state != Connection::State::kRollingBack ||
        connection.awaited || connection.endpoint != endpoint ||
        connection.customer != customer || !IsBecomingIdle(now, id))
      continue;
    connection.awaited = true;
    return id;
  }
  return 0;
}

bool ConnectionPool::HasIdle(const std::string& endpoint,
                             const std::string& customer) const {
  return std::ranges::any_of(connections_, [&](const auto& item) {
    return item.second.state == Connection::State::kIdle &&
           item.second.endpoint == endpoint && item.second.customer == customer;
  });
}

bool ConnectionPool::CanOpen(Time now,
                             const std::string& endpoint,
                             int limit) const {
  const auto it = health_.find(endpoint);
  if (it == health_.end())
    return true;
  if (now < it->second.next_open_at || now < it->second.avoid_until ||
      it->second.opening_connections >= kMaxConcurrentOpens)
    return false;
  if (it->second.connections < limit)
    return true;
  return std::ranges::any_of(connections_, [&](const auto& item) {
    return item.second.state == Connection::State::kIdle &&
           item.second.endpoint == endpoint;
  });
}

ConnectionId ConnectionPool::Open(Time now,
                                  const ConnectionTarget& target,
                                  int limit) {
  if (!CanOpen(now, target.endpoint, limit))
    return 0;
  if (health_[target.endpoint].connections >= limit) {
    // Closes the least recently used one.
    Connection* oldest = nullptr;
    for (auto& [id, connection] : connections_) {
      if (connection.state != Connection::State::kIdle ||
          connection.endpoint != target.endpoint)
        continue;
      if (oldest == nullptr || connection.state_since < oldest->state_since)
        oldest = &connection;
    }
    if (oldest == nullptr)
      return 0;
    Close(oldest->id);
  }
  const ConnectionId id = next_id_++;
  Connection& connection = connections_[id];
  connection.id = id;
  connection.endpoint = target.endpoint;
  connection.group = target.group;
  connection.customer = target.customer;
  connection.state_since = now;
  ++health_[target.endpoint].connections;
  ++health_[target.endpoint].opening_connections;
  hooks_.open(id, target);
  return id;
}

bool ConnectionPool::IsBecomingIdle(Time now, ConnectionId id) const {
  const auto it = connections_.find(id);
  if (it == connections_.end())
    return false;
  const Connection& connection = it->second;
  return connection.state == Connection::State::kOpening ||
         (connection.state == Connection::State::kRollingBack &&
          now - connection.state_since < kMaxRollbackWait);
}

void ConnectionPool::OnOpened(Time now, ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr)
    return;
  connection->state = Connection::State::kIdle;
  connection->state_since = now;
  EndpointHealth& health = health_[connection->endpoint];
  health.failures = 0;
  health.open_refusals = 0;
  --health.opening_connections;
}

void ConnectionPool::OnOpenFailed(Time now, ConnectionId id, Outcome outcome) {
  Connection* connection = Find(id);
  if (connection == nullptr)
    return;
  EndpointHealth& health = health_[connection->endpoint];
  if (outcome == Outcome::kTooManyConnections) {
    const int doublings =
        std::min(health.open_refusals, kMaxTooManyConnectionsDoublings);
    ++health.open_refusals;
    health.next_open_at = now + kTooManyConnectionsBackoff * (1 << doublings);
  } else {
    OnFailure(now, connection->endpoint);
  }
  Remove(id);
}

Connection* ConnectionPool::Find(ConnectionId id) {
  const auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : &it->second;
}

void ConnectionPool::Release(Time now, Connection& connection) {
  connection.state = Connection::State::kIdle;
  connection.state_since = now;
  connection.session = 0;
  connection.awaited = false;
  connection.requires_primary = false;
  connection.has_written = false;
}

void ConnectionPool::BeginRollback(Time now, Connection& connection) {
  connection.state = Connection::State::kRollingBack;
  connection.state_since = now;
  connection.session = 0;
}

std::vector<ConnectionId> ConnectionPool::RollbacksDue(Time now) const {
  std::vector<ConnectionId> due;
  for (const auto& [id, connection] : connections_) {
    if (connection.state == Connection::State::kRollingBack &&
        now >= connection.rollback_due)
      due.push_back(id);
  }
  return due;
}

void ConnectionPool::Remove(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end())
    return;
  EndpointHealth& health = health_[it->second.endpoint];
  --health.connections;
  if (it->second.state == Connection::State::kOpening)
    --health.opening_connections;
  connections_.erase(it);
}

void ConnectionPool::Close(ConnectionId id) {
  Remove(id);
  hooks_.close(id);
}

void ConnectionPool::OnLatency(const std::string& endpoint, Duration latency) {
  EndpointHealth& health = health_[endpoint];
  health.failures = 0;
  if (health.window > 0)
    health.window =
        health.window >= kMaxWindow ? 0 : health.window + kWindowIncrease;
  health.latency += (latency - health.latency) / kLatencySmoothingDivisor;
  health.busy_backoff /= 2;
}

void ConnectionPool::OnFailure(Time now, const std::string& endpoint) {
  EndpointHealth& health = health_[endpoint];
  const int doublings = std::min(health.failures, kMaxFailureDoublings);
  if (now < health.avoid_until)
    return;  // One fault breaks several connections: counts once.
  ++health.failures;
  health.avoid_until = now + kFailureBackoff * (1 << doublings);
}

void ConnectionPool::OnPosition(const std::string& endpoint,
                                LogPosition position) {
  EndpointHealth& health = health_[endpoint];
  health.highest_position = std::max(health.highest_position, position);
}

void ConnectionPool::OnBehind(Time now,
                              const std::string& endpoint,
                              LogPosition required) {
  EndpointHealth& health = health_[endpoint];
  if (now >= health.behind_until || required < health.refused_position)
    health.refused_position = required;
  health.behind_until = now + kBehindValidity;
  // A promotion may have rolled back positions that it reported before.
  health.highest_position = LogPosition();
}

bool ConnectionPool::IsBehind(Time now,
                              const std::string& endpoint,
                              LogPosition position) const {
  const auto it = health_.find(endpoint);
  return it != health_.end() && now < it->second.behind_until &&
         !(position < it->second.refused_position) &&
         it->second.highest_position < position;
}

void ConnectionPool::OnBusy(Time now, const std::string& endpoint) {
  EndpointHealth& health = health_[endpoint];
  if (health.window > 0 && health.window < 2 && now >= health.busy_until) {
    health.busy_backoff =
        std::clamp(health.busy_backoff * 2, kMinBusyBackoff, kMaxBusyBackoff);
    // Spread over half of the backoff, so that entries do not retry together.
    const Duration spread =
        now.time_since_epoch() % std::max(Duration(1), health.busy_backoff / 2);
    health.busy_until = now + health.busy_backoff / 2 + spread;
  }
  if (now - health.window_reduced_at < kWindowDecreaseInterval)
    return;
  health.window_reduced_at = now;
  const double used = std::max(1, OutstandingAt(endpoint));
  const double window = health.window == 0 ? used : health.window;
  health.window = std::max(1.0, std::min(window, used) * kWindowDecreaseFactor);
}

bool ConnectionPool::HasCapacity(Time now, const std::string& endpoint) const {
  const auto it = health_.find(endpoint);
  if (it == health_.end())
    return true;
  if (now < it->second.busy_until)
    return false;
  return it->second.window == 0 ||
         OutstandingAt(endpoint) < static_cast<int>(it->second.window);
}

int ConnectionPool::OutstandingAt(const std::string& endpoint) const {
  return static_cast<int>(
      std::ranges::count_if(connections_, [&](const auto& item) {
        return item.second.endpoint == endpoint &&
               !item.second.expected_answers.empty();
      }));
}

Duration ConnectionPool::ExpectedWait(Time now,
                                      const std::string& endpoint) const {
  const auto it = health_.find(endpoint);
  if (it == health_.end())
    return Duration::zero();
  Duration oldest{};
  int outstanding = 0;
  for (const auto& [id, connection] : connections_) {
    if (connection.endpoint != endpoint || connection.expected_answers.empty())
      continue;
    ++outstanding;
    oldest = std::max(
        oldest, now - connection.expected_answers.front().processing_since);
  }
  return std::max(it->second.latency, oldest) * (1 + outstanding);
}

bool ConnectionPool::IsAvoided(Time now, const std::string& endpoint) const {
  const auto it = health_.find(endpoint);
  return it != health_.end() && now < it->second.avoid_until;
}

void ConnectionPool::CloseIdle(
    Time now,
    const std::function<bool(const std::string&)>& unwanted,
    const std::function<int(const std::string&)>& kept) {
  std::vector<ConnectionId> closing;
  std::map<std::string, int> closing_at;
  for (const auto& [id, connection] : connections_) {
    if (connection.state != Connection::State::kIdle)
      continue;
    const bool busy = health_.at(connection.endpoint).window > 0;
    const Duration timeout = busy ? kIdleTimeoutWhenBusy : kIdleTimeout;
    const Duration idle = now - connection.state_since;
    if (idle < timeout && !unwanted(connection.endpoint))
      continue;
    int& closed = closing_at[connection.endpoint];
    const bool is_kept = idle < kKeptIdleTimeout &&
                         health_.at(connection.endpoint).connections - closed <=
                             kept(connection.endpoint);
    if (is_kept && !unwanted(connection.endpoint))
      continue;
    ++closed;
    closing.push_back(id);
  }
  for (const ConnectionId id : closing)
    Close(id);
}

std::vector<ConnectionId> ConnectionPool::UnansweredSince(Time oldest) const {
  std::vector<ConnectionId> stuck;
  for (const auto& [id, connection] : connections_) {
    if (connection.session != 0 || connection.expected_answers.empty() ||
        connection.expected_answers.front().processing_since >= oldest)
      continue;
    stuck.push_back(id);
  }
  return stuck;
}

std::vector<ConnectionId> ConnectionPool::OpeningSince(Time oldest) const {
  std::vector<ConnectionId> stuck;
  for (const auto& [id, connection] : connections_) {
    if (connection.state == Connection::State::kOpening &&
        connection.state_since <= oldest)
      stuck.push_back(id);
  }
  return stuck;
}

}  // namespace goldcrest::statements
