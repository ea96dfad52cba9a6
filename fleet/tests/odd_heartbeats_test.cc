#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "controller_cluster.h"
#include "goldcrest/messages/codec.h"

namespace goldcrest::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kMax = std::numeric_limits<std::int64_t>::max();
constexpr Duration kHeartbeatInterval = milliseconds(1'000);
// An endpoint without heartbeats is given up after 15 s.
constexpr Duration kReturnBound = seconds(8);

// Five controllers and a group of three databases. Each heartbeat reaches a
// controller chosen at random.
class ObservedGroup {
 public:
  explicit ObservedGroup(unsigned seed) : cluster(5), generator_(seed) {
    cluster.probe = [this](const messages::EndpointRecord& record,
                           ProbePurpose) {
      const auto it = databases_.find(record.endpoint);
      if (it == databases_.end() || it->second.address != record.address)
        return ProbeResult{};
      return ProbeResult{it->second.primary ? ProbeResult::Kind::kLeads
                                            : ProbeResult::Kind::kFollows,
                         LogPosition{1, 1}, cluster.now};
    };
    for (int i = 0; i < 3; ++i) {
      messages::EndpointRecord record;
      record.endpoint = "e" + std::to_string(i);
      record.group = "g";
      record.address = "10.0.0." + std::to_string(i + 1) + ":1";
      record.zone = "z";
      record.primary = i == 0;
      record.started_ms = UnixMilliseconds() - 60'000 + i;
      databases_[record.endpoint] = record;
    }
  }

  // Heartbeats of the databases, and of the other writer if `with_odd_ones`.
  // Checks after each round that each controller knows the databases.
  void RunRound(bool with_odd_ones) {
    for (auto& [name, record] : databases_) {
      ++record.sequence;
      Send(record);
      if (with_odd_ones && Random(0, 2) == 0)
        SendOdd(record);
      cluster.Run(kHeartbeatInterval / 3);
    }
    for (const auto& [name, record] : databases_) {
      for (const auto& [controller, node] : cluster.nodes) {
        Time& present_at =
            present_at_.try_emplace({controller, name}, cluster.now)
                .first->second;
        if (Knows(*node, record))
          present_at = cluster.now;
        longest_absence =
            std::max(longest_absence, Duration(cluster.now - present_at));
      }
    }
  }

  void RestartLeader() {
    const std::string leader = cluster.Leader();
    if (leader.empty())
      return;
    cluster.Stop(leader);
    cluster.Run(milliseconds(Random(10, 1'500)));
    cluster.Start(leader, false);
    for (const auto& [name, record] : databases_)
      present_at_[{leader, name}] = cluster.now;
  }

  void Send(const messages::EndpointRecord& heartbeat) {
    auto it = cluster.nodes.begin();
    std::advance(it, Random(0, static_cast<int>(cluster.nodes.size()) - 1));
    it->second->OnHeartbeat(cluster.now, heartbeat);
  }

  int Random(int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(generator_);
  }

  Cluster cluster;
  Duration longest_absence = Duration::zero();

 private:
  static bool Knows(const Controller& node,
                    const messages::EndpointRecord& record) {
    const auto* known = node.directory().Find(record.endpoint);
    return known != nullptr && !known->record.gone &&
           known->record.address == record.address &&
           known->record.group == record.group &&
           known->record.started_ms == record.started_ms &&
           known->record.primary == record.primary;
  }

  std::int64_t UnixMilliseconds() const {
    return std::chrono::duration_cast<milliseconds>(
               cluster.unix_start.time_since_epoch() + (cluster.now - Time()))
        .count();
  }

  void SendOdd(messages::EndpointRecord record) {
    record.primary = !record.primary;
    switch (Random(0, 7)) {
      case 0:
        record.sequence = kMax;
        break;
      case 1:
        record.sequence += 5'000'000;
        break;
      case 2:
        record.started_ms = kMax;
        break;
      case 3:
        record.started_ms += 86'400'000;
        break;
      case 4:
        record.address = "10.9.9.9:9";
        record.sequence += 2;
        break;
      case 5:
        record.group = "other";
        record.sequence += 2;
        break;
      case 6:
        record.endpoint = "odd";
        record.address = "10.9.9.9:9";
        record.primary = true;
        break;
      default:
        record.started_ms -= 1;
        record.sequence = kMax;
    }
    Send(record);
  }

  std::mt19937_64 generator_;
  std::map<std::string, messages::EndpointRecord> databases_;
  std::map<std::pair<std::string, std::string>, Time> present_at_;
};

}  // namespace

// Guards against another writer whose entries silence the databases that they
// name, or make the leader replace a primary that runs.
TEST_CASE("Odd heartbeats during failovers displace no database",
          "[fleet][guarantee]") {
  const unsigned seed = GENERATE(range(1U, 7U));
  CAPTURE(seed);
  ObservedGroup group(seed);
  group.cluster.Run(seconds(2));
  REQUIRE_FALSE(group.cluster.Leader().empty());
  group.cluster.Put(group.cluster.Leader(), 5);
  for (int i = 0; i < 5; ++i)
    group.RunRound(false);
  for (int i = 0; i < 90; ++i) {
    group.RunRound(true);
    if (group.Random(0, 9) == 0)
      group.RestartLeader();
  }
  CHECK(group.longest_absence <= kReturnBound);
  CHECK(group.cluster.promotions == 0);
  for (const auto& [name, node] : group.cluster.nodes)
    CHECK_FALSE(node->HasFailed());
}

// Guards against one entry with a later start, which is plausible, that holds a
// database back for good at some controllers.
TEST_CASE("A database returns at all controllers after one plausible odd entry",
          "[fleet][guarantee]") {
  ObservedGroup group(GENERATE(1U, 2U, 3U));
  group.cluster.Run(seconds(2));
  for (int i = 0; i < 5; ++i)
    group.RunRound(false);
  messages::EndpointRecord odd;
  odd.endpoint = "e0";
  odd.group = "g";
  odd.address = "10.9.9.9:9";
  odd.zone = "z";
  odd.started_ms =
      group.cluster.nodes.at("a")->directory().Find("e0")->record.started_ms +
      1;
  group.Send(odd);
  for (int i = 0; i < 30; ++i)
    group.RunRound(false);
  CHECK(group.longest_absence > Duration::zero());
  CHECK(group.longest_absence <= kReturnBound);
}

// Guards against a server that has left and is in use again, because a delayed
// heartbeat of it arrives after all controllers were restarted.
TEST_CASE(
    "A deregistered database stays gone over a restart of all controllers",
    "[fleet][guarantee]") {
  Cluster cluster(3);
  cluster.Run(seconds(2));
  messages::EndpointRecord record;
  record.endpoint = "e1";
  record.group = "g";
  record.address = "10.0.0.1:1";
  record.sequence = 5;
  cluster.nodes.at("a")->OnHeartbeat(cluster.now, record);
  cluster.Run(milliseconds(500));
  messages::EndpointRecord departure;
  departure.endpoint = "e1";
  departure.sequence = 7;
  cluster.nodes.at("b")->OnDeparture(cluster.now, departure);
  cluster.Run(milliseconds(500));
  const std::string state =
      messages::Encode(cluster.nodes.at("a")->state().Save());
  for (const char* name : {"a", "b", "c"}) {
    cluster.Stop(name);
    // A snapshot has replaced the log.
    consensus::RestoredState& disk = cluster.disks[name];
    disk.snapshot.last_index = disk.entries.back().index;
    disk.snapshot.last_term = disk.entries.back().term;
    disk.snapshot.members = {"a", "b", "c"};
    disk.snapshot.data = state;
    disk.entries.clear();
  }
  for (const char* name : {"a", "b", "c"})
    cluster.Start(name, false);
  cluster.Run(seconds(2));
  record.sequence = 6;
  cluster.nodes.at("c")->OnHeartbeat(cluster.now, record);
  cluster.Run(milliseconds(500));
  for (const auto& [name, node] : cluster.nodes)
    CHECK(node->directory().MembersOf("g").empty());

  SECTION("It is in use again when it goes on") {
    record.sequence = 9;
    cluster.nodes.at("c")->OnHeartbeat(cluster.now, record);
    cluster.Run(milliseconds(500));
    for (const auto& [name, node] : cluster.nodes)
      CHECK(node->directory().MembersOf("g").size() == 1);
  }
}

// Guards against a record that an older release has accepted, and that ends
// each process that reads it from its disk.
TEST_CASE("An odd record in the log or the snapshot is dropped on load",
          "[fleet][guarantee]") {
  messages::EndpointRecord good;
  good.endpoint = "good";
  good.group = "g";
  good.address = "10.0.0.1:1";
  messages::EndpointRecord odd = good;
  odd.endpoint = "odd";
  odd.address = GENERATE(as<std::string>(), "10.0.0.1:99999", "10.0.0.1:0",
                         "10.0.0.1:port", "nowhere", "");
  Cluster cluster(1);
  cluster.Run(seconds(2));
  cluster.Stop("a");
  consensus::RestoredState& disk = cluster.disks["a"];
  SECTION("In the snapshot") {
    messages::FleetSnapshot snapshot;
    snapshot.endpoints = {{"good", good}, {"odd", odd}};
    disk.snapshot.last_index = disk.entries.back().index;
    disk.snapshot.last_term = disk.entries.back().term;
    disk.snapshot.members = {"a"};
    disk.snapshot.data = messages::Encode(snapshot);
    disk.entries.clear();
  }
  SECTION("In the log") {
    for (const auto& record : {good, odd}) {
      messages::FleetCommand command;
      command.__set_endpoint(record);
      messages::LogEntry entry;
      entry.term = disk.entries.back().term;
      entry.index = disk.entries.back().index + 1;
      entry.command = messages::Encode(command);
      disk.entries.push_back(entry);
    }
  }
  cluster.Start("a", false);
  cluster.Run(seconds(3));
  const Controller& node = *cluster.nodes.at("a");
  CHECK_FALSE(node.HasFailed());
  CHECK_FALSE(cluster.Leader().empty());
  CHECK(node.directory().Find("good") != nullptr);
  CHECK(node.directory().Find("odd") == nullptr);
}

}  // namespace goldcrest::fleet
