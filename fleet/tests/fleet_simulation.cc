#include "fleet_simulation.h"

#include <algorithm>
#include <chrono>

#include "goldcrest/consensus/output.h"
#include "simulated_nodes.h"

namespace goldcrest::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(5);
constexpr Duration kCheckInterval = milliseconds(50);
constexpr Duration kHeartbeatInterval = milliseconds(1'200);
constexpr Duration kSyncTime = milliseconds(1);
constexpr Duration kSlowSyncTime = milliseconds(30);
// A controller whose disk refuses writes tries again after this time.
constexpr Duration kReopenInterval = milliseconds(300);
constexpr std::size_t kBootstrapMembers = 3;
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

}  // namespace

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
    return controller->second->core != nullptr || controller->second->suspended;
  const auto entry = entries_.find(name);
  return entry != entries_.end() && entry->second->controllers != nullptr;
}

void FleetSimulation::StartController(const std::string& name) {
  ControllerNode& node = *controllers_.at(name);
  if (node.core != nullptr || node.removed)
    return;
  ++node.process;
  node.draining = false;
  node.suspended = false;
  ControllerOptions options;
  options.replica = DefaultReplicaOptions();
  options.replica.self = name;
  if (node.first_start && seeds_.contains(name))
    options.replica.bootstrap_members = {seeds_.begin(), seeds_.end()};
  node.first_start = false;
  options.tolerated_losses = options_.tolerated_losses;
  options.snapshot_log_bytes = options_.snapshot_log_bytes;
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
  hooks.unix_time = [this] {
    return std::chrono::system_clock::time_point(network_.Now() - Time());
  };
  hooks.probe = [this, &node](const routing::EndpointDirectory::Entry& entry,
                              ProbePurpose) {
    const std::string endpoint = entry.record.endpoint;
    const Time asked_at = network_.Now();
    network_.After(milliseconds(8), [this, &node, endpoint, asked_at] {
      if (node.core != nullptr && !network_.IsBlocked(node.name))
        node.core->OnProbe(
            network_.Now(), kSimulatedGroup, endpoint,
            {ProbeResult::Kind::kLeads, LogPosition{1, ++sequence_}, asked_at});
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
  node.acknowledged_at_start = NewestAcknowledged(network_.Now());
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
  hooks.has_unread_input = [](statements::SessionId) { return false; };
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
        answer.position = LogPosition{1, ++sequence_};
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
  client.report_answered = [](Duration) {};
  node.controllers = std::make_unique<statements::ControllerClient>(
      network_.Now(), static_cast<std::int64_t>(generator_() >> 2U), seeds_,
      *node.proxy, client);
}

void FleetSimulation::StopProcess(const std::string& name) {
  const auto controller = controllers_.find(name);
  if (controller != controllers_.end()) {
    controller->second->core.reset();
    controller->second->suspended = false;
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
    Log(name + " is suspended: its disk refuses writes");
    node->core->Abandon(now);
    node->core.reset();
    node->suspended = true;
    network_.After(kReopenInterval, [this, &node = *node] {
      if (node.suspended)
        StartController(node.name);
    });
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
      next_tick_ = now + kSimulationTick;
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
    record.group = kSimulatedGroup;
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
  if (controller != controllers_.end()) {
    if (controller->second->core != nullptr)
      controller->second->core->OnMessage(now, from, message);
    return;
  }
  if (message.__isset.proxy_update)
    entries_.at(to)->controllers->OnUpdate(now, from, message.proxy_update);
}

void FleetSimulation::OnLink(const std::string& at,
                             const std::string& peer,
                             bool up) {
  const auto controller = controllers_.find(at);
  if (controller != controllers_.end()) {
    if (controller->second->core != nullptr)
      controller->second->core->OnLink(peer, up);
    return;
  }
  entries_.at(at)->controllers->OnLink(network_.Now(), peer, up);
}

void FleetSimulation::Violate(const std::string& text) {
  Log("VIOLATION: " + text);
  violations_.push_back(text);
}

void FleetSimulation::Log(const std::string& text) {
  const auto elapsed = network_.Now() - TimeFromMicros(100'000'000);
  trace_ += ToMillisecondsText(elapsed) + " " + text + "\n";
}

int FleetSimulation::Random(int from, int to) {
  return std::uniform_int_distribution<int>(from, to)(generator_);
}

Duration FleetSimulation::RandomMilliseconds(int from, int to) {
  return milliseconds(Random(from, to));
}

}  // namespace goldcrest::fleet
