#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "failover_group.h"

namespace goldcrest::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void SetZone(FailoverGroup& group,
             const std::string& endpoint,
             const std::string& zone) {
  messages::EndpointRecord record = group.directory.Find(endpoint)->record;
  record.zone = zone;
  record.sequence = ++group.sequence;
  group.directory.Apply(group.now, record);
}

}  // namespace

TEST_CASE("A primary in an evacuated zone is replaced by one outside",
          "[fleet][guarantee]") {
  FailoverGroup group;
  group.Answer("p", ProbeResult::Kind::kLeads);
  SetZone(group, "p", "z1");
  SetZone(group, "r1", "z1");
  const bool outside = GENERATE(true, false);
  if (!outside)
    SetZone(group, "r2", "z1");
  group.planner->SetEvacuatedZones({"z1"});
  for (int i = 0; i < 20; ++i) {
    group.Advance(milliseconds(50));
    for (const auto& [endpoint, purpose] : std::exchange(group.probes, {})) {
      group.probes.emplace_back(endpoint, purpose);
      group.Answer(endpoint, ProbeResult::Kind::kFollows,
                   endpoint == "r1" ? 9 : 5);
      group.probes.clear();
    }
  }
  if (outside) {
    REQUIRE_FALSE(group.orders.empty());
    for (const auto& order : group.orders) {
      CHECK(order.endpoint == "r2");
      CHECK(order.order == group.orders[0].order);
    }
    return;
  }
  CHECK(group.orders.empty());
  // Nothing is decided, or logged, while there is no choice.
  CHECK(group.decisions.count("survey") == 0);
  SECTION("The end of the evacuation leaves the primary as it is") {
    group.planner->SetEvacuatedZones({});
    group.Advance(seconds(1));
    group.Answer("p", ProbeResult::Kind::kLeads);
    group.Advance(seconds(1));
    CHECK(group.orders.empty());
  }
  SECTION("A member that joins outside is promoted") {
    group.SetRole("r3", false);
    group.Advance(milliseconds(20));
    group.Advance(milliseconds(20));
    group.Answer("r3", ProbeResult::Kind::kFollows, 5);
    REQUIRE(group.orders.size() == 1);
    CHECK(group.orders[0].endpoint == "r3");
  }
}

// Guards against the promotion of a replica in the zone that is asked for its
// position, and against one that lacks what only that replica has.
TEST_CASE("Synchronous replicas in an evacuated zone are heard, not promoted",
          "[fleet][guarantee]") {
  FailoverGroup group(1);
  group.Answer("p", ProbeResult::Kind::kLeads);
  SetZone(group, "p", "z1");
  SetZone(group, "r1", "z1");
  group.planner->SetEvacuatedZones({"z1"});
  group.Advance(milliseconds(20));
  group.Answer("r1", ProbeResult::Kind::kFollows, 9);
  group.Answer("r2", ProbeResult::Kind::kFollows, 8);
  group.Answer("r1", ProbeResult::Kind::kFollows, 9);  // fenced
  CHECK(group.orders.empty());
  group.Answer("r1", ProbeResult::Kind::kFollows, 9);
  group.Answer("r2", ProbeResult::Kind::kFollows, 9);
  group.Answer("r1", ProbeResult::Kind::kFollows, 9);
  REQUIRE(group.orders.size() == 1);
  CHECK(group.orders[0].endpoint == "r2");
}

// Guards against the promotion, after a repeated order, of an endpoint whose
// zone has been evacuated since.
TEST_CASE("An order for an endpoint of an evacuated zone is not repeated",
          "[fleet][guarantee]") {
  FailoverGroup group;
  group.SetRole("p", true, true);
  SetZone(group, "r2", "z1");
  group.Advance(milliseconds(20));
  group.Answer("r1", ProbeResult::Kind::kFollows, 7);
  group.Answer("r2", ProbeResult::Kind::kFollows, 9);
  REQUIRE(group.orders.size() == 1);
  REQUIRE(group.orders[0].endpoint == "r2");
  group.planner->SetEvacuatedZones({"z1"});
  group.Advance(milliseconds(400));
  group.Answer("r1", ProbeResult::Kind::kFollows, 7);
  REQUIRE(group.orders.size() == 2);
  CHECK(group.orders[1].endpoint == "r1");
  CHECK(group.orders[1].order > group.orders[0].order);
}

// Guards against a second order within milliseconds of the first, because the
// former primary's record still names it.
TEST_CASE("A primary in an evacuated zone is replaced by one order",
          "[fleet][guarantee]") {
  FailoverGroup group;
  group.Answer("p", ProbeResult::Kind::kLeads);
  group.now += milliseconds(10);
  SetZone(group, "p", "z1");
  group.planner->SetEvacuatedZones({"z1"});
  group.Advance(milliseconds(20));
  group.Answer("r1", ProbeResult::Kind::kFollows, 7);
  group.Answer("r2", ProbeResult::Kind::kFollows, 9);
  REQUIRE(group.orders.size() == 1);
  group.planner->OnPromotion(group.now, group.orders[0],
                             PromotionResult::kAccepted);
  group.now += milliseconds(30);
  group.probes.emplace_back("r2", ProbePurpose::kLeadership);
  group.Answer("r2", ProbeResult::Kind::kLeads, 9);
  group.probes.clear();
  for (int i = 0; i < 20; ++i) {
    group.Advance(milliseconds(50));
    for (const auto& [endpoint, purpose] : std::exchange(group.probes, {})) {
      CHECK(purpose == ProbePurpose::kLeadership);
      CHECK(endpoint == "r2");
    }
  }
  CHECK(group.orders.size() == 1);
}

}  // namespace goldcrest::fleet
