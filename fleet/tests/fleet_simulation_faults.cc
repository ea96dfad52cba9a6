// Faults, and the course of a run.

#include <algorithm>
#include <chrono>
#include <utility>

#include "simulated_nodes.h"

namespace goldcrest::fleet {

using std::chrono::milliseconds;
using Kind = ConfigurationResult::Kind;

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
      ToMillisecondsText(down_for));
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
        std::max(node.lost_until,
                 network_.Now() + kSimulatedDrainTime + kSimulationTick);
    node.draining = true;
    node.core->BeginDrain(network_.Now());
  }
  network_.After(planned ? kSimulatedDrainTime : Duration(), [this, name] {
    MarkDisturbed(name);
    controllers_.at(name)->removed = true;
    StopProcess(name);
    network_.OnProcessStopped(name, true);
  });
}

void FleetSimulation::FillDisk(const std::string& name, Duration duration) {
  const Time end = network_.Now() + duration;
  Log("fault: the disk of " + name + " is full for " +
      ToMillisecondsText(duration));
  ControllerNode& node = *controllers_.at(name);
  node.disk_full_until = end;
  node.lost_until = std::max(node.lost_until, end + options_.catch_up);
}

void FleetSimulation::StallDisk(const std::string& name, Duration duration) {
  const Time end = network_.Now() + duration;
  Log("fault: the disk of " + name + " stalls for " +
      ToMillisecondsText(duration));
  ControllerNode& node = *controllers_.at(name);
  node.disk_stalled_until = end;
  node.lost_until = std::max(node.lost_until, end + options_.catch_up);
}

void FleetSimulation::Cut(const std::string& name,
                          const std::set<std::string>& from,
                          Duration duration) {
  const Time end = network_.Now() + duration;
  Log("fault: " + name + " is cut off from " + std::to_string(from.size()) +
      " for " + ToMillisecondsText(duration));
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
      network_.After(kSimulatedDrainTime, [this, name = node.name] {
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
      Log("fault: " + name + " is frozen for " +
          ToMillisecondsText(end - network_.Now()));
      MarkDisturbed(name, end);
      network_.Block(name, end);
      controllers_.at(name)->lost_until = end + options_.catch_up;
      return;
    }
    case 13: {
      const Time end = network_.Now() + RandomMilliseconds(300, 4'000);
      Log("fault: " + entry + " is frozen for " +
          ToMillisecondsText(end - network_.Now()));
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
  enum LastFault { kAllKilled, kPowerLost, kDisksAndPowerLost };
  const int fault = Random(kAllKilled, kDisksAndPowerLost);
  std::vector<std::string> healthy = HealthyControllers();
  const int spare = options_.tolerated_losses - LostControllers();
  Log("fault: the last one, of kind " + std::to_string(fault));
  std::set<std::string> wiped;
  std::ranges::shuffle(healthy, generator_);
  if (fault == kDisksAndPowerLost) {
    for (int i = 0; i < spare && i < static_cast<int>(healthy.size()); ++i)
      wiped.insert(healthy[static_cast<std::size_t>(i)]);
  }
  for (const auto& [name, node] : controllers_) {
    if (node->removed)
      continue;
    if (wiped.contains(name))
      Wipe(name, down_for);
    else
      Kill(name, down_for, fault != kAllKilled);
  }
  for (const auto& [name, node] : entries_)
    Kill(name, down_for, fault != kAllKilled);
  Run(down_for);
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

}  // namespace goldcrest::fleet
