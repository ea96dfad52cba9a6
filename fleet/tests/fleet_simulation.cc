#include "fleet_simulation.h"

#include <algorithm>
#include <array>
#include <chrono>

#include "goldcrest/consensus/output.h"

namespace goldcrest::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = ConfigurationResult::Kind;

constexpr Duration kStep = milliseconds(5);
constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kCheckInterval = milliseconds(50);
constexpr Duration kHeartbeatInterval = milliseconds(1'200);
constexpr Duration kSyncTime = milliseconds(1);
constexpr Duration kSlowSyncTime = milliseconds(30);
// The platform starts a process that ended by itself after this time.
constexpr Duration kRestartDelay = milliseconds(600);
constexpr Duration kDrainTime = milliseconds(600);
constexpr Duration kOperatorTimeout = milliseconds(1'000);
constexpr std::size_t kBootstrapMembers = 3;
constexpr const char* kGroup = "g";
constexpr const char* kEndpoint = "e1";

void Persist(consensus::RestoredState& disk, const consensus::LogWrite& write) {
  if (const auto* state = std::get_if<consensus::HardState>(&write)) {
    disk.hard_state = *state;
  } else if (const auto* truncate =
                 std::get_if<consensus::TruncateLog>(&write)) {
    std::erase_if(disk.entries, [&](const messages::LogEntry& entry) {
      return entry.index >= truncate->index;
    });
  } else if (const auto* add = std::get_if<consensus::AppendEntries>(&write)) {
    disk.entries.insert(disk.entries.end(), add->entries.begin(),
                        add->entries.end());
  } else if (const auto* save = std::get_if<consensus::SaveSnapshot>(&write)) {
    disk.snapshot = save->snapshot;
    std::erase_if(disk.entries, [&](const messages::LogEntry& entry) {
      return entry.index <= save->snapshot.last_index;
    });
  }
}

std::string RouteName(std::int64_t version) {
  return "d" + std::to_string(version);
}

std::string ToText(Duration duration) {
  return std::to_string(
             std::chrono::duration_cast<milliseconds>(duration).count()) +
         " ms";
}

}  // namespace

struct FleetSimulation::ControllerNode {
  std::string name;
  std::unique_ptr<Controller> core;  // null while the process is stopped
  consensus::RestoredState disk;
  // The disk's contents if power is lost before `durable_at`.
  consensus::RestoredState before_write;
  Time durable_at;
  Time disk_full_until;
  Time disk_stalled_until;
  Time disk_slow_until;
  std::uint64_t process = 0;  // changes with each start
  bool first_start = true;
  bool draining = false;
  bool removed = false;
  // Lost by a fault, or catching up, until this time.
  Time lost_until;
};

struct FleetSimulation::EntryNode {
  std::string name;
  std::unique_ptr<statements::StatementProxy> proxy;
  std::unique_ptr<statements::ControllerClient> controllers;
  std::uint64_t process = 0;
  Time disturbed_at;
  // By session: the answer, once there is one.
  std::map<statements::SessionId, statements::Answer> answers;
  std::map<statements::SessionId, std::function<void(bool)>> waiting;
  bool stopped = false;
};

struct FleetSimulation::PendingChange {
  Time sent_at;
  int attempt = 0;
  bool answered = false;  // the current attempt
};

FleetSimulation::FleetSimulation(SimulationOptions options)
    : options_(options),
      generator_(options.seed),
      network_(
          std::mt19937_64(options.seed + 1),
          {[this](const std::string& from,
                  const std::string& to,
                  const messages::PeerMessage& message) {
             Deliver(from, to, message);
           },
           [this](const std::string& at, const std::string& peer, bool up) {
             OnLink(at, peer, up);
           },
           [this](const std::string& name) { return IsRunning(name); }}) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(options_.controllers));
  for (int i = 0; i < options_.controllers; ++i)
    names.push_back(AddController());
  for (std::size_t i = 0; i < names.size() && i < kBootstrapMembers; ++i)
    seeds_.insert(names[i]);
  for (int i = 0; i < options_.entries; ++i) {
    auto node = std::make_unique<EntryNode>();
    node->name = EntryName(i);
    entries_[node->name] = std::move(node);
  }
  next_tick_ = next_check_ = next_heartbeat_ = network_.Now();
}

