#include "goldcrest/fleet/controller.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>
#include <utility>

#include "controller_cluster.h"
#include "goldcrest/messages/codec.h"
#include "goldcrest/routing/document_codec.h"

namespace goldcrest::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = ConfigurationResult::Kind;

std::string OtherThan(const std::string& leader) {
  return leader == "a" ? "b" : "a";
}

}  // namespace

// Guards against an acknowledged configuration that is lost or replaced by an
// older version.
TEST_CASE("The highest acknowledged configuration is read back",
          "[fleet][guarantee]") {
  Cluster cluster(3);
  cluster.Run(seconds(3));
  const std::string leader = cluster.Leader();
  REQUIRE_FALSE(leader.empty());
  CHECK(cluster.Put(leader, 5).kind == Kind::kDone);

  SECTION("An older version is acknowledged and changes nothing") {
    CHECK(cluster.Put(leader, 4).kind == Kind::kDone);
    CHECK(cluster.nodes.at(leader)->Get(cluster.now).text == "5");
  }
  SECTION("The same version is acknowledged and changes nothing") {
    CHECK(cluster.Put(leader, 5).kind == Kind::kDone);
  }
  SECTION("A follower redirects to the leader") {
    const auto result = cluster.Put(OtherThan(leader), 9);
    CHECK(result.kind == Kind::kNotLeader);
    CHECK(result.leader == leader);
  }
  SECTION("It survives the loss of the leader and its disk") {
    cluster.Stop(leader);
    cluster.disks[leader] = {};
    cluster.Run(seconds(2));
    REQUIRE_FALSE(cluster.Leader().empty());
    cluster.Start(leader, false);
    cluster.Run(seconds(6));
    CHECK(cluster.nodes.at(cluster.Leader())->Get(cluster.now).text == "5");
    CHECK(cluster.nodes.at(leader)->state().text() == "5");
  }
  SECTION("It survives a restart of all controllers") {
    for (const char* name : {"a", "b", "c"})
      cluster.Stop(name);
    for (const char* name : {"a", "b", "c"})
      cluster.Start(name, false);
    cluster.Run(seconds(2));
    REQUIRE_FALSE(cluster.Leader().empty());
    CHECK(cluster.nodes.at(cluster.Leader())->Get(cluster.now).text == "5");
  }
  SECTION("A leader that is abandoned answers the calls that wait") {
    cluster.disconnected.insert(leader);
    std::vector<Kind> results;
    cluster.nodes.at(leader)->Put(
        cluster.now, 6, "6",
        [&](const ConfigurationResult& got) { results.push_back(got.kind); });
    cluster.Run(milliseconds(50));
    CHECK(results.empty());
    cluster.nodes.at(leader)->Abandon(cluster.now);
    CHECK(results == std::vector<Kind>{Kind::kUnknown});
  }
  SECTION("A disconnected leader neither answers nor acknowledges") {
    cluster.disconnected.insert(leader);
    cluster.Run(seconds(2));
    CHECK(cluster.nodes.at(leader)->Get(cluster.now).kind != Kind::kDone);
    CHECK(cluster.Put(leader, 6).kind != Kind::kDone);
    const std::string successor = cluster.Leader();
    REQUIRE_FALSE(successor.empty());
    CHECK(cluster.Put(successor, 7).kind == Kind::kDone);
    cluster.disconnected.clear();
    cluster.Run(seconds(2));
    CHECK(cluster.nodes.at(leader)->state().text() == "7");
  }
}

// Guards against an operator that asks one controller after another in vain,
// because most of a large fleet's controllers have no disk.
TEST_CASE("A controller without a disk names the leader", "[fleet]") {
  Cluster cluster(3);
  cluster.StartWithoutDisk("d");
  cluster.Run(seconds(3));
  const std::string leader = cluster.Leader();
  REQUIRE_FALSE(leader.empty());
  ConfigurationResult result = cluster.nodes.at("d")->Get(cluster.now);
  CHECK(result.kind == Kind::kNotLeader);
  CHECK(result.leader == leader);
  CHECK(cluster.Put("d", 5).leader == leader);

  SECTION("It names the next leader when that has taken over") {
    cluster.Stop(leader);
    cluster.Run(seconds(2));
    REQUIRE_FALSE(cluster.Leader().empty());
    result = cluster.nodes.at("d")->Get(cluster.now);
    CHECK(result.leader == cluster.Leader());
  }
  SECTION("It names none when no controller leads") {
    for (const char* name : {"a", "b", "c"})
      cluster.Stop(name);
    cluster.Run(seconds(2));
    CHECK(cluster.nodes.at("d")->Get(cluster.now).kind == Kind::kUnknown);
  }
}

