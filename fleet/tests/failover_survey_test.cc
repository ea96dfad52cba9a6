#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

#include "failover_group.h"

namespace goldcrest::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = ProbeResult::Kind;

}  // namespace

// Guards against the promotion of a replica that lacks acknowledged commits,
// because the one that received them did not answer or was not asked.
TEST_CASE("A promotion waits for enough positions of synchronous replicas",
          "[fleet][guarantee]") {
  FailoverGroup group(1);

  SECTION("A replica that can't be reached holds it up") {
    group.FailFor(milliseconds(500));
    group.Answer("r1", Kind::kFollows, 7);
    for (int i = 0; i < 100; ++i) {
      group.Answer("r2", Kind::kUnreachable);
      group.Advance(milliseconds(50));
    }
    CHECK(group.orders.empty());
    group.Answer("r2", Kind::kFollows, 9);
    group.Answer("r1", Kind::kFollows, 7);  // fenced
    REQUIRE(group.orders.size() == 1);
    CHECK(group.orders[0].endpoint == "r2");
  }
  SECTION("An answer without a position holds it up") {
    group.FailFor(milliseconds(500));
    group.Answer("r1", Kind::kFollows, 7);
    group.Answer("r2", Kind::kUndetermined);
    group.Advance(milliseconds(100));
    CHECK(group.orders.empty());
    CHECK(group.probes.back().first == "r2");
    CHECK(group.probes.back().second == ProbePurpose::kPosition);
    group.Advance(seconds(1));
    CHECK(group.orders.empty());
  }
  SECTION("A draining replica's position counts") {
    group.SetRole("r2", false, true);
    group.FailFor(milliseconds(500));
    group.Answer("r1", Kind::kFollows, 7);
    CHECK(group.orders.empty());
    group.Answer("r2", Kind::kFollows, 9);
    group.Answer("r1", Kind::kFollows, 7);  // fenced
    REQUIRE(group.orders.size() == 1);
    CHECK(group.orders[0].endpoint == "r2");
  }
  SECTION("A replica that has left counts until its successor answers") {
    group.SetRole("r2", false, false, true);
    group.FailFor(milliseconds(500));
    group.Answer("r1", Kind::kFollows, 7);
    group.Advance(seconds(1));
    CHECK(group.orders.empty());
    group.SetRole("r2n", false);
    group.Advance(milliseconds(100));
    group.Answer("r2n", Kind::kFollows, 9);
    group.Answer("r1", Kind::kFollows, 7);  // fenced
    REQUIRE(group.orders.size() == 1);
    CHECK(group.orders[0].endpoint == "r2n");
  }
  SECTION("A replica that has left counts until another one has passed it") {
    group.Answer("p", Kind::kLeads, 5);
    group.SetRole("r2", false, false, true);
    group.Advance(seconds(1));
    group.Answer("p", Kind::kLeads, 8);
    group.Answer("p", Kind::kLeads, 11);
    group.FailFor(milliseconds(500));
    group.Answer("r1", Kind::kFollows, 7);
    group.Advance(seconds(1));
    CHECK(group.orders.empty());
    group.Advance(milliseconds(100));
    group.Answer("r1", Kind::kFollows, 8);
    REQUIRE(group.orders.size() == 1);
    CHECK(group.orders[0].endpoint == "r1");
  }
  SECTION("A position asked for before the survey does not count") {
    group.FailFor(milliseconds(500));
    ProbeResult late{Kind::kFollows, LogPosition{1, 9}, group.now - seconds(1),
                     ProbePurpose::kPosition};
    group.Answer("r1", Kind::kFollows, 7);
    group.planner->OnProbe(group.now, "g", "r2", late);
    group.Advance(seconds(1));
    CHECK(group.orders.empty());
  }
  SECTION("The primary ends the survey when it leads again") {
    group.FailFor(milliseconds(500));
    group.Answer("r1", Kind::kFollows, 7);
    group.Advance(milliseconds(500));
    group.Answer("p", Kind::kLeads, 9);
    group.Answer("r2", Kind::kFollows, 9);
    group.Advance(milliseconds(500));
    CHECK(group.orders.empty());
    CHECK(group.probes.back().first == "p");
    CHECK(group.probes.back().second == ProbePurpose::kLeadership);
  }
}

