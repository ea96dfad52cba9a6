#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <future>
#include <memory>

#include "fleet.h"
#include "increment_load.h"
#include "wait.h"

namespace goldcrest::process_tests {
namespace {

using std::chrono::milliseconds;

// Guaranteed limit of the failover gap.
constexpr milliseconds kMaxFailoverGap{5'000};
// Time limit where nothing is guaranteed: several failover gaps on a slow
// machine.
constexpr milliseconds kTimeout{15'000};
constexpr std::int64_t kProgressRequests = 20;

std::vector<std::uint16_t> CallerPorts(
    const Fleet& fleet,
    const std::vector<std::string>& instances) {
  std::vector<std::uint16_t> ports;
  ports.reserve(instances.size());
  for (const std::string& instance : instances)
    ports.push_back(fleet.CallerPort(instance));
  return ports;
}

//! Value of `key` on the current primary. Reads in a transaction, because a
//! plain read may be answered by a replica.
std::string ReadOnPrimary(const Fleet& fleet,
                          const std::string& instance,
                          const std::string& key) {
  Caller caller(Fleet::kHallKey);
  const auto port = fleet.CallerPort(instance);
  Reply read;
  WaitUntilOrThrow("a read in a transaction", kTimeout, [&] {
    const Reply begun = caller.Begin(port);
    if (!begun.Succeeded())
      return false;
    read = caller.Read(port, key, begun.Text("transaction"));
    caller.Rollback(port, begun.Text("transaction"));
    return read.Succeeded();
  });
  return read.Text("value");
}

//! Runs `fault` under load on all instances. Checks the failover gap and that
//! each acknowledged increment was applied exactly once.
void CheckWritesContinue(Fleet& fleet, const std::function<void()>& fault) {
  std::vector<std::unique_ptr<IncrementLoad>> loads;
  for (const char* counter : {"load-1", "load-2", "load-3"}) {
    loads.push_back(std::make_unique<IncrementLoad>(
        counter, CallerPorts(fleet, fleet.Instances())));
  }
  for (const auto& load : loads)
    REQUIRE(load->AwaitProgress(kProgressRequests, kTimeout));
  fault();
  for (const auto& load : loads)
    CHECK(load->AwaitProgress(kProgressRequests, kTimeout));
  for (const auto& load : loads) {
    const LoadReport report = load->Stop();
    INFO(load->counter() << ": " << report.ToText());
    CHECK(report.longest_gap <= kMaxFailoverGap);
    CHECK(report.wrong_values.empty());
    std::string instance;
    for (const std::string& name : fleet.Instances()) {
      if (fleet.Daemon(name).IsRunning())
        instance = name;
    }
    CHECK(ReadOnPrimary(fleet, instance, load->counter()) ==
          std::to_string(report.acknowledged));
  }
}

}  // namespace

// Guards against a promotion that selects a member without all acknowledged
// writes, a promotion that takes too long, and a resent request that is run
// again on the new primary.
TEST_CASE("Writes survive a kill of the primary and go on within 5 s",
          "[process_tests][guarantee]") {
  Fleet fleet;
  Caller caller(Fleet::kHallKey);
  const auto port = fleet.CallerPort("e4");
  const std::string old_primary = fleet.Primary();
  fleet.SetFault(old_primary, "drop_answer", 1);
  // Resends with the same request id get the outcome of the first attempt,
  // before and after the failover.
  WaitUntilOrThrow("a resend after a dropped answer", kTimeout, [&] {
    return caller.Write(port, "incr run", "resent").Succeeded();
  });
  CheckWritesContinue(fleet, [&] { fleet.Endpoint(old_primary).Kill(); });
  CHECK(fleet.Primary() != old_primary);
  const Reply resent =
      caller.Write(fleet.CallerPort("e2"), "incr run", "resent");
  CHECK(resent.Succeeded());
  CHECK(resent.Text("value") == "1");
  CHECK(ReadOnPrimary(fleet, "e4", "run") == "1");
}

// Guards against leases and rate shares that become invalid when the control
// leader that granted them ends.
TEST_CASE("Writes go on within 5 s after the control leader is killed",
          "[process_tests][guarantee]") {
  Fleet fleet;
  const std::string leader = fleet.Leader();
  CheckWritesContinue(fleet, [&] { fleet.Daemon(leader).Kill(); });
  std::string successor;
  CHECK(WaitUntil(kTimeout, [&] {
    successor = fleet.Leader();
    return !successor.empty() && successor != leader;
  }));
  fleet.StartDaemon(leader);
  fleet.AwaitHealthy({leader});
}

// Guards against a group that gets no new coordinator, and against a new
// coordinator that runs a request again which the killed one had already sent.
TEST_CASE("Writes go on within 5 s after the coordinator is killed",
          "[process_tests][guarantee]") {
  Fleet fleet;
  const std::string coordinator = fleet.Coordinator();
  CheckWritesContinue(fleet, [&] { fleet.Daemon(coordinator).Kill(); });
  CHECK(WaitUntil(kTimeout, [&] {
    const std::string successor = fleet.Coordinator();
    return !successor.empty() && successor != coordinator;
  }));
  fleet.StartDaemon(coordinator);
  fleet.AwaitHealthy({coordinator});
}

// Guards against instances that depend on an entry which coordinates no group.
TEST_CASE("Writes go on after an ordinary entry is killed", "[process_tests]") {
  Fleet fleet;
  const std::string entry =
      fleet.InstanceOtherThan({"e1", "e2", "e3", fleet.Coordinator()});
  CheckWritesContinue(fleet, [&] { fleet.Daemon(entry).Kill(); });
  fleet.StartDaemon(entry);
  fleet.AwaitHealthy({entry});
  Caller caller(Fleet::kHallKey);
  CHECK(caller.Write(fleet.CallerPort(entry), "set van booked").Succeeded());
}

// Guards against a coordinator that is paused (SIGSTOP) past its lease and then
// acknowledges a write which its successor doesn't have, or never serves again.
// The write of "yard" needs only the primary's answer, which is waiting to be
// read by the paused process. The test also passes without the lease check, so
// it doesn't cover that check.
TEST_CASE("A coordinator paused past its lease acknowledges no stale write",
          "[process_tests][guarantee]") {
  const char* key = GENERATE(Fleet::kHallKey, Fleet::kYardKey);
  INFO(key);
  Fleet fleet;
  const std::string coordinator = fleet.Coordinator();
  const std::string old_primary = fleet.Primary();
  const std::string other = fleet.InstanceOtherThan({coordinator});
  Caller caller(Fleet::kHallKey);
  // Only the primary has the write, which is lost when the primary is killed.
  // The primary answers after the coordinator has been paused and well before
  // the lease ends.
  fleet.SetFault(old_primary, "cut_replication", 1);
  fleet.SetFault(old_primary, "delay_answer_ms", 400);
  std::future<Reply> stale = std::async(std::launch::async, [&] {
    constexpr int timeout_ms = 9'000;
    return Caller(key).Post(fleet.CallerPort(coordinator), "/v1/execute",
                            {{"group", "bookings"},
                             {"kind", "write"},
                             {"statement", "set facade stale"},
                             {"request_id", "stale-1"},
                             {"timeout_ms", timeout_ms}});
  });
  WaitUntilOrThrow("the write to reach the primary", kTimeout, [&] {
    return fleet.FetchReceivedRequests(old_primary).find("set facade stale") !=
           std::string::npos;
  });
  fleet.Daemon(coordinator).Signal(SIGSTOP);
  WaitUntilOrThrow("another coordinator", kTimeout, [&] {
    const std::string successor = fleet.Coordinator();
    return !successor.empty() && successor != coordinator;
  });
  fleet.Endpoint(old_primary).Kill();
  WaitUntilOrThrow("writes through the successor", kTimeout, [&] {
    return caller.Write(fleet.CallerPort(other), "set facade new").Succeeded();
  });
  constexpr int later_writes = 5;
  for (int i = 0; i < later_writes; ++i)
    REQUIRE(
        caller.Write(fleet.CallerPort(other), "append later x").Succeeded());
  fleet.Daemon(coordinator).Signal(SIGCONT);

  const Reply reply = stale.get();
  INFO("code " << reply.code << ", outcome " << reply.outcome);
  // If the request succeeded, it ran through the successor and is the last
  // write.
  CHECK(ReadOnPrimary(fleet, other, "facade") ==
        (reply.Succeeded() ? "stale" : "new"));
  CHECK(WaitUntil(kMaxFailoverGap, [&] {
    return caller.Write(fleet.CallerPort(coordinator), "set van booked")
        .Succeeded();
  }));
  CHECK(ReadOnPrimary(fleet, other, "van") == "booked");
}

}  // namespace goldcrest::process_tests
