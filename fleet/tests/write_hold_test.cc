// The hold of a group's writes, from the leading controller to the entries.

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>

#include "controller_cluster.h"

namespace goldcrest::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A controller that leads, two entries and a group with a synchronous replica.
class HoldingCluster {
 public:
  HoldingCluster() : cluster(1) {
    cluster.groups["g"] = {"g", 20, 1};
    cluster.probe = [this](const messages::EndpointRecord& record,
                           ProbePurpose purpose) {
      ProbeResult result{ProbeResult::Kind::kFollows, LogPosition{1, 5},
                         cluster.now, purpose};
      if (purpose == ProbePurpose::kLeadership && record.endpoint == "p")
        result.kind = ProbeResult::Kind::kLeads;
      return result;
    };
    cluster.Run(seconds(3));
    cluster.Put("a", 5);
    Report("entry1", 0);
    Report("entry2", 0);
    Beat("r1", false);
    Beat("r2", false);
    Beat("p", false);
    cluster.Run(seconds(1));
  }

  void Beat(const std::string& endpoint, bool draining) {
    messages::EndpointRecord record;
    record.endpoint = endpoint;
    record.group = "g";
    record.address = "10.0.0." + std::to_string(endpoint.back()) + ":1";
    record.zone = "z1";
    record.primary = endpoint == "p";
    record.draining = draining;
    record.started_ms = 1;
    record.sequence = ++sequence_;
    cluster.nodes.at("a")->OnHeartbeat(cluster.now, record);
  }

  //! `hold`: the number of the hold that the entry confirms; 0 for none.
  void Report(const std::string& entry, std::int64_t hold) {
    messages::ProxyReport report;
    report.process = 1;
    if (hold != 0)
      report.held_writes["g"] = hold;
    cluster.Report(entry, "a", report);
  }

  //! The number of the newest hold that the entry was told of; 0 for none.
  std::int64_t HoldToldTo(const std::string& entry) {
    std::int64_t number = 0;
    for (const messages::ProxyUpdate& update : cluster.updates[entry]) {
      for (const messages::WriteHold& hold : update.write_holds)
        number = hold.active ? hold.number : 0;
    }
    return number;
  }

  Cluster cluster;

 private:
  std::int64_t sequence_ = 0;
};

}  // namespace

// Guards against an order that is given while an entry still sends commits.
TEST_CASE("A promotion is ordered once every entry holds the writes",
          "[fleet][guarantee]") {
  HoldingCluster group;
  CHECK(group.HoldToldTo("entry1") == 0);
  group.Beat("p", true);
  group.cluster.Run(milliseconds(60));
  const std::int64_t hold = group.HoldToldTo("entry1");
  REQUIRE(hold != 0);
  CHECK(group.HoldToldTo("entry2") == hold);
  group.Report("entry1", hold);
  CHECK(group.cluster.promotions == 0);

  SECTION("The last entry confirms") {
    group.Report("entry2", hold);
    CHECK(group.cluster.promotions == 1);
  }
  SECTION("The other one confirms an earlier hold only") {
    group.Report("entry2", hold - 1);
    CHECK(group.cluster.promotions == 0);
  }
  SECTION("The link to the other one is lost") {
    group.cluster.nodes.at("a")->OnLink("entry2", false);
    group.cluster.Run(milliseconds(50));
    CHECK(group.cluster.promotions == 1);
  }
  SECTION("An entry that connects now is told, and waited for") {
    group.Report("entry3", 0);
    CHECK(group.HoldToldTo("entry3") == hold);
    group.Report("entry2", hold);
    CHECK(group.cluster.promotions == 0);
    group.Report("entry3", hold);
    CHECK(group.cluster.promotions == 1);
  }
}

}  // namespace goldcrest::fleet
