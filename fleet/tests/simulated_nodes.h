#ifndef GOLDCREST_FLEET_TESTS_SIMULATED_NODES_H_
#define GOLDCREST_FLEET_TESTS_SIMULATED_NODES_H_

// The parts of FleetSimulation that its sources share.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fleet_simulation.h"

namespace goldcrest::fleet {

inline constexpr Duration kSimulationTick = std::chrono::milliseconds(20);
inline constexpr Duration kSimulatedDrainTime = std::chrono::milliseconds(600);
inline constexpr const char* kSimulatedGroup = "g";

//! Name of the database whose route `version` added.
inline std::string SimulatedRoute(std::int64_t version) {
  return "d" + std::to_string(version);
}

inline std::string ToMillisecondsText(Duration duration) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(duration)
                 .count()) +
         " ms";
}

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
  bool suspended = false;  // the process runs, but its disk refuses writes
  bool removed = false;
  // Lost by a fault, or catching up, until this time.
  Time lost_until;
};

struct FleetSimulation::EntryNode {
  std::string name;
  std::unique_ptr<statements::StatementProxy> proxy;
  std::unique_ptr<statements::ControllerClient> controllers;
  std::uint64_t process = 0;
  std::int64_t acknowledged_at_start = 0;  // newest version
  Time disturbed_at;
  // By session: the answer, once there is one.
  std::map<statements::SessionId, statements::Answer> answers;
  std::map<statements::SessionId, std::function<void(bool)>> waiting;
};

struct FleetSimulation::PendingChange {
  Time sent_at;
  int attempt = 0;
  bool answered = false;  // the current attempt
};

}  // namespace goldcrest::fleet

#endif  // GOLDCREST_FLEET_TESTS_SIMULATED_NODES_H_
