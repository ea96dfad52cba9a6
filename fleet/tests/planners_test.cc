#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "failover_group.h"
#include "goldcrest/fleet/membership_planner.h"

namespace goldcrest::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Members = std::vector<std::string>;

constexpr Time kStart = TimeFromMicros(100'000'000);

}  // namespace

// Guards against a promotion that only the leader's probes call for, because
// entries that reach the primary have no report due.
TEST_CASE(
    "Entries are asked to report when the leader fails to reach a primary",
    "[fleet]") {
  FailoverGroup group;
  group.Answer("p", ProbeResult::Kind::kLeads);
  CHECK(group.contact_requests == 0);
  group.Answer("p", ProbeResult::Kind::kUnreachable);
  group.Answer("p", ProbeResult::Kind::kUnreachable);
  CHECK(group.contact_requests == 2);
}

TEST_CASE("A lost primary is replaced by the replica that has received most",
          "[fleet][guarantee]") {
  FailoverGroup group;
  group.FailFor(milliseconds(500));
  REQUIRE(group.orders.empty());
  group.Answer("r1", ProbeResult::Kind::kFollows, 7);
  group.Answer("r2", ProbeResult::Kind::kFollows, 9);
  REQUIRE(group.orders.size() == 1);
  CHECK(group.orders[0].endpoint == "r2");

  SECTION("An order without an answer is sent again under its number") {
    group.planner->OnPromotion(group.now, group.orders[0],
                               PromotionResult::kUnanswered);
    group.Advance(milliseconds(400));
    REQUIRE(group.orders.size() == 2);
    CHECK(group.orders[1].order == group.orders[0].order);
  }
  SECTION("A refused order leads to another one under a higher number") {
    group.planner->OnPromotion(group.now, group.orders[0],
                               PromotionResult::kRefused);
    group.Answer("r1", ProbeResult::Kind::kFollows, 7);
    group.Answer("r2", ProbeResult::Kind::kFollows, 9);
    REQUIRE(group.orders.size() == 2);
    CHECK(group.orders[1].endpoint == "r1");
    CHECK(group.orders[1].order > group.orders[0].order);
  }
  SECTION("Entries are notified once the platform has accepted it") {
    group.planner->OnPromotion(group.now, group.orders[0],
                               PromotionResult::kAccepted);
    REQUIRE(group.assigned.size() == 1);
    CHECK(group.planner->Assignments().size() == 1);
    group.Answer("r2", ProbeResult::Kind::kLeads, 9);
    group.Advance(seconds(1));
    CHECK(group.orders.size() == 1);
  }
}

// Guards against a promotion when only the controller can't reach the primary.
TEST_CASE("A primary that entries reach is not replaced",
          "[fleet][guarantee]") {
  FailoverGroup group;
  for (int i = 0; i < 20; ++i) {
    group.Report("e1", 10, 0);
    group.FailFor(milliseconds(100));
  }
  CHECK(group.orders.empty());
  CHECK(std::ranges::none_of(group.probes, [](const auto& probe) {
    return probe.second == ProbePurpose::kPosition;
  }));
}

TEST_CASE("A primary that most entries can't reach is replaced", "[fleet]") {
  FailoverGroup group;
  for (int i = 0; i < 15; ++i) {
    group.Report("e1", 10, 0);
    for (const char* entry : {"e2", "e3", "e4", "e5", "e6"})
      group.Report(entry, 2000 + 100 * i, 1 + 100 * i);
    group.Answer("p", ProbeResult::Kind::kLeads);
    group.Advance(milliseconds(100));
  }
  CHECK(std::ranges::any_of(group.probes, [](const auto& probe) {
    return probe.second == ProbePurpose::kPosition;
  }));
}

// Guards against the promotion of a replica beside a running primary, because
// an odd entry of another writer calls itself primary as well.
TEST_CASE("An endpoint that only claims to lead does not cause a promotion",
          "[fleet][guarantee]") {
  FailoverGroup group;
  const bool seen_first = GENERATE(true, false);
  if (seen_first) {
    // A new leader finds both, the odd one newer.
    group.now += milliseconds(1);
    group.SetRole("odd", true);
    FailoverHooks hooks;
    hooks.probe = [&](const auto& entry, ProbePurpose purpose) {
      group.probes.emplace_back(entry.record.endpoint, purpose);
    };
    hooks.promote = [&](const auto& order) { group.orders.push_back(order); };
    hooks.assigned = [](const auto&) {};
    hooks.hold_writes = [](const auto&) {};
    hooks.are_writes_held = [](const auto&) { return true; };
    hooks.request_contacts = [] {};
    hooks.log_decision = [](const auto&, const auto&, const auto&,
                            const auto&) {};
    group.planner = std::make_unique<FailoverPlanner>(group.now, 4,
                                                      &group.directory, hooks);
    group.planner->SetGroups(group.now, {{"g", 0}});
  } else {
    group.Answer("p", ProbeResult::Kind::kLeads);
    group.SetRole("odd", true);
  }
  const auto odd_answer =
      GENERATE(ProbeResult::Kind::kUnreachable, ProbeResult::Kind::kFollows);
  for (int i = 0; i < 200; ++i) {
    group.Advance(milliseconds(50));
    for (const auto& [endpoint, purpose] : std::exchange(group.probes, {})) {
      CHECK(purpose == ProbePurpose::kLeadership);
      group.Answer(endpoint,
                   endpoint == "p" ? ProbeResult::Kind::kLeads : odd_answer);
    }
  }
  CHECK(group.orders.empty());
}