// Guards against entries that get the configuration of a snapshot, and then
// each later one, from controllers that have restarted.
TEST_CASE("A restarted controller announces only the newest configuration",
          "[fleet][guarantee]") {
  Cluster cluster(3);
  cluster.Run(seconds(3));
  const std::string first = cluster.Leader();
  REQUIRE_FALSE(first.empty());
  // The first documents fill the log, so that a snapshot replaces it.
  const std::string padding(ControllerOptions().snapshot_log_bytes / 5, ' ');
  for (std::int64_t version = 1; version <= 5; ++version) {
    cluster.nodes.at(first)->Put(cluster.now, version,
                                 std::to_string(version) + padding,
                                 [](const ConfigurationResult&) {});
    cluster.Run(seconds(1));
  }
  for (std::int64_t version = 6; version <= 65; ++version)
    REQUIRE(cluster.Put(first, version).kind == Kind::kDone);
  for (const char* name : {"a", "b", "c"}) {
    REQUIRE(cluster.disks.at(name).snapshot.last_index > 0);
    cluster.Stop(name);
  }
  cluster.decoded = 0;
  for (const char* name : {"a", "b", "c"}) {
    cluster.Start(name, false);
    CHECK(cluster.nodes.at(name)->state().version() == 5);
  }
  messages::ProxyReport report;
  report.process = 1;
  report.first = true;
  report.wants_document = true;
  for (int i = 1; i < 40; ++i) {
    report.sent_micros = i;
    for (const char* name : {"a", "b", "c"})
      cluster.Report("entry", name, report);
    report.first = false;
  }
  REQUIRE_FALSE(cluster.Leader().empty());
  std::set<std::int64_t> announced;
  std::set<std::string> documents;
  for (const messages::ProxyUpdate& update : cluster.updates["entry"]) {
    announced.insert(update.document_version);
    if (update.__isset.document)
      documents.insert(routing::DecompressDocument(update.document).value());
  }
  CHECK(announced == std::set<std::int64_t>{0, 65});
  CHECK(documents == std::set<std::string>{"65"});
  // Only the leader needs what is in it.
  CHECK(cluster.decoded == 1);
}

// Guards against a follower that has missed changes and offers an entry that
// has just started what it has.
TEST_CASE("A controller that lags announces nothing older than it did before",
          "[fleet][guarantee]") {
  Cluster cluster(3);
  cluster.Run(seconds(3));
  const std::string leader = cluster.Leader();
  const std::string follower = OtherThan(leader);
  REQUIRE(cluster.Put(leader, 5).kind == Kind::kDone);
  cluster.Stop(follower);
  REQUIRE(cluster.Put(leader, 6).kind == Kind::kDone);
  cluster.disconnected.insert(follower);
  cluster.Start(follower, false);
  messages::ProxyReport report;
  report.process = 1;
  report.first = true;
  report.wants_document = true;
  report.sent_micros = 1;
  cluster.Report("entry", follower, report);
  CHECK(cluster.updates["entry"].empty());
  cluster.disconnected.clear();
  cluster.Report("entry", follower, report);
  cluster.Run(seconds(1));
  report.first = false;
  cluster.Report("entry", follower, report);
  for (const messages::ProxyUpdate& update : cluster.updates["entry"])
    CHECK((update.document_version == 0 || update.document_version == 6));
  CHECK(cluster.updates["entry"].back().document_version == 6);
}

// Guards against controllers that are no members of the log, but share a small
// instance with an entry, and have no processor time left under the links of
// hundreds of entries.
TEST_CASE("Entries are told of controllers with a disk only", "[fleet]") {
  Cluster cluster(3);
  cluster.StartWithoutDisk("d");
  cluster.StartWithoutDisk("e");
  cluster.Run(seconds(3));
  messages::ProxyReport report;
  report.process = 1;
  report.sent_micros = 1;
  report.first = true;
  for (const std::string controller : {"a", "d"}) {
    cluster.Report("entry", controller, report);
    const auto& told = cluster.updates["entry"].back().controllers;
    CHECK(std::set<std::string>(told.begin(), told.end()) ==
          std::set<std::string>{"a", "b", "c"});
  }
  CHECK(cluster.last_known["a"].count("d") == 1);
}

