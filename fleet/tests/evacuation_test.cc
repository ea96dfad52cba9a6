#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "controller_cluster.h"

namespace goldcrest::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = ConfigurationResult::Kind;
using Zones = std::set<std::string>;

// Calls a controller and returns where its answer will be.
std::shared_ptr<std::optional<ConfigurationResult>>
Call(Cluster& cluster, const std::string& name, bool active) {
  auto result = std::make_shared<std::optional<ConfigurationResult>>();
  cluster.nodes.at(name)->Evacuate(
      cluster.now, "z1", active,
      [result](const ConfigurationResult& got) { *result = got; });
  return result;
}

Kind Evacuate(Cluster& cluster, const std::string& name, bool active = true) {
  const auto result = Call(cluster, name, active);
  cluster.Run(milliseconds(300));
  return result->has_value() ? result->value().kind : Kind::kUnknown;
}

const Zones& ZonesOf(const Cluster& cluster, const std::string& name) {
  return cluster.nodes.at(name)->state().evacuated_zones();
}

const Zones kEvacuated{"z1"};

}  // namespace

// Guards against an acknowledged order that is lost, or that is acknowledged
// without being in force.
TEST_CASE("An acknowledged evacuation stays in force until it ends",
          "[fleet][guarantee]") {
  Cluster cluster(3);
  cluster.Run(seconds(3));
  const std::string leader = cluster.Leader();
  REQUIRE_FALSE(leader.empty());
  const std::string follower = leader == "a" ? "b" : "a";
  REQUIRE(Evacuate(cluster, leader) == Kind::kDone);
  REQUIRE(ZonesOf(cluster, follower) == kEvacuated);
  const std::int64_t index =
      cluster.nodes.at(leader)->state().evacuations_index();

  SECTION("A repeated call is acknowledged and changes nothing") {
    CHECK(Evacuate(cluster, leader) == Kind::kDone);
    CHECK(cluster.nodes.at(leader)->state().evacuations_index() == index);
    CHECK(cluster.decisions["zone_evacuated"] == 3);
  }
  SECTION("Its end is acknowledged") {
    CHECK(Evacuate(cluster, leader, false) == Kind::kDone);
    CHECK(ZonesOf(cluster, follower).empty());
    CHECK(cluster.decisions["zone_restored"] == 3);
  }
  SECTION("A call that reverses one that is not committed yet wins") {
    const auto end = Call(cluster, leader, false);
    const auto start = Call(cluster, leader, true);
    CHECK_FALSE(start->has_value());
    cluster.Run(milliseconds(300));
    CHECK(end->value().kind == Kind::kDone);
    CHECK(start->value().kind == Kind::kDone);
    CHECK(ZonesOf(cluster, leader) == kEvacuated);
  }
  SECTION("It survives a restart of all controllers") {
    for (const char* name : {"a", "b", "c"})
      cluster.Stop(name);
    for (const char* name : {"a", "b", "c"})
      cluster.Start(name, false);
    cluster.Run(seconds(2));
    REQUIRE_FALSE(cluster.Leader().empty());
    CHECK(ZonesOf(cluster, cluster.Leader()) == kEvacuated);
    CHECK(Evacuate(cluster, cluster.Leader()) == Kind::kDone);
  }
  SECTION("A follower redirects to the leader") {
    const auto result = Call(cluster, follower, true);
    CHECK(result->value().kind == Kind::kNotLeader);
    CHECK(result->value().leader == leader);
  }
  SECTION("A disconnected leader acknowledges nothing") {
    cluster.disconnected.insert(leader);
    cluster.Run(seconds(2));
    CHECK(Evacuate(cluster, leader) != Kind::kDone);
    const std::string successor = cluster.Leader();
    REQUIRE_FALSE(successor.empty());
    CHECK(Evacuate(cluster, successor, false) == Kind::kDone);
  }
}

TEST_CASE("An evacuation survives the loss of the leader before its answer",
          "[fleet][guarantee]") {
  Cluster cluster(3);
  cluster.Run(seconds(3));
  const std::string leader = cluster.Leader();
  const auto first = Call(cluster, leader, true);
  // The followers have stored the order; the leader does not hear of it.
  cluster.Run(Cluster::kStep);
  cluster.Stop(leader);
  cluster.Run(seconds(2));
  CHECK_FALSE(first->has_value());
  const std::string successor = cluster.Leader();
  REQUIRE_FALSE(successor.empty());
  CHECK(Evacuate(cluster, successor) == Kind::kDone);
  CHECK(ZonesOf(cluster, successor) == kEvacuated);
  CHECK(cluster.decisions["zone_evacuated"] == 2);
  cluster.Start(leader, false);
  cluster.Run(seconds(1));
  CHECK(ZonesOf(cluster, leader) == kEvacuated);
}

// Guards against sets that are sent again to all entries without a change.
TEST_CASE("An order that is in the log twice changes the index once",
          "[fleet]") {
  FleetState state;
  messages::FleetCommand command;
  messages::ZoneEvacuation evacuation;
  evacuation.zone = "z1";
  evacuation.active = true;
  command.__set_evacuation(evacuation);
  state.Apply(command, 5);
  state.Apply(command, 6);
  CHECK(state.evacuations_index() == 5);
}

// Guards against an entry that learns of the order with its next report, or
// never because the message that carried it was lost.
TEST_CASE("Entries get the evacuated zones at once and until they have them",
          "[fleet][guarantee]") {
  Cluster cluster(3);
  cluster.Run(seconds(3));
  const std::string leader = cluster.Leader();
  messages::ProxyReport report;
  report.process = 1;
  report.sent_micros = 1;
  const auto take = [&cluster] {
    std::vector<messages::EvacuatedZones> sets;
    for (const auto& update : std::exchange(cluster.updates["entry"], {})) {
      if (update.__isset.evacuated)
        sets.push_back(update.evacuated);
    }
    return sets;
  };
  cluster.Report("entry", leader, report);
  CHECK(take().empty());
  Call(cluster, leader, true);
  cluster.Run(5 * Cluster::kStep);
  auto sets = take();
  REQUIRE(sets.size() == 1);
  CHECK(sets[0].zones == std::vector<std::string>{"z1"});
  cluster.Report("entry", leader, report);
  CHECK(take().size() == 1);
  report.evacuations_index = sets[0].index;
  cluster.Report("entry", leader, report);
  CHECK(take().empty());
}

}  // namespace goldcrest::fleet