// Guards against a second order within milliseconds of the first, because the
// record of the former primary still names it until its next heartbeat.
TEST_CASE("A promotion that is in force is ordered once",
          "[fleet][guarantee]") {
  FailoverGroup group;
  group.Answer("p", ProbeResult::Kind::kLeads);
  group.now += milliseconds(10);
  group.SetRole("p", true, true);
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

TEST_CASE("A draining primary is replaced", "[fleet]") {
  FailoverGroup group;
  group.SetRole("p", true, true);
  group.Advance(milliseconds(20));
  group.Answer("r1", ProbeResult::Kind::kFollows, 9);
  group.Answer("r2", ProbeResult::Kind::kUnreachable);
  REQUIRE(group.orders.size() == 1);
  CHECK(group.orders[0].endpoint == "r1");
  CHECK(group.orders[0].order > 300'000);
}

// Guards against a second promotion some 30 ms after the first: the replaced
// endpoint calls itself primary until its next heartbeat.
TEST_CASE("A promotion in force is not followed by another order",
          "[fleet][guarantee]") {
  FailoverGroup group;
  SECTION("The replaced primary drains") {
    group.SetRole("p", true, true);
    group.Advance(milliseconds(20));
  }
  SECTION("The replaced primary is lost") {
    group.Answer("p", ProbeResult::Kind::kLeads);
    group.FailFor(milliseconds(600));
  }
  group.Answer("r1", ProbeResult::Kind::kFollows, 9);
  group.Answer("r2", ProbeResult::Kind::kFollows, 8);
  REQUIRE(group.orders.size() == 1);
  group.planner->OnPromotion(group.now, group.orders[0],
                             PromotionResult::kAccepted);
  // The heartbeats with the new roles come a second later.
  for (int i = 0; i < 50; ++i) {
    group.Advance(milliseconds(20));
    for (const auto& [endpoint, purpose] : std::exchange(group.probes, {})) {
      auto kind = ProbeResult::Kind::kFollows;
      if (endpoint == "p")
        kind = ProbeResult::Kind::kUnreachable;
      else if (purpose == ProbePurpose::kLeadership)
        kind = ProbeResult::Kind::kLeads;
      group.planner->OnProbe(
          group.now, "g", endpoint,
          ProbeResult{kind, LogPosition{1, 9}, group.now, purpose});
    }
  }
  CHECK(group.orders.size() == 1);
}

TEST_CASE("A primary that fails for a short time is not replaced", "[fleet]") {
  FailoverGroup group;
  group.Answer("p", ProbeResult::Kind::kUnreachable);
  group.Advance(milliseconds(300));
  group.Answer("p", ProbeResult::Kind::kLeads);
  group.FailFor(milliseconds(400));
  CHECK(std::ranges::none_of(group.probes, [](const auto& probe) {
    return probe.second == ProbePurpose::kPosition;
  }));
}

// Guards against a member that lost its vote with its disk and still counts.
TEST_CASE("The membership follows lost disks and new controllers",
          "[fleet][guarantee]") {
  MembershipView view;
  view.self = "a";
  view.members = {"a", "b", "c"};
  view.peers["b"] = {kStart, true, false};
  view.peers["c"] = {kStart, true, false};
  CHECK_FALSE(NextMembership(kStart, view));

  SECTION("A member without its log is removed, then added") {
    view.peers["c"].joining = true;
    CHECK(NextMembership(kStart, view) == Members{"a", "b"});
    view.members = {"a", "b"};
    CHECK(NextMembership(kStart, view) == Members{"a", "b", "c"});
  }
  SECTION("A new controller is added, then the silent member is removed") {
    view.peers["d"] = {kStart + seconds(10), true, true};
    view.peers["b"].heard_at = kStart + seconds(10);
    const Time now = kStart + seconds(10);
    CHECK(NextMembership(now, view) == Members{"a", "b", "c", "d"});
    view.members = {"a", "b", "c", "d"};
    // The next notice of "d" may have been sent before it was admitted.
    view.changed_at = now;
    CHECK(NextMembership(now, view) == Members{"a", "b", "d"});
    view.peers["d"].joining = false;
    CHECK(NextMembership(now, view) == Members{"a", "b", "d"});
  }
  SECTION("A draining member is removed at once if there is a replacement") {
    view.peers["c"].draining = true;
    CHECK_FALSE(NextMembership(kStart, view));
    view.members = {"a", "b", "c", "d"};
    view.peers["d"] = {kStart, true, false};
    CHECK(NextMembership(kStart, view) == Members{"a", "b", "d"});
    // It is not added again before it has restarted.
    view.members = {"a", "b", "d"};
    CHECK_FALSE(NextMembership(kStart, view));
    view.peers["c"].draining = false;
    CHECK(NextMembership(kStart, view) == Members{"a", "b", "d", "c"});
  }
  SECTION("A silent member makes room for an addition that was refused") {
    view.peers["d"] = {kStart + seconds(10), true, true};
    view.peers["b"].heard_at = kStart + seconds(10);
    view.addition_refused = true;
    CHECK(NextMembership(kStart + seconds(10), view) == Members{"a", "b"});
    view.peers["c"].heard_at = kStart + seconds(10);
    CHECK(NextMembership(kStart + seconds(10), view) ==
          Members{"a", "b", "c", "d"});
  }
  SECTION("A silent member stays while there is no replacement") {
    view.peers["b"].heard_at = kStart + seconds(60);
    CHECK_FALSE(NextMembership(kStart + seconds(60), view));
  }
  SECTION("A controller without a disk is never a member") {
    view.peers["d"] = {kStart, false, true};
    CHECK_FALSE(NextMembership(kStart, view));
  }
}

}  // namespace goldcrest::fleet
