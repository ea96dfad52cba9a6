#include "goldcrest/statements/connection_pool.h"

#include <algorithm>
#include <chrono>

namespace goldcrest::statements {
namespace {

// Pause after a refusal for too many connections, doubled with each one in a
// row: long enough for another entry to give up an idle one. Each attempt costs
// the endpoint some milliseconds of a slot, refused or not.
constexpr Duration kTooManyPause = std::chrono::milliseconds(40);
constexpr int kMaxTooManyDoublings = 4;

// Connections that an entry opens to one endpoint at a time. Without a bound,
// a full endpoint spends its slots on refusing connections.
constexpr int kMaxOpening = 2;

// An endpoint that can't be reached is tried again after this, doubled with
// each failure in a row.
constexpr Duration kFailurePause = std::chrono::milliseconds(100);
constexpr int kMaxFailureDoublings = 3;

// An idle connection is given up soon: another entry or another customer may
// need the place, and after a power loss an endpoint counts dead connections
// for seconds. An endpoint that is short of slots is spared the cost of new
// ones.
constexpr Duration kIdleKept = std::chrono::milliseconds(200);
constexpr Duration kIdleKeptWhenBusy = std::chrono::milliseconds(1500);

// An endpoint whose log was behind is asked for other reads again after this.
constexpr Duration kBehindPause = std::chrono::milliseconds(200);

// Statements at a time to one endpoint: narrowed after a refusal for want of
// room, at most once in a while, and widened with each answer.
constexpr double kNarrowFactor = 0.7;
constexpr Duration kNarrowInterval = std::chrono::milliseconds(60);
constexpr double kWiden = 0.15;
constexpr double kWidestWindow = 24;

// Pause after a refusal at the narrowest window, doubled with each one and
// halved with each answer: dozens of entries with one statement each are still
// too many for a few slots, and each attempt costs bytes between zones.
constexpr Duration kShortestBusyPause = std::chrono::milliseconds(20);
constexpr Duration kLongestBusyPause = std::chrono::milliseconds(160);

// Weight of the newest latency: 1 / kLatencyWeight.
constexpr int kLatencyWeight = 5;

}  // namespace

ConnectionPool::ConnectionPool(ConnectionPoolHooks hooks)
    : hooks_(std::move(hooks)) {}

Connection* ConnectionPool::Take(Time now,
                                 const std::string& endpoint,
                                 const std::string& customer,
                                 SessionId session) {
  // The one used last: the others may be given up.
  Connection* best = nullptr;
  for (auto& [id, connection] : connections_) {
    if (connection.state != Connection::State::kIdle ||
        connection.endpoint != endpoint || connection.customer != customer)
      continue;
    if (best == nullptr || connection.since > best->since)
      best = &connection;
  }
  if (best == nullptr)
    return nullptr;
  best->state = Connection::State::kBusy;
  best->since = now;
  best->session = session;
  return best;
}

bool ConnectionPool::HasIdle(const std::string& endpoint,
                             const std::string& customer) const {
  return std::ranges::any_of(connections_, [&](const auto& item) {
    return item.second.state == Connection::State::kIdle &&
           item.second.endpoint == endpoint && item.second.customer == customer;
  });
}

bool ConnectionPool::MayOpen(Time now,
                             const std::string& endpoint,
                             int limit) const {
  const auto it = health_.find(endpoint);
  if (it == health_.end())
    return true;
  if (now < it->second.open_after || now < it->second.avoid_until ||
      it->second.opening >= kMaxOpening)
    return false;
  if (it->second.count < limit)
    return true;
  return std::ranges::any_of(connections_, [&](const auto& item) {
    return item.second.state == Connection::State::kIdle &&
           item.second.endpoint == endpoint && item.second.expected.empty();
  });
}

ConnectionId ConnectionPool::Open(Time now,
                                  const ConnectionTarget& target,
                                  int limit) {
  if (!MayOpen(now, target.endpoint, limit))
    return 0;
  if (health_[target.endpoint].count >= limit) {
    // The least recently used one goes.
    Connection* oldest = nullptr;
    for (auto& [id, connection] : connections_) {
      if (connection.state != Connection::State::kIdle ||
          connection.endpoint != target.endpoint)
        continue;
      if (oldest == nullptr || connection.since < oldest->since)
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
  connection.since = now;
  ++health_[target.endpoint].count;
  ++health_[target.endpoint].opening;
  hooks_.open(id, target);
  return id;
}

bool ConnectionPool::IsOpening(ConnectionId id) const {
  const auto it = connections_.find(id);
  return it != connections_.end() &&
         it->second.state == Connection::State::kOpening;
}

void ConnectionPool::OnOpened(Time now, ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr)
    return;
  connection->state = Connection::State::kIdle;
  connection->since = now;
  Health& health = health_[connection->endpoint];
  health.failures = 0;
  health.refusals = 0;
  --health.opening;
}

void ConnectionPool::OnOpenFailed(Time now, ConnectionId id, Outcome outcome) {
  Connection* connection = Find(id);
  if (connection == nullptr)
    return;
  Health& health = health_[connection->endpoint];
  if (outcome == Outcome::kTooManyConnections) {
    const int doublings = std::min(health.refusals, kMaxTooManyDoublings);
    ++health.refusals;
    health.open_after = now + kTooManyPause * (1 << doublings);
  } else {
    OnFailure(now, connection->endpoint);
  }
  Forget(id);
}

Connection* ConnectionPool::Find(ConnectionId id) {
  const auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : &it->second;
}

void ConnectionPool::Release(Time now, Connection& connection) {
  connection.state = Connection::State::kIdle;
  connection.since = now;
  connection.session = 0;
  connection.in_transaction = false;
  connection.leads_checked = false;
}

void ConnectionPool::Forget(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end())
    return;
  Health& health = health_[it->second.endpoint];
  --health.count;
  if (it->second.state == Connection::State::kOpening)
    --health.opening;
  connections_.erase(it);
}

void ConnectionPool::Close(ConnectionId id) {
  Forget(id);
  hooks_.close(id);
}

void ConnectionPool::OnLatency(const std::string& endpoint, Duration latency) {
  Health& health = health_[endpoint];
  health.failures = 0;
  if (health.window > 0)
    health.window = health.window >= kWidestWindow ? 0 : health.window + kWiden;
  health.latency += (latency - health.latency) / kLatencyWeight;
  health.busy_pause /= 2;
}

void ConnectionPool::OnFailure(Time now, const std::string& endpoint) {
  Health& health = health_[endpoint];
  const int doublings = std::min(health.failures, kMaxFailureDoublings);
  if (now < health.avoid_until)
    return;  // One fault breaks several connections at once.
  ++health.failures;
  health.avoid_until = now + kFailurePause * (1 << doublings);
}

void ConnectionPool::OnPosition(const std::string& endpoint,
                                LogPosition position) {
  Health& health = health_[endpoint];
  health.seen = std::max(health.seen, position);
}

void ConnectionPool::OnBehind(Time now,
                              const std::string& endpoint,
                              LogPosition asked) {
  Health& health = health_[endpoint];
  if (now >= health.behind_until || asked < health.behind)
    health.behind = asked;
  health.behind_until = now + kBehindPause;
  // A promotion may have taken back what it had.
  health.seen = LogPosition();
}

bool ConnectionPool::IsBehind(Time now,
                              const std::string& endpoint,
                              LogPosition position) const {
  const auto it = health_.find(endpoint);
  return it != health_.end() && now < it->second.behind_until &&
         !(position < it->second.behind) && it->second.seen < position;
}

void ConnectionPool::OnBusy(Time now, const std::string& endpoint) {
  Health& health = health_[endpoint];
  if (health.window > 0 && health.window < 2 && now >= health.busy_until) {
    health.busy_pause = std::clamp(health.busy_pause * 2, kShortestBusyPause,
                                   kLongestBusyPause);
    // Spread over half of the pause, so that entries do not return together.
    const Duration spread =
        now.time_since_epoch() % std::max(Duration(1), health.busy_pause / 2);
    health.busy_until = now + health.busy_pause / 2 + spread;
  }
  if (now - health.narrowed_at < kNarrowInterval)
    return;
  health.narrowed_at = now;
  const double used = std::max(1, OutstandingAt(endpoint));
  const double window = health.window == 0 ? used : health.window;
  health.window = std::max(1.0, std::min(window, used) * kNarrowFactor);
}

bool ConnectionPool::HasRoom(Time now, const std::string& endpoint) const {
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
               !item.second.expected.empty();
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
    if (connection.endpoint != endpoint || connection.expected.empty())
      continue;
    ++outstanding;
    oldest =
        std::max(oldest, now - connection.expected.front().worked_on_since);
  }
  return std::max(it->second.latency, oldest) * (1 + outstanding);
}

bool ConnectionPool::IsAvoided(Time now, const std::string& endpoint) const {
  const auto it = health_.find(endpoint);
  return it != health_.end() && now < it->second.avoid_until;
}

void ConnectionPool::CloseIdle(
    Time now,
    const std::function<bool(const std::string&)>& unwanted) {
  std::vector<ConnectionId> closing;
  for (const auto& [id, connection] : connections_) {
    if (connection.state != Connection::State::kIdle)
      continue;
    const bool busy = health_.at(connection.endpoint).window > 0;
    const Duration kept = busy ? kIdleKeptWhenBusy : kIdleKept;
    if (now - connection.since >= kept || unwanted(connection.endpoint))
      closing.push_back(id);
  }
  for (const ConnectionId id : closing)
    Close(id);
}

std::vector<ConnectionId> ConnectionPool::Stuck(Time oldest) const {
  std::vector<ConnectionId> stuck;
  for (const auto& [id, connection] : connections_) {
    if (connection.session != 0 || connection.expected.empty() ||
        connection.expected.front().worked_on_since >= oldest)
      continue;
    stuck.push_back(id);
  }
  return stuck;
}

}  // namespace goldcrest::statements