TEST_CASE("Entries learn of a new configuration and get it on request",
          "[fleet]") {
  Cluster cluster(3);
  cluster.Run(seconds(3));
  const std::string leader = cluster.Leader();
  messages::ProxyReport report;
  report.process = 1;
  report.sent_micros = 1;
  report.first = true;
  cluster.Report("entry", leader, report);
  REQUIRE(cluster.Put(leader, 5).kind == Kind::kDone);
  CHECK(cluster.updates["entry"].back().document_version == 5);
  report.first = false;
  report.wants_document = true;
  cluster.Report("entry", leader, report);
  CHECK(routing::DecompressDocument(cluster.updates["entry"].back().document) ==
        "5");
}

// Guards against an entry that misses a promotion while its link is down.
TEST_CASE("An entry on a new link gets all endpoints", "[fleet][guarantee]") {
  Cluster cluster(3);
  cluster.Run(seconds(3));
  const std::string leader = cluster.Leader();
  messages::EndpointRecord record;
  record.endpoint = "e1";
  record.group = "g";
  record.address = "10.0.0.1:1";
  record.primary = true;
  record.sequence = 1;
  cluster.nodes.at(OtherThan(leader))->OnHeartbeat(cluster.now, record);
  cluster.Run(milliseconds(200));
  messages::ProxyReport report;
  report.process = 1;
  report.sent_micros = 1;
  report.first = true;
  cluster.Report("entry", leader, report);
  CHECK(cluster.TakeEndpoints("entry") == 1);
  report.first = false;
  cluster.Report("entry", leader, report);
  CHECK(cluster.TakeEndpoints("entry") == 0);
  report.first = true;
  cluster.Report("entry", leader, report);
  CHECK(cluster.TakeEndpoints("entry") == 1);

  SECTION("Endpoints outlive a restart of all controllers") {
    for (const char* name : {"a", "b", "c"})
      cluster.Stop(name);
    for (const char* name : {"a", "b", "c"})
      cluster.Start(name, false);
    cluster.Run(seconds(2));
    CHECK(cluster.nodes.at("a")->directory().MembersOf("g").size() == 1);
  }
}

// Guards against an owner that gives out less than the limit's window allows.
TEST_CASE("Shares come from the bucket of the limit's window", "[fleet]") {
  Cluster cluster(3);
  cluster.Run(seconds(3));
  const std::string leader = cluster.Leader();
  REQUIRE(cluster.Put(leader, 5).kind == Kind::kDone);
  messages::ProxyReport report;
  report.process = 1;
  messages::ShareReport header;
  messages::ShareReport share;
  share.customer = "customer";
  share.demand_micros = 50 * quota::kRequestMicros;
  for (int i = 0; i < 20; ++i) {
    report.sent_micros = ToMicros(cluster.now);
    report.shares = {header, share};
    cluster.Report("entry", leader, report);
    cluster.Run(milliseconds(200));
    for (const messages::ProxyUpdate& update :
         std::exchange(cluster.updates["entry"], {})) {
      for (const messages::ShareUpdate& share_update : update.shares) {
        header.owner_term = share_update.owner_term;
        if (share_update.customer.empty())
          continue;
        share.owner_term = share_update.owner_term;
        share.share_sequence = share_update.share_sequence;
        share.rate_micros = share_update.rate_micros;
        share.capacity_micros = share_update.capacity_micros;
      }
    }
  }
  const quota::Limit limit = quota::LimitFor(100, 100, {});
  CHECK(share.rate_micros > 100 * quota::kRequestMicros);
  CHECK(share.rate_micros <= limit.rate_micros);
  CHECK(share.capacity_micros <= limit.burst_micros);
}

// Guards against two leaders that grant the reserves of limits within one
// window in which the use of a limit is judged, and against reserves that are
// never granted again.
TEST_CASE("The reserves of limits are granted once per grant interval",
          "[fleet][guarantee]") {
  Cluster cluster(3);
  cluster.Run(seconds(1));
  REQUIRE(cluster.Put(cluster.Leader(), 5).kind == Kind::kDone);
  CHECK(cluster.decisions["reserve_given_out"] == 0);
  for (int i = 0; i < 3; ++i) {
    const std::string leader = cluster.Leader();
    cluster.Stop(leader);
    cluster.Run(seconds(2));
    cluster.Start(leader, false);
    cluster.Run(milliseconds(300));
    CHECK(cluster.decisions["reserve_given_out"] == 1);
  }
  cluster.Run(quota::kReserveGrantInterval + seconds(1));
  CHECK(cluster.decisions["reserve_given_out"] == 1);
  cluster.Stop(cluster.Leader());
  cluster.Run(seconds(2));
  CHECK(cluster.decisions["reserve_given_out"] == 2);
}

