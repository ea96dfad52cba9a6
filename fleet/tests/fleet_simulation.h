#ifndef GOLDCREST_FLEET_TESTS_FLEET_SIMULATION_H_
#define GOLDCREST_FLEET_TESTS_FLEET_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/fleet/controller.h"
#include "goldcrest/statements/controller_client.h"
#include "simulated_network.h"

namespace goldcrest::fleet {

struct SimulationOptions {
  unsigned seed = 1;
  int controllers = 3;
  int entries = 7;
  int tolerated_losses = 1;
  Duration faults_for = std::chrono::seconds(30);
  // Bounds of the promises that are checked, and the time that an instance has
  // to catch up before another one may fail.
  Duration configuration_bound = std::chrono::seconds(3);
  Duration contact_window = std::chrono::seconds(4);
  Duration catch_up = std::chrono::seconds(4);
  Duration acknowledgment_bound = std::chrono::seconds(5);
  Duration recovery_bound = std::chrono::seconds(12);
  // Small enough for snapshots to be taken between changes.
  std::size_t snapshot_log_bytes = 600;
};

//! Controllers and entries of a fleet in one process and in simulated time,
//! with a network, disks and power that fail as the seed says. Callers,
//! endpoints and operators are played; broken promises are collected.
class FleetSimulation {
 public:
  explicit FleetSimulation(SimulationOptions options);
  ~FleetSimulation();
  FleetSimulation(const FleetSimulation&) = delete;
  FleetSimulation& operator=(const FleetSimulation&) = delete;

  //! Plays a start, a series of overlapping faults, a last fault that takes all
  //! instances down, and the recovery.
  void Play();

  //! Broken promises, in order. Empty if all were kept.
  const std::vector<std::string>& Violations() const { return violations_; }
  //! Faults and decisions, one a line.
  const std::string& Trace() const { return trace_; }
  //! From the return of the instances to the first time at which nine of ten
  //! entries could run an operation; nullopt if there was none.
  std::optional<Duration> RecoveryTime() const { return recovery_time_; }

  // Single faults and steps, for tests that play a fixed course.
  void Start();
  void Run(Duration duration);
  void Kill(const std::string& name, Duration down_for, bool power);
  void Wipe(const std::string& name, Duration down_for);
  //! Starts a controller with an empty disk at another address. Returns its
  //! name.
  std::string AddReplacement();
  //! Stops a controller for good, after a planned stop or at once.
  void Remove(const std::string& name, bool planned);
  void FillDisk(const std::string& name, Duration duration);
  void StallDisk(const std::string& name, Duration duration);
  void Cut(const std::string& name,
           const std::set<std::string>& from,
           Duration duration);
  //! Sends a new configuration. It is sent again until it is acknowledged.
  std::int64_t Change();
  bool Acknowledged(std::int64_t version) const;
  std::string Leader() const;
  std::vector<std::string> LiveControllers() const;
  std::int64_t EntryVersion(int entry) const;
  std::string EntryName(int entry) const;
  //! Runs one write through the entry; true once it reached the endpoint.
  void RequestWrite(int entry, const std::function<void(bool)>& done);

 private:
  struct ControllerNode;
  struct EntryNode;
  struct PendingChange;

  std::string AddController();
  void StartController(const std::string& name);
  void StartEntry(const std::string& name);
  void StopProcess(const std::string& name);
  ControllerHooks MakeControllerHooks(const std::string& name);
  void MakeEntryCore(EntryNode& node);
  bool Persist(ControllerNode& node,
               const std::vector<consensus::LogWrite>& writes);
  void TickProcesses();
  void Deliver(const std::string& from,
               const std::string& to,
               const messages::PeerMessage& message);
  void OnLink(const std::string& at, const std::string& peer, bool up);
  bool IsRunning(const std::string& name) const;
  void SendChange(std::int64_t version);
  void SendChangeTo(std::int64_t version,
                    const std::string& controller,
                    int redirects);
  void OnChangeAnswered(std::int64_t version,
                        const ConfigurationResult& result,
                        int redirects);
  std::int64_t NewestAcknowledged(Time before) const;
  void CheckEntries();
  void CheckRead();
  void CheckAcknowledgments();
  void MarkDisturbed(const std::string& name, Time until = Time());
  int LostControllers() const;
  std::vector<std::string> HealthyControllers() const;
  void PlayFault();
  void PlayLastFault();
  void CheckRecovery();
  void Violate(const std::string& text);
  void Log(const std::string& text);
  int Random(int from, int to);
  Duration RandomMilliseconds(int from, int to);
  template <typename Items>
  auto Pick(const Items& items) {
    return items.at(static_cast<std::size_t>(
        Random(0, static_cast<int>(items.size()) - 1)));
  }

  SimulationOptions options_;
  std::mt19937_64 generator_;
  SimulatedNetwork network_;
  std::map<std::string, std::unique_ptr<ControllerNode>> controllers_;
  std::map<std::string, std::unique_ptr<EntryNode>> entries_;
  std::set<std::string> seeds_;
  int next_controller_ = 0;
  std::int64_t next_version_ = 1;
  std::map<std::int64_t, PendingChange> changes_;
  std::map<std::int64_t, Time> acknowledged_;
  std::map<std::int64_t, routing::RoutingTablePtr> tables_;
  std::int64_t sequence_ = 0;
  std::uint64_t next_session_ = 1;
  Time core_disturbed_at_;
  Time next_tick_;
  Time next_check_;
  Time next_heartbeat_;
  std::vector<std::string> violations_;
  std::string trace_;
  std::optional<Duration> recovery_time_;
};

}  // namespace goldcrest::fleet

#endif  // GOLDCREST_FLEET_TESTS_FLEET_SIMULATION_H_
