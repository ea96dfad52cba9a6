#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <memory>

#include "fleet.h"
#include "increment_load.h"

namespace goldcrest::process_tests {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{15'000};
// A planned stop takes the drain grace period and the time of the requests in
// progress.
constexpr milliseconds kStopTimeout{10'000};
constexpr std::int64_t kProgressRequests = 20;

// Shorter than the default of 2 s, to save time: no request depends on it.
constexpr const char* kShortDrainGrace = "drain_grace_ms = 500\n";

using Loads = std::vector<std::unique_ptr<IncrementLoad>>;

//! Starts clients that keep their connections and try the next instance when
//! one refuses a request.
Loads StartLoads(const Fleet& fleet) {
  std::vector<std::uint16_t> ports;
  for (const std::string& instance : fleet.Instances())
    ports.push_back(fleet.CallerPort(instance));
  Loads loads;
  for (const char* counter : {"load-1", "load-2", "load-3", "load-4"})
    loads.push_back(std::make_unique<IncrementLoad>(counter, ports));
  for (const auto& load : loads)
    REQUIRE(load->AwaitProgress(kProgressRequests, kTimeout));
  return loads;
}

void StopAndRestart(Fleet& fleet, const std::string& instance) {
  INFO("stop of " << instance);
  fleet.Daemon(instance).Signal(SIGTERM);
  const auto status = fleet.Daemon(instance).WaitForExit(kStopTimeout);
  REQUIRE(status.has_value());
  CHECK(*status == 0);
  fleet.StartDaemon(instance);
  fleet.AwaitHealthy({instance});
}

void CheckNoRequestCut(const Loads& loads) {
  for (const auto& load : loads)
    CHECK(load->AwaitProgress(kProgressRequests, kTimeout));
  for (const auto& load : loads) {
    const LoadReport report = load->Stop();
    INFO(load->counter() << ": " << report.ToText());
    CHECK(report.cut == 0);
    CHECK(report.unknown == 0);
    CHECK(report.wrong_values.empty());
  }
}

}  // namespace

// Guards against a stopping daemon that closes a connection with a request in
// progress, or that exits while it still coordinates a group.
TEST_CASE("SIGTERM of an entry, the leader and the coordinator cuts no request",
          "[process_tests][guarantee][known-red]") {
  Fleet fleet({.entry_settings = kShortDrainGrace});
  const Loads loads = StartLoads(fleet);
  StopAndRestart(
      fleet, fleet.InstanceOtherThan({"e1", "e2", "e3", fleet.Coordinator()}));
  StopAndRestart(fleet, fleet.Leader());
  StopAndRestart(fleet, fleet.Coordinator());
  CheckNoRequestCut(loads);
}

// Guards against a restarted daemon that passes the health check before it can
// serve, and against a role (leader or coordinator) that the last of the old
// daemons doesn't hand over.
TEST_CASE("A rolling restart of all daemons cuts no request",
          "[process_tests][guarantee]") {
  Fleet fleet({.entry_settings = kShortDrainGrace});
  const Loads loads = StartLoads(fleet);
  for (const std::string& instance : fleet.Instances())
    StopAndRestart(fleet, instance);
  CheckNoRequestCut(loads);
}

}  // namespace goldcrest::process_tests