FleetSimulation::~FleetSimulation() = default;

std::string FleetSimulation::EntryName(int entry) const {
  return "entry" + std::to_string(entry);
}

void FleetSimulation::Start() {
  for (const auto& [name, node] : controllers_)
    StartController(name);
  for (const auto& [name, node] : entries_)
    StartEntry(name);
  Run(seconds(2));
  const std::int64_t version = Change();
  Run(seconds(8));
  if (!Acknowledged(version))
    Violate("the first configuration is not acknowledged");
}

// Processes

bool FleetSimulation::IsRunning(const std::string& name) const {
  const auto controller = controllers_.find(name);
  if (controller != controllers_.end())
    return controller->second->core != nullptr;
  const auto entry = entries_.find(name);
  return entry != entries_.end() && entry->second->controllers != nullptr;
}

void FleetSimulation::StartController(const std::string& name) {
  ControllerNode& node = *controllers_.at(name);
  if (node.core != nullptr || node.removed)
    return;
  ++node.process;
  node.draining = false;
  ControllerOptions options;
  options.replica = DefaultReplicaOptions();
  options.replica.self = name;
  if (node.first_start && seeds_.contains(name))
    options.replica.bootstrap_members = {seeds_.begin(), seeds_.end()};
  node.first_start = false;
  options.tolerated_losses = options_.tolerated_losses;
  options.seeds = seeds_;
  node.core = std::make_unique<Controller>(network_.Now(), options, node.disk,
                                           std::mt19937_64(generator_()),
                                           MakeControllerHooks(name));
  network_.SetPeers(name, seeds_);
}

ControllerHooks FleetSimulation::MakeControllerHooks(const std::string& name) {
  ControllerNode& node = *controllers_.at(name);
  ControllerHooks hooks;
  hooks.send = [this, name](const std::string& to,
                            const messages::PeerMessage& message) {
    network_.Send(name, to, message);
  };
  hooks.persist = [this, &node](const auto& writes) {
    return Persist(node, writes);
  };
  hooks.decode = [this](const std::string& text) {
    return tables_.at(std::stoll(text));
  };
  hooks.known_controllers = [this, name](const std::set<std::string>& names) {
    network_.SetPeers(name, names);
  };
  hooks.probe = [this, &node](const routing::EndpointDirectory::Entry& entry,
                              ProbePurpose) {
    const std::string endpoint = entry.record.endpoint;
    const Time asked_at = network_.Now();
    network_.After(milliseconds(8), [this, &node, endpoint, asked_at] {
      if (node.core != nullptr && !network_.IsBlocked(node.name))
        node.core->OnProbe(
            network_.Now(), kGroup, endpoint,
            {ProbeResult::Kind::kLeads, 1, ++sequence_, asked_at});
    });
  };
  hooks.promote = [](const messages::PrimaryAssignment&) {};
  hooks.log_decision = [this, name](const std::string& event,
                                    const std::string& subject,
                                    const std::string& cause) {
    if (event != "link_up" && event != "link_down" &&
        event != "endpoint_changed")
      Log(name + " " + event + " " + subject + " " + cause);
  };
  return hooks;
}

// Returns when the writes are durable, by blocking the process, unless power is
// lost before.
bool FleetSimulation::Persist(ControllerNode& node,
                              const std::vector<consensus::LogWrite>& writes) {
  const Time now = network_.Now();
  if (now < node.disk_full_until)
    return false;
  if (node.durable_at <= now)
    node.before_write = node.disk;
  node.disk.fresh = false;
  for (const consensus::LogWrite& write : writes)
    fleet::Persist(node.disk, write);
  const Duration sync_time =
      now < node.disk_slow_until ? kSlowSyncTime : kSyncTime;
  node.durable_at =
      std::max({now, node.durable_at, node.disk_stalled_until}) + sync_time;
  network_.Block(node.name, node.durable_at);
  return true;
}

void FleetSimulation::StartEntry(const std::string& name) {
  EntryNode& node = *entries_.at(name);
  if (node.controllers != nullptr)
    return;
  ++node.process;
  MakeEntryCore(node);
  network_.SetPeers(name, node.controllers->KnownControllers());
}