// Guards against a new leader that has to assume that entries which it can't
// reach hold all of each limit.
TEST_CASE("All controllers know what entries may hold of a limit", "[fleet]") {
  Cluster cluster(3);
  cluster.Run(seconds(1));
  REQUIRE(cluster.Put(cluster.Leader(), 5).kind == Kind::kDone);
  cluster.Run(seconds(6));
  for (const auto& [name, node] : cluster.nodes)
    CHECK(node->state().share_bounds().at("customer") == 0);
  messages::FleetCommand command;
  messages::ShareBounds bounds;
  bounds.percents["customer"] = 100;
  command.__set_bounds(bounds);
  FleetState state;
  state.Apply(command, 1);
  CHECK(state.share_bounds().empty());
}

// Guards against entries that learn of a new leader only by their next report,
// up to two seconds later, and can't admit requests until then.
TEST_CASE("A new leader asks all entries for a report", "[fleet]") {
  Cluster cluster(3);
  cluster.Run(seconds(1));
  messages::ProxyReport report;
  report.process = 1;
  report.sent_micros = 1;
  report.first = true;
  for (const char* name : {"a", "b", "c"})
    cluster.Report("entry", name, report);
  cluster.updates["entry"].clear();
  cluster.Stop(cluster.Leader());
  cluster.Run(seconds(1));
  REQUIRE_FALSE(cluster.Leader().empty());
  CHECK(std::ranges::any_of(
      cluster.updates["entry"],
      [](const messages::ProxyUpdate& update) { return update.report_now; }));
}

// Guards against controllers that were added to the settings at run time and
// never receive a notice.
TEST_CASE("Controllers added to the settings later receive notices",
          "[fleet]") {
  Cluster cluster(3);
  cluster.Run(seconds(1));
  cluster.nodes.at("a")->AddControllers({"late"});
  CHECK(cluster.last_known["a"] ==
        std::set<std::string>{"a", "b", "c", "late"});
  cluster.Run(seconds(1));
  CHECK(cluster.notices_to["late"] > 0);
  CHECK(cluster.last_known["b"].count("late") == 1);
}

// Guards against a position that claims to cover commits that were acknowledged
// after the primary was asked.
TEST_CASE("A position is dated by a report received before the probe",
          "[fleet][guarantee]") {
  Cluster cluster(3);
  cluster.Run(seconds(3));
  const std::string leader = cluster.Leader();
  REQUIRE(cluster.Put(leader, 5).kind == Kind::kDone);
  messages::ProxyReport report;
  report.process = 1;
  const auto report_sent_at = [&](std::int64_t sent) {
    report.sent_micros = sent;
    cluster.updates["entry"].clear();
    cluster.Report("entry", leader, report);
    std::vector<messages::ConfirmedPosition> positions;
    for (const auto& update : cluster.updates["entry"])
      positions.insert(positions.end(), update.positions.begin(),
                       update.positions.end());
    return positions;
  };
  report_sent_at(100);
  const Time asked_at = cluster.now;
  cluster.Run(milliseconds(20));
  cluster.nodes.at(leader)->OnProbe(
      cluster.now, "g", "p",
      {ProbeResult::Kind::kLeads, LogPosition{3, 77}, asked_at});
  const auto positions = report_sent_at(200);
  REQUIRE(positions.size() == 1);
  CHECK(positions[0].report_sent_micros == 100);
  CHECK(positions[0].number == 77);
  CHECK(report_sent_at(300).empty());

  // Guards against reads on replicas that lag without a bound, because a
  // primary that tells no position passes for one with an empty log.
  ProbeResult without_position;
  without_position.kind = ProbeResult::Kind::kLeads;
  without_position.asked_at = cluster.now;
  cluster.Run(milliseconds(20));
  cluster.nodes.at(leader)->OnProbe(cluster.now, "g", "p", without_position);
  CHECK(report_sent_at(400).empty());
}

}  // namespace goldcrest::fleet