// Guards against commits that a primary acknowledges with another replica's
// receipt after the survey, before the promotion is in force.
TEST_CASE("The replicas that are not promoted are fenced before the order",
          "[fleet][guarantee]") {
  FailoverGroup group(1);
  group.SetRole("p", true, true);
  group.Advance(milliseconds(20));
  group.Answer("r1", Kind::kFollows, 8);
  group.Answer("r2", Kind::kFollows, 9);
  CHECK(group.orders.empty());
  CHECK(group.probes.back().first == "r1");
  CHECK(group.probes.back().second == ProbePurpose::kFence);

  SECTION("One that has not passed the candidate allows the promotion") {
    group.Answer("r1", Kind::kFollows, 9);
    REQUIRE(group.orders.size() == 1);
    CHECK(group.orders[0].endpoint == "r2");
  }
  SECTION("One that has passed the candidate starts the survey again") {
    group.Answer("r1", Kind::kFollows, 10);
    CHECK(group.orders.empty());
    group.Answer("r1", Kind::kFollows, 10);
    group.Answer("r2", Kind::kFollows, 11);
    group.Answer("r1", Kind::kFollows, 10);
    REQUIRE(group.orders.size() == 1);
    CHECK(group.orders[0].endpoint == "r2");
  }
  SECTION("An endpoint without the command does not prevent it") {
    group.Answer("r1", Kind::kUnsupported);
    CHECK(group.orders.size() == 1);
  }
  SECTION("It receives again once a primary leads and no order is under way") {
    group.Answer("r1", Kind::kFollows, 9);
    group.planner->OnPromotion(group.now, group.orders[0],
                               PromotionResult::kAccepted);
    group.Answer("r2", Kind::kLeads, 9);
    const auto unfenced = [&] {
      return std::ranges::any_of(group.probes, [](const auto& probe) {
        return probe.second == ProbePurpose::kUnfence;
      });
    };
    group.SetRole("r2", true);
    for (int i = 0; i < 120; ++i) {
      group.Advance(milliseconds(100));
      group.Answer("r2", Kind::kLeads, 9);
    }
    CHECK_FALSE(unfenced());
    for (int i = 0; i < 30; ++i) {
      group.Advance(milliseconds(100));
      group.Answer("r2", Kind::kLeads, 9);
    }
    CHECK(unfenced());
  }
}

// Guards against a promotion without the commits of a replica that leaves while
// its fence is under way: what it tells then is not counted.
TEST_CASE("A replica that leaves before it is fenced counts as silent",
          "[fleet][guarantee]") {
  FailoverGroup group(1);
  group.SetRole("p", true, true);
  group.SetRole("r1", false, true);
  group.Advance(milliseconds(20));
  group.Answer("r1", Kind::kFollows, 9);
  group.Answer("r2", Kind::kFollows, 8);
  REQUIRE(group.probes.back().second == ProbePurpose::kFence);
  group.SetRole("r1", false, true, true);
  group.Answer("r1", Kind::kFollows, 9);  // fenced
  CHECK(group.orders.empty());
  group.Advance(milliseconds(100));
  group.Answer("r2", Kind::kFollows, 8);
  group.Advance(seconds(1));
  CHECK(group.orders.empty());
}

// Guards against a commit that is acknowledged with the earlier receipt of a
// replica that has left and the receipt of one that is not fenced.
TEST_CASE("A replica that has left counts when the others are fenced",
          "[fleet][guarantee]") {
  FailoverGroup group(2);
  group.SetRole("r3", false);
  group.SetRole("r3", false, false, true);
  group.SetRole("p", true, true);
  group.Advance(milliseconds(20));
  group.Answer("r1", Kind::kFollows, 9);
  group.Answer("r2", Kind::kFollows, 8);
  group.Advance(milliseconds(400));
  CHECK(group.orders.empty());
  CHECK(group.probes.back().first == "r2");
  CHECK(group.probes.back().second == ProbePurpose::kFence);
  group.Answer("r2", Kind::kFollows, 8);
  REQUIRE(group.orders.size() == 1);
  CHECK(group.orders[0].endpoint == "r1");
}