void FleetSimulation::MakeEntryCore(EntryNode& node) {
  const std::uint64_t process = node.process;
  const auto is_current = [&node, process] {
    return node.process == process && node.proxy != nullptr;
  };
  statements::ProxyHooks hooks;
  hooks.answer = [&node](statements::SessionId id,
                         const statements::Answer& answer) {
    node.answers[id] = answer;
    const auto it = node.waiting.find(id);
    if (it == node.waiting.end() ||
        answer.outcome == statements::Outcome::kDone)
      return;
    const auto done = it->second;
    node.waiting.erase(it);
    done(false);
  };
  hooks.close_session = [](statements::SessionId) {};
  hooks.open = [this, &node, is_current](statements::ConnectionId id,
                                         const statements::ConnectionTarget&) {
    network_.After(milliseconds(12), [this, &node, is_current, id] {
      if (is_current())
        node.proxy->OnOpened(network_.Now(), id);
    });
  };
  hooks.send = [this, &node, is_current](
                   statements::ConnectionId id,
                   const std::vector<statements::EndpointCommand>& commands) {
    for ([[maybe_unused]] const auto& command : commands) {
      network_.After(milliseconds(4), [this, &node, is_current, id] {
        if (!is_current())
          return;
        statements::Answer answer;
        answer.signature = "signature";
        answer.position = statements::LogPosition{1, ++sequence_};
        node.proxy->OnAnswer(network_.Now(), id, answer);
      });
    }
  };
  hooks.close = [](statements::ConnectionId) {};
  hooks.log_decision = [](const statements::Decision&) {};
  hooks.completed = [](const routing::Route&, statements::Outcome, Duration) {};
  statements::ProxyOptions options;
  options.zone = "z1";
  options.max_configuration_age = options_.configuration_bound / 2;
  node.proxy = std::make_unique<statements::StatementProxy>(options, hooks);

  statements::ControllerClientHooks client;
  client.send = [this, &node](const std::string& to,
                              const messages::PeerMessage& message) {
    network_.Send(node.name, to, message);
  };
  client.decode = [this](std::string_view document) {
    return tables_.at(std::stoll(std::string(document)));
  };
  client.known_controllers = [this, &node](const std::set<std::string>& names) {
    network_.SetPeers(node.name, names);
  };
  client.log_decision = [this, &node](std::string_view event,
                                      const std::string& controller,
                                      const std::string& cause) {
    Log(node.name + " " + std::string(event) + " " + controller + " " + cause);
  };
  node.controllers = std::make_unique<statements::ControllerClient>(
      network_.Now(), static_cast<std::int64_t>(generator_() >> 2U), seeds_,
      *node.proxy, client);
}

void FleetSimulation::StopProcess(const std::string& name) {
  const auto controller = controllers_.find(name);
  if (controller != controllers_.end()) {
    controller->second->core.reset();
    return;
  }
  EntryNode& node = *entries_.at(name);
  node.controllers.reset();
  node.proxy.reset();
  node.answers.clear();
  for (const auto& [id, done] : std::exchange(node.waiting, {}))
    done(false);
}

void FleetSimulation::TickProcesses() {
  const Time now = network_.Now();
  for (const auto& [name, node] : controllers_) {
    if (node->core == nullptr || network_.IsBlocked(name))
      continue;
    node->core->Tick(now);
    if (!node->core->HasFailed())
      continue;
    Log(name + " ends: its disk refuses writes");
    StopProcess(name);
    network_.OnProcessStopped(name, false);
    network_.After(kRestartDelay,
                   [this, name = name] { StartController(name); });
  }
  for (const auto& [name, node] : entries_) {
    if (node->controllers == nullptr || network_.IsBlocked(name))
      continue;
    node->proxy->Tick(now);
    node->controllers->Tick(now);
  }
}

void FleetSimulation::Run(Duration duration) {
  for (const Time end = network_.Now() + duration; network_.Now() < end;) {
    network_.RunUntil(network_.Now() + kStep);
    const Time now = network_.Now();
    if (now >= next_tick_) {
      next_tick_ = now + kTickInterval;
      network_.Maintain();
      TickProcesses();
    }
    if (now >= next_check_) {
      next_check_ = now + kCheckInterval;
      CheckEntries();
      CheckRead();
      CheckAcknowledgments();
    }
    if (now < next_heartbeat_)
      continue;
    next_heartbeat_ = now + kHeartbeatInterval;
    messages::EndpointRecord record;
    record.endpoint = kEndpoint;
    record.group = kGroup;
    record.address = "10.0.0.1:1";
    record.zone = "z1";
    record.primary = true;
    record.sequence = ++sequence_;
    const auto live = LiveControllers();
    if (!live.empty())
      controllers_.at(Pick(live))->core->OnHeartbeat(now, record);
  }
}

