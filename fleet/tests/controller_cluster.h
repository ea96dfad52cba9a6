#ifndef GOLDCREST_FLEET_TESTS_CONTROLLER_CLUSTER_H_
#define GOLDCREST_FLEET_TESTS_CONTROLLER_CLUSTER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/fleet/controller.h"

namespace goldcrest::fleet {

//! Controllers that run in simulated time. A message takes one step. `disks`
//! holds what each controller has persisted, which survives its restart; an
//! empty entry is a lost disk.
class Cluster {
 public:
  using Kind = ConfigurationResult::Kind;
  static constexpr Duration kStep = std::chrono::milliseconds(10);

  explicit Cluster(int size) {
    for (int i = 0; i < size; ++i)
      names_.insert(std::string(1, static_cast<char>('a' + i)));
    for (const std::string& name : names_)
      Start(name, true);
  }

  // Starts a controller without a disk, which is no member of the log.
  void StartWithoutDisk(const std::string& name) {
    without_disk_.insert(name);
    Start(name, false);
  }

  void Start(const std::string& name, bool first) {
    ControllerOptions options;
    options.replica.self = name;
    if (first)
      options.replica.bootstrap_members = {names_.begin(), names_.end()};
    options.seeds = names_;
    options.has_disk = without_disk_.count(name) == 0;
    ControllerHooks hooks;
    hooks.send = [this, name](const std::string& to,
                              const messages::PeerMessage& message) {
      if (disconnected.count(name) == 0 && disconnected.count(to) == 0)
        in_transit_.push_back({name, to, message});
    };
    hooks.persist = [this, name](const auto& writes) {
      Persist(disks[name], writes);
      return true;
    };
    hooks.decode = [this](const std::string& text) {
      ++decoded;
      auto table = std::make_shared<routing::RoutingTable>();
      table->version = std::stoll(text);
      table->customers.push_back({"customer", {"key"}, 100, 100});
      table->groups = groups;
      return table;
    };
    hooks.known_controllers = [this, name](const auto& names) {
      last_known[name] = names;
    };
    hooks.unix_time = [this] { return unix_start + (now - Time()); };
    hooks.probe = [this, name](const routing::EndpointDirectory::Entry& entry,
                               ProbePurpose purpose) {
      if (probe)
        probes_.push_back({name, entry.record, purpose});
    };
    hooks.fence = [this, name](const routing::EndpointDirectory::Entry& entry,
                               std::int64_t) {
      if (probe)
        probes_.push_back({name, entry.record, ProbePurpose::kFence});
    };
    hooks.promote = [this](const auto&) { ++promotions; };
    hooks.log_decision = [this](const std::string& event, const auto&,
                                const auto&) { ++decisions[event]; };
    nodes[name] = std::make_unique<Controller>(now, options, disks[name],
                                               std::mt19937_64(name[0]), hooks);
  }

  void Stop(const std::string& name) { nodes.erase(name); }

  void Run(Duration duration) {
    for (const Time end = now + duration; now < end;) {
      now += kStep;
      for (SentMessage& sent : std::exchange(in_transit_, {})) {
        if (observe)
          observe(sent.message);
        if (sent.message.__isset.controller_notice)
          ++notices_to[sent.to];
        const auto it = nodes.find(sent.to);
        if (it != nodes.end())
          it->second->OnMessage(now, sent.from, sent.message);
        else if (sent.to.starts_with("entry") &&
                 sent.message.__isset.proxy_update)
          updates[sent.to].push_back(sent.message.proxy_update);
      }
      for (auto& [name, node] : nodes)
        node->Tick(now);
      for (const PendingProbe& pending : std::exchange(probes_, {})) {
        const auto it = nodes.find(pending.controller);
        if (it != nodes.end())
          it->second->OnProbe(now, pending.record.group,
                              pending.record.endpoint,
                              probe(pending.record, pending.purpose));
      }
    }
  }

  std::string Leader() const {
    for (const auto& [name, node] : nodes) {
      if (disconnected.count(name) == 0 && node->Get(now).kind == Kind::kDone)
        return name;
    }
    return "";
  }

  ConfigurationResult Put(const std::string& name, std::int64_t version) {
    ConfigurationResult result;
    result.leader = "none yet";
    nodes.at(name)->Put(
        now, version, std::to_string(version),
        [&result](ConfigurationResult got) { result = std::move(got); });
    Run(std::chrono::milliseconds(300));
    return result;
  }

  void Report(const std::string& entry,
              const std::string& controller,
              const messages::ProxyReport& report) {
    messages::PeerMessage message;
    message.__set_proxy_report(report);
    nodes.at(controller)->OnMessage(now, entry, message);
    Run(std::chrono::milliseconds(50));
  }

  // Returns the number of endpoint records sent to the entry since the last
  // call.
  std::size_t TakeEndpoints(const std::string& entry) {
    std::size_t count = 0;
    for (const messages::ProxyUpdate& update :
         std::exchange(updates[entry], {}))
      count += update.endpoints.size();
    return count;
  }

  int promotions = 0;                            // ordered
  int decoded = 0;                               // documents
  std::map<std::string, routing::Group> groups;  // of each document
  // Answers probes; null if they are never answered.
  std::function<ProbeResult(const messages::EndpointRecord&, ProbePurpose)>
      probe;
  std::map<std::string, int> decisions;  // by event, of all controllers
  // Sees each message before it is delivered; may be null.
  std::function<void(const messages::PeerMessage&)> observe;
  std::chrono::system_clock::time_point unix_start{std::chrono::hours(500'000)};
  Time now = TimeFromMicros(100'000'000);
  std::map<std::string, std::unique_ptr<Controller>> nodes;
  std::map<std::string, consensus::RestoredState> disks;
  std::map<std::string, std::vector<messages::ProxyUpdate>> updates;
  std::map<std::string, std::set<std::string>> last_known;
  std::map<std::string, int> notices_to;
  std::set<std::string> disconnected;

 private:
  struct SentMessage {
    std::string from;
    std::string to;
    messages::PeerMessage message;
  };

  struct PendingProbe {
    std::string controller;
    messages::EndpointRecord record;
    ProbePurpose purpose;
  };

  static void Persist(consensus::RestoredState& disk,
                      const std::vector<consensus::LogWrite>& writes) {
    disk.fresh = false;
    for (const consensus::LogWrite& write : writes) {
      if (const auto* state = std::get_if<consensus::HardState>(&write)) {
        disk.hard_state = *state;
      } else if (const auto* truncate =
                     std::get_if<consensus::TruncateLog>(&write)) {
        std::erase_if(disk.entries, [&](const messages::LogEntry& entry) {
          return entry.index >= truncate->index;
        });
      } else if (const auto* add =
                     std::get_if<consensus::AppendEntries>(&write)) {
        disk.entries.insert(disk.entries.end(), add->entries.begin(),
                            add->entries.end());
      } else if (const auto* save =
                     std::get_if<consensus::SaveSnapshot>(&write)) {
        disk.snapshot = save->snapshot;
        std::erase_if(disk.entries, [&](const messages::LogEntry& entry) {
          return entry.index <= save->snapshot.last_index;
        });
      }
    }
  }

  std::set<std::string> names_;
  std::set<std::string> without_disk_;
  std::deque<SentMessage> in_transit_;
  std::vector<PendingProbe> probes_;
};

}  // namespace goldcrest::fleet

#endif  // GOLDCREST_FLEET_TESTS_CONTROLLER_CLUSTER_H_