// Guards against commits that are acknowledged with the receipt of a database
// that joins, restarts or is unfenced by a late order while another one is
// promoted.
TEST_CASE("The writes of a group are held from the fences to the new primary",
          "[fleet][guarantee]") {
  FailoverGroup group(1);
  group.writes_held = false;
  const auto was_asked_to_fence = [&] {
    return std::ranges::any_of(group.probes, [](const auto& probe) {
      return probe.second == ProbePurpose::kFence;
    });
  };
  group.SetRole("p", true, true);
  group.Advance(milliseconds(20));
  CHECK(group.holds.empty());
  group.Answer("r1", Kind::kFollows, 8);
  group.Answer("r2", Kind::kFollows, 9);
  REQUIRE(group.holds.size() == 1);
  CHECK(group.holds.back().active);
  CHECK(group.holds.back().endpoint == "r2");
  CHECK_FALSE(was_asked_to_fence());

  SECTION("Nobody is fenced before all entries hold them") {
    group.Advance(milliseconds(300));
    CHECK_FALSE(was_asked_to_fence());
    group.writes_held = true;
    group.Advance(milliseconds(20));
    CHECK(was_asked_to_fence());
  }
  SECTION("An entry that does not confirm delays the promotion by 0.4 s") {
    group.Advance(milliseconds(400));
    CHECK(group.decisions["writes_not_held"] == 1);
    CHECK(was_asked_to_fence());
  }
  SECTION("The hold is repeated, and lifted when the new primary leads") {
    group.writes_held = true;
    group.Advance(milliseconds(20));
    group.Answer("r1", Kind::kFollows, 9);
    REQUIRE(group.orders.size() == 1);
    group.Advance(milliseconds(500));
    REQUIRE(group.holds.size() == 2);
    CHECK(group.holds.back().active);
    CHECK(group.holds.back().number == group.holds.front().number);
    group.planner->OnPromotion(group.now, group.orders[0],
                               PromotionResult::kAccepted);
    CHECK(group.holds.back().active);
    group.Advance(milliseconds(20));
    group.Answer("r2", Kind::kLeads, 9);
    CHECK_FALSE(group.holds.back().active);
  }
  SECTION("It is lifted when the promotion is refused") {
    group.writes_held = true;
    group.Advance(milliseconds(20));
    group.Answer("r1", Kind::kFollows, 9);
    REQUIRE(group.orders.size() == 1);
    group.planner->OnPromotion(group.now, group.orders[0],
                               PromotionResult::kRefused);
    CHECK_FALSE(group.holds.back().active);
  }
}

TEST_CASE("Without synchronous replicas no writes are held", "[fleet]") {
  FailoverGroup group(0);
  group.SetRole("p", true, true);
  group.Advance(milliseconds(20));
  group.Answer("r1", Kind::kFollows, 8);
  group.Answer("r2", Kind::kFollows, 9);
  CHECK(group.orders.size() == 1);
  CHECK(group.holds.empty());
}

TEST_CASE("A draining replica is promoted only if no other one catches up",
          "[fleet]") {
  FailoverGroup group(1);
  group.SetRole("p", true, true);
  group.SetRole("r1", false, true);
  group.Advance(milliseconds(20));
  group.Answer("r1", Kind::kFollows, 9);
  group.Answer("r2", Kind::kFollows, 8);
  group.Answer("r1", Kind::kFollows, 9);  // fenced
  CHECK(group.orders.empty());
  group.Answer("r1", Kind::kFollows, 9);
  group.Answer("r2", Kind::kFollows, 9);
  group.Answer("r1", Kind::kFollows, 9);
  REQUIRE(group.orders.size() == 1);
  CHECK(group.orders[0].endpoint == "r2");
}

}  // namespace goldcrest::fleet