void FleetSimulation::Deliver(const std::string& from,
                              const std::string& to,
                              const messages::PeerMessage& message) {
  const Time now = network_.Now();
  const auto controller = controllers_.find(to);
  if (controller != controllers_.end())
    return controller->second->core->OnMessage(now, from, message);
  if (message.__isset.proxy_update)
    entries_.at(to)->controllers->OnUpdate(now, from, message.proxy_update);
}

void FleetSimulation::OnLink(const std::string& at,
                             const std::string& peer,
                             bool up) {
  const auto controller = controllers_.find(at);
  if (controller != controllers_.end())
    return controller->second->core->OnLink(peer, up);
  entries_.at(at)->controllers->OnLink(network_.Now(), peer, up);
}

// Faults

std::string FleetSimulation::AddController() {
  auto node = std::make_unique<ControllerNode>();
  node->name = "c" + std::to_string(next_controller_++);
  std::string name = node->name;
  controllers_[name] = std::move(node);
  return name;
}

std::string FleetSimulation::AddReplacement() {
  std::string name = AddController();
  controllers_.at(name)->first_start = false;
  Log("fault: " + name + " is added");
  MarkDisturbed(name);
  StartController(name);
  return name;
}

void FleetSimulation::MarkDisturbed(const std::string& name, Time until) {
  Time& disturbed_at = controllers_.contains(name)
                           ? core_disturbed_at_
                           : entries_.at(name)->disturbed_at;
  disturbed_at = std::max({disturbed_at, until, network_.Now()});
}

void FleetSimulation::Kill(const std::string& name,
                           Duration down_for,
                           bool power) {
  const Time now = network_.Now();
  Log("fault: " + name + (power ? " loses power for " : " is killed for ") +
      ToText(down_for));
  MarkDisturbed(name, now + down_for);
  StopProcess(name);
  network_.OnProcessStopped(name, power);
  const auto it = controllers_.find(name);
  if (it != controllers_.end()) {
    ControllerNode& node = *it->second;
    if (power && now < node.durable_at && Random(0, 1) == 0)
      node.disk = node.before_write;
    node.durable_at = now;
    node.lost_until =
        std::max(node.lost_until, now + down_for + options_.catch_up);
  }
  network_.After(down_for, [this, name] {
    if (controllers_.contains(name))
      StartController(name);
    else
      StartEntry(name);
  });
}

void FleetSimulation::Wipe(const std::string& name, Duration down_for) {
  Kill(name, down_for, true);
  Log("fault: " + name + " loses its disk");
  controllers_.at(name)->disk = {};
}

void FleetSimulation::Remove(const std::string& name, bool planned) {
  ControllerNode& node = *controllers_.at(name);
  Log("fault: " + name + " is removed" + (planned ? " as planned" : ""));
  MarkDisturbed(name);
  if (planned && node.core != nullptr) {
    // Until it has stopped, no other one fails.
    node.lost_until =
        std::max(node.lost_until, network_.Now() + kDrainTime + kTickInterval);
    node.draining = true;
    node.core->BeginDrain(network_.Now());
  }
  network_.After(planned ? kDrainTime : Duration(), [this, name] {
    MarkDisturbed(name);
    controllers_.at(name)->removed = true;
    StopProcess(name);
    network_.OnProcessStopped(name, true);
  });
}

void FleetSimulation::FillDisk(const std::string& name, Duration duration) {
  const Time end = network_.Now() + duration;
  Log("fault: the disk of " + name + " is full for " + ToText(duration));
  ControllerNode& node = *controllers_.at(name);
  node.disk_full_until = end;
  node.lost_until = std::max(node.lost_until, end + options_.catch_up);
}

void FleetSimulation::StallDisk(const std::string& name, Duration duration) {
  const Time end = network_.Now() + duration;
  Log("fault: the disk of " + name + " stalls for " + ToText(duration));
  ControllerNode& node = *controllers_.at(name);
  node.disk_stalled_until = end;
  node.lost_until = std::max(node.lost_until, end + options_.catch_up);
}

void FleetSimulation::Cut(const std::string& name,
                          const std::set<std::string>& from,
                          Duration duration) {
  const Time end = network_.Now() + duration;
  Log("fault: " + name + " is cut off from " + std::to_string(from.size()) +
      " for " + ToText(duration));
  for (const std::string& other : from)
    network_.Cut(name, other, end);
  MarkDisturbed(name, end);
  const auto it = controllers_.find(name);
  if (it != controllers_.end())
    it->second->lost_until =
        std::max(it->second->lost_until, end + options_.catch_up);
}

std::vector<std::string> FleetSimulation::LiveControllers() const {
  std::vector<std::string> live;
  for (const auto& [name, node] : controllers_) {
    if (node->core != nullptr && !network_.IsBlocked(name))
      live.push_back(name);
  }
  return live;
}

std::string FleetSimulation::Leader() const {
  for (const auto& [name, node] : controllers_) {
    if (node->core != nullptr &&
        node->core->Get(network_.Now()).kind == Kind::kDone)
      return name;
  }
  return "";
}

int FleetSimulation::LostControllers() const {
  return static_cast<int>(
      std::ranges::count_if(controllers_, [this](const auto& item) {
        return network_.Now() < item.second->lost_until;
      }));
}

std::vector<std::string> FleetSimulation::HealthyControllers() const {
  std::vector<std::string> healthy;
  for (const auto& [name, node] : controllers_) {
    if (node->core != nullptr && !node->removed && !node->draining &&
        network_.Now() >= node->lost_until)
      healthy.push_back(name);
  }
  return healthy;
}

// Operators

std::int64_t FleetSimulation::Change() {
  const std::int64_t version = next_version_;
  next_version_ += Random(1, 3);
  auto table = std::make_shared<routing::RoutingTable>();
  if (!tables_.empty())
    *table = *tables_.rbegin()->second;
  table->version = version;
  routing::Route route;
  route.name = route.database = RouteName(version);
  route.group = kGroup;
  route.statement_timeout = milliseconds(1'000);
  route.target_latency = milliseconds(400);
  table->routes[route.database] = route;
  table->groups[kGroup] = {kGroup, 100, 0};
  table->customers = {{"customer", {"key"}, 1'000, 1'000}};
  table->keys = {{"key", 0}};
  tables_[version] = table;
  changes_[version].sent_at = network_.Now();
  SendChange(version);
  return version;
}

bool FleetSimulation::Acknowledged(std::int64_t version) const {
  return acknowledged_.contains(version);
}

void FleetSimulation::SendChange(std::int64_t version) {
  const auto it = changes_.find(version);
  if (it == changes_.end())
    return;
  const int attempt = ++it->second.attempt;
  it->second.answered = false;
  std::vector<std::string> names;
  for (const auto& [name, node] : controllers_) {
    if (!node->removed)
      names.push_back(name);
  }
  SendChangeTo(version, Pick(names), 0);
  network_.After(kOperatorTimeout, [this, version, attempt] {
    const auto change = changes_.find(version);
    if (change != changes_.end() && change->second.attempt == attempt &&
        !change->second.answered)
      SendChange(version);
  });
}

void FleetSimulation::SendChangeTo(std::int64_t version,
                                   const std::string& controller,
                                   int redirects) {
  network_.After(
      RandomMilliseconds(1, 4), [this, version, controller, redirects] {
        const auto it = controllers_.find(controller);
        if (it == controllers_.end() || it->second->core == nullptr ||
            network_.IsBlocked(controller))
          return;
        ControllerNode& node = *it->second;
        node.core->Put(
            network_.Now(), version, std::to_string(version),
            [this, version, redirects, &node,
             process = node.process](const ConfigurationResult& result) {
              // The answer leaves once the process no longer waits for its
              // disk.
              network_.At(
                  std::max(network_.Now(), node.durable_at) + milliseconds(2),
                  [this, version, redirects, &node, process, result] {
                    if (node.core != nullptr && node.process == process)
                      OnChangeAnswered(version, result, redirects);
                  });
            });
      });
}

void FleetSimulation::OnChangeAnswered(std::int64_t version,
                                       const ConfigurationResult& result,
                                       int redirects) {
  const auto it = changes_.find(version);
  if (it == changes_.end())
    return;
  if (result.kind == Kind::kDone) {
    acknowledged_[version] = network_.Now();
    changes_.erase(it);
    return;
  }
  if (result.kind == Kind::kNotLeader && redirects < 2)
    return SendChangeTo(version, result.leader, redirects + 1);
  it->second.answered = true;
  network_.After(RandomMilliseconds(100, 400),
                 [this, version] { SendChange(version); });
}

std::int64_t FleetSimulation::NewestAcknowledged(Time before) const {
  std::int64_t newest = 0;
  for (const auto& [version, time] : acknowledged_) {
    if (time <= before)
      newest = std::max(newest, version);
  }
  return newest;
}

// Promises

void FleetSimulation::CheckEntries() {
  const Time now = network_.Now();
  const std::int64_t due =
      NewestAcknowledged(now - options_.configuration_bound);
  if (due == 0)
    return;
  for (const auto& [name, node] : entries_) {
    if (node->controllers == nullptr || network_.IsBlocked(name) ||
        node->proxy->Version() == 0)
      continue;
    const statements::SessionId session = next_session_++;
    node->proxy->OnSessionStart(now, session, RouteName(due), "key");
    if (node->answers[session].outcome == statements::Outcome::kUnknownDatabase)
      Violate(name + " refuses a route of version " + std::to_string(due) +
              ", which was acknowledged " +
              ToText(now - acknowledged_.at(due)) + " before; it has " +
              std::to_string(node->proxy->Version()));
    node->proxy->OnSessionClosed(now, session);
    node->answers.erase(session);
    const bool in_touch = now - node->disturbed_at >= options_.contact_window &&
                          now - core_disturbed_at_ >= options_.contact_window;
    if (in_touch && node->proxy->Version() < due)
      Violate(name + " has version " + std::to_string(node->proxy->Version()) +
              "; " + std::to_string(due) + " was acknowledged " +
              ToText(now - acknowledged_.at(due)) + " before");
  }
}

void FleetSimulation::CheckRead() {
  const auto live = LiveControllers();
  if (live.empty())
    return;
  const std::string name = Pick(live);
  const ConfigurationResult result =
      controllers_.at(name)->core->Get(network_.Now());
  const std::int64_t newest = NewestAcknowledged(network_.Now());
  if (result.kind == Kind::kDone &&
      (result.text.empty() ? 0 : std::stoll(result.text)) < newest)
    Violate(name + " returns version " + result.text + "; " +
            std::to_string(newest) + " was acknowledged");
}

void FleetSimulation::CheckAcknowledgments() {
  const Time now = network_.Now();
  for (auto& [version, change] : changes_) {
    const Time since =
        std::max(change.sent_at, core_disturbed_at_ + options_.contact_window);
    if (now - since < options_.acknowledgment_bound)
      continue;
    Violate("version " + std::to_string(version) + " is not acknowledged " +
            ToText(now - since) + " after the fleet was whole");
    change.sent_at = now;
  }
}

std::int64_t FleetSimulation::EntryVersion(int entry) const {
  const EntryNode& node = *entries_.at(EntryName(entry));
  return node.proxy == nullptr ? 0 : node.proxy->Version();
}

statements::Outcome FleetSimulation::OpenSession(int entry,
                                                 std::int64_t version) {
  EntryNode& node = *entries_.at(EntryName(entry));
  const statements::SessionId session = next_session_++;
  node.proxy->OnSessionStart(network_.Now(), session, RouteName(version),
                             "key");
  const statements::Outcome outcome = node.answers[session].outcome;
  node.proxy->OnSessionClosed(network_.Now(), session);
  return outcome;
}

void FleetSimulation::RequestWrite(int entry,
                                   const std::function<void(bool)>& done) {
  EntryNode& node = *entries_.at(EntryName(entry));
  if (node.proxy == nullptr)
    return done(false);
  const Time now = network_.Now();
  const statements::SessionId session = next_session_++;
  node.waiting[session] = done;
  node.proxy->OnSessionStart(now, session, RouteName(tables_.begin()->first),
                             "key");
  if (!node.waiting.contains(session))
    return;
  statements::Statement statement;
  statement.kind = statements::StatementKind::kWrite;
  statement.id = "w" + std::to_string(session);
  statement.text = "WRITE a b";
  statement.writes = true;
  node.answers.erase(session);
  node.proxy->OnStatement(now, session, statement);
  network_.After(
      milliseconds(400), [this, &node, session, process = node.process] {
        const auto it = node.waiting.find(session);
        if (it == node.waiting.end() || node.process != process)
          return;
        const auto finished = it->second;
        node.waiting.erase(it);
        const auto answer = node.answers.find(session);
        finished(answer != node.answers.end() &&
                 answer->second.outcome == statements::Outcome::kDone);
        node.proxy->OnSessionClosed(network_.Now(), session);
      });
}

// The course of a run

void FleetSimulation::PlayFault() {
  const std::vector<std::string> healthy = HealthyControllers();
  const bool may_lose =
      LostControllers() < options_.tolerated_losses && !healthy.empty();
  const std::string entry = EntryName(Random(0, options_.entries - 1));
  switch (Random(0, 15)) {
    case 0:
      return Kill(entry, RandomMilliseconds(300, 1'000), Random(0, 1) == 0);
    case 1:
      if (may_lose)
        Kill(Pick(healthy), RandomMilliseconds(300, 2'000), Random(0, 1) == 0);
      return;
    case 2:
      for (const std::string& name : LiveControllers())
        Kill(name, RandomMilliseconds(200, 900), false);
      return;
    case 3:
      if (may_lose)
        StallDisk(Pick(healthy), RandomMilliseconds(300, 5'000));
      return;
    case 4: {
      if (!may_lose)
        return;
      ControllerNode& node = *controllers_.at(Pick(healthy));
      node.disk_slow_until = network_.Now() + RandomMilliseconds(2'000, 8'000);
      node.lost_until = node.disk_slow_until + options_.catch_up;
      return Log("fault: the disk of " + node.name + " is slow");
    }
    case 5:
      if (may_lose)
        FillDisk(Pick(healthy), RandomMilliseconds(300, 4'000));
      return;
    case 6:
      if (may_lose)
        Wipe(Pick(healthy), RandomMilliseconds(300, 2'000));
      return;
    case 7: {
      if (!may_lose)
        return;
      const std::string name = Pick(healthy);
      const bool planned = Random(0, 1) == 0;
      const Duration start_delay = milliseconds(planned ? 0 : 1'000);
      const Time caught_up = network_.Now() + start_delay + options_.catch_up;
      controllers_.at(name)->lost_until = caught_up;
      network_.After(start_delay, [this] { AddReplacement(); });
      network_.After(planned ? options_.catch_up : Duration(),
                     [this, name, planned] { Remove(name, planned); });
      return;
    }
    case 8: {
      if (!may_lose)
        return;
      const std::string name = Pick(healthy);
      std::set<std::string> others;
      for (const auto& [other, node] : controllers_)
        others.insert(other);
      if (Random(0, 1) == 0) {
        for (const auto& [other, node] : entries_)
          others.insert(other);
      }
      others.erase(name);
      return Cut(name, others, RandomMilliseconds(500, 5'000));
    }
    case 9: {
      // From one controller, or from all.
      std::set<std::string> others;
      if (Random(0, 1) == 0 && !healthy.empty()) {
        others.insert(Pick(healthy));
      } else {
        for (const auto& [name, node] : controllers_)
          others.insert(name);
      }
      return Cut(entry, others, RandomMilliseconds(500, 6'000));
    }
    case 10:
      Log("fault: the links of " + entry + " turn silent");
      MarkDisturbed(entry);
      return network_.Silence(entry);
    case 11: {
      if (!may_lose)
        return;
      ControllerNode& node = *controllers_.at(Pick(healthy));
      Log("fault: " + node.name + " is stopped as planned");
      MarkDisturbed(node.name);
      node.draining = true;
      node.lost_until =
          network_.Now() + milliseconds(1'600) + options_.catch_up;
      node.core->BeginDrain(network_.Now());
      network_.After(kDrainTime, [this, name = node.name] {
        if (!controllers_.at(name)->removed)
          Kill(name, milliseconds(500), false);
      });
      return;
    }
    case 12: {
      if (!may_lose)
        return;
      const std::string name = Pick(healthy);
      const Time end = network_.Now() + RandomMilliseconds(300, 4'000);
      Log("fault: " + name + " is frozen for " + ToText(end - network_.Now()));
      MarkDisturbed(name, end);
      network_.Block(name, end);
      controllers_.at(name)->lost_until = end + options_.catch_up;
      return;
    }
    case 13: {
      const Time end = network_.Now() + RandomMilliseconds(300, 4'000);
      Log("fault: " + entry + " is frozen for " + ToText(end - network_.Now()));
      MarkDisturbed(entry, end);
      return network_.Block(entry, end);
    }
    case 14:
      for (int i = Random(4, 8); i > 0; --i)
        network_.After(milliseconds(100) * i, [this] { Change(); });
      return;
    default:
      Change();
  }
}

void FleetSimulation::PlayLastFault() {
  const std::int64_t version = Change();
  for (int i = 0; i < 200 && !Acknowledged(version); ++i)
    Run(milliseconds(5));
  Run(RandomMilliseconds(0, 400));
  const Duration down_for = RandomMilliseconds(500, 1'500);
  const int variant = Random(0, 2);
  std::vector<std::string> healthy = HealthyControllers();
  const int spare = options_.tolerated_losses - LostControllers();
  Log("fault: the last one, variant " + std::to_string(variant));
  std::set<std::string> wiped;
  std::ranges::shuffle(healthy, generator_);
  if (variant == 2) {
    for (int i = 0; i < spare && i < static_cast<int>(healthy.size()); ++i)
      wiped.insert(healthy[static_cast<std::size_t>(i)]);
  }
  for (const auto& [name, node] : controllers_) {
    if (node->removed)
      continue;
    if (wiped.contains(name))
      Wipe(name, down_for);
    else
      Kill(name, down_for, variant != 0);
  }
  for (const auto& [name, node] : entries_)
    Kill(name, down_for, variant != 0);
  Run(down_for);
}

void FleetSimulation::CheckRecovery() {
  const Time back_at = network_.Now();
  while (network_.Now() - back_at < options_.recovery_bound) {
    const auto served_count = std::make_shared<int>(0);
    const Duration elapsed = network_.Now() - back_at;
    for (int i = 0; i < options_.entries; ++i) {
      RequestWrite(i, [this, served_count, elapsed](bool served) {
        *served_count += served ? 1 : 0;
        if (!recovery_time_ && *served_count * 10 >= options_.entries * 9)
          recovery_time_ = elapsed;
      });
    }
    Run(milliseconds(100));
  }
  Run(milliseconds(500));
  if (!recovery_time_)
    Violate("no service " + ToText(options_.recovery_bound) +
            " after the instances were back");
  Run(options_.contact_window);
  const std::string leader = Leader();
  if (leader.empty())
    return Violate("no controller leads at the end");
  const std::int64_t newest = NewestAcknowledged(network_.Now());
  const std::string text =
      controllers_.at(leader)->core->Get(network_.Now()).text;
  if (text.empty() || std::stoll(text) < newest)
    Violate("version " + std::to_string(newest) + " is lost; " + text +
            " is read back");
  const std::int64_t version = Change();
  Run(options_.acknowledgment_bound);
  if (!Acknowledged(version))
    Violate("the last configuration is not acknowledged");
}

void FleetSimulation::Play() {
  Start();
  const Time end = network_.Now() + options_.faults_for;
  while (network_.Now() < end) {
    PlayFault();
    Run(RandomMilliseconds(100, 2'500));
  }
  PlayLastFault();
  CheckRecovery();
}

void FleetSimulation::Violate(const std::string& text) {
  Log("VIOLATION: " + text);
  violations_.push_back(text);
}

void FleetSimulation::Log(const std::string& text) {
  const auto elapsed = network_.Now() - TimeFromMicros(100'000'000);
  trace_ += ToText(elapsed) + " " + text + "\n";
}

int FleetSimulation::Random(int from, int to) {
  return std::uniform_int_distribution<int>(from, to)(generator_);
}

Duration FleetSimulation::RandomMilliseconds(int from, int to) {
  return milliseconds(Random(from, to));
}

}  // namespace goldcrest::fleet
