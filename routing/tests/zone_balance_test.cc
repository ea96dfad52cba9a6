#include "goldcrest/routing/zone_balance.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <functional>

namespace goldcrest::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntries = 100;
constexpr Duration kStep = milliseconds(100);
constexpr Duration kFigureDelay = seconds(1);
constexpr Duration kWork = milliseconds(15);
constexpr Duration kRoundTrip = milliseconds(10);
constexpr double kServedPerStep = 4 * 0.1 / 0.015;  // 4 slots, 15 ms of work
constexpr double kMaxQueue = 100;
const std::vector<std::string> kZones = {"a", "b", "c", "d"};
const std::vector<ZoneMember> kMembers = {{"a", 4, false},
                                          {"b", 4, false},
                                          {"c", 4, false}};

Route MakeRoute() {
  Route route;
  route.group = "g";
  route.consistency = Consistency::kBoundedStaleness;
  route.target_latency = milliseconds(600);
  return route;
}

// Entries of zone `a` that decide independently on what endpoints showed
// kFigureDelay ago. Each zone has one endpoint with a bounded queue, and the
// zones other than `a` have a steady load of their own.
struct ZoneRun {
  using Choose = std::function<std::string(Time, std::size_t entry)>;
  using Learn = std::function<
      void(Time, std::size_t, const std::string&, Duration, bool)>;

  void Run(Duration length,
           double load,
           double others_load,
           const Choose& choose,
           const Learn& learn) {
    double due = 0;
    std::size_t sender = 0;
    const Time end = now + length;
    for (; now < end; now += kStep) {
      std::map<std::string, double> arrivals;
      for (const std::string& zone : kZones)
        arrivals[zone] = zone == "a" ? 0 : others_load * kServedPerStep;
      std::vector<std::pair<std::size_t, std::string>> sent;
      due += load * kServedPerStep;
      while (due >= 1) {
        due -= 1;
        const std::size_t entry = sender++ % kEntries;
        sent.emplace_back(entry, choose(now, entry));
        ++arrivals[sent.back().second];
        ++this->sent[sent.back().second];
      }
      double left = 0;
      for (const auto& [entry, zone] : sent)
        left += zone == "a" ? 0 : 1;
      away.push_back(sent.empty() ? 0
                                  : left / static_cast<double>(sent.size()));
      for (const std::string& zone : kZones) {
        const double offered = queue[zone] + arrivals[zone] - kServedPerStep;
        queue[zone] = std::clamp(offered, 0.0, kMaxQueue);
        const double refused =
            std::max(0.0, offered - kMaxQueue) / std::max(1.0, arrivals[zone]);
        Duration latency = kWork + Duration(static_cast<Duration::rep>(
                                       queue[zone] / kServedPerStep *
                                       static_cast<double>(kStep.count())));
        if (zone != "a")
          latency += kRoundTrip;
        history[zone].push_back({latency, refused});
      }
      // Answers that arrive now show the endpoints as they were before.
      const auto delay = static_cast<std::size_t>(kFigureDelay / kStep);
      for (const auto& [entry, zone] : sent) {
        const auto& past = history[zone];
        if (past.size() <= delay)
          continue;
        const auto& [latency, part] = past[past.size() - 1 - delay];
        refusals += part;
        const bool is_refused = refusals >= 1;
        refusals -= is_refused ? 1 : 0;
        learn(now, entry, zone, latency, is_refused);
      }
    }
  }

  // Lowest and highest part that left zone `a` in any second of the last 30 s.
  std::pair<double, double> RangeOfAway() const {
    std::pair<double, double> range{1, 0};
    for (std::size_t first = away.size() - 300; first < away.size();
         first += 10) {
      double sum = 0;
      for (std::size_t i = 0; i < 10; ++i)
        sum += away[first + i] / 10;
      range = {std::min(range.first, sum), std::max(range.second, sum)};
    }
    return range;
  }

  Time now = TimeFromMicros(100'000'000);
  double refusals = 0;
  std::vector<double> away;            // part of what was sent, by step
  std::map<std::string, double> sent;  // statements, by zone
  std::map<std::string, double> queue;
  std::map<std::string, std::vector<std::pair<Duration, double>>> history;
};

struct BalancedEntries {
  explicit BalancedEntries(std::vector<ZoneMember> group_members)
      : members(std::move(group_members)) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      ZoneBalanceOptions options;
      options.zone = "a";
      options.salt = i * 7'919;
      options.on_change = [this](const ShareChange& change) {
        ++changes;
        last_change = Describe(change);
      };
      balances.emplace_back(options);
    }
  }

  void Run(Duration length, double load, double others_load) {
    std::set<std::string> allowed;
    for (const ZoneMember& member : members)
      allowed.insert(member.zone);
    run.Run(
        length, load, others_load,
        [&](Time now, std::size_t entry) {
          return balances[entry].ChooseZone(now, MakeRoute(), members, allowed);
        },
        [&](Time now, std::size_t entry, const std::string& zone,
            Duration latency, bool refused) {
          if (refused)
            balances[entry].OnRefused(now, "g", zone);
          else
            balances[entry].OnAnswer(now, "g", zone, latency, 200);
        });
  }

  ZoneRun run;
  std::vector<ZoneMember> members;
  std::vector<ZoneBalance> balances;
  std::size_t changes = 0;
  std::string last_change;
};

}  // namespace

// Guards against statements that pay for another zone while their own one is
// loaded as it usually is.
TEST_CASE("At a load below its capacity nothing leaves a zone", "[routing]") {
  BalancedEntries entries(kMembers);
  entries.Run(seconds(60), 0.95, 0.8);
  CHECK(entries.run.RangeOfAway() == std::pair(0.0, 0.0));
  CHECK(entries.changes == kEntries);  // The first shares of each entry.
}

// Guards against entries that all switch to another zone and back, because none
// sees what the others do and all figures are late. A fixed cost for other
// zones sends between none and all statements away at 2 x the capacity.
TEST_CASE("Above the capacity what leaves is what the zone can't serve",
          "[routing]") {
  const double load = GENERATE(1.1, 1.5, 2.0);
  const double others_load = GENERATE(0.0, 0.4);
  CAPTURE(load, others_load);
  BalancedEntries entries(kMembers);
  entries.Run(seconds(60), load, others_load);
  const std::size_t changes_before = entries.changes;
  entries.Run(seconds(30), load, others_load);
  const auto [low, high] = entries.run.RangeOfAway();
  const double needed = 1 - 1 / load;
  CHECK(low > needed - 0.06);
  CHECK(high < needed + 0.06);
  // At most one change in five seconds for an entry.
  CHECK(entries.changes - changes_before < kEntries * 30 / 5);
  CHECK_THAT(entries.last_change,
             Catch::StartsWith("bounded_staleness, limit 150.0 ms, traffic ") &&
                 Catch::Contains("; a from ") && Catch::Contains(", age "));
  entries.Run(seconds(90), 0.8, others_load);
  CHECK(entries.run.RangeOfAway() == std::pair(0.0, 0.0));
}

// Guards against reads that all go to the first or nearest zone when their own
// zone has no endpoint of the group.
TEST_CASE("Reads of a zone without endpoints are spread by free capacity",
          "[routing]") {
  BalancedEntries entries({{"b", 4, false}, {"c", 4, false}, {"d", 4, true}});
  entries.Run(seconds(60), 1.2, 0.3);
  const double b = entries.run.sent["b"];
  const double c = entries.run.sent["c"];
  CHECK(entries.run.sent["d"] == 0);  // The primary is no better off.
  CHECK(std::max(b, c) < 1.1 * std::min(b, c));
}

TEST_CASE(
    "What has left a zone stays away while figures are missing, then "
    "returns",
    "[routing]") {
  BalancedEntries entries(kMembers);
  entries.Run(seconds(60), 1.5, 0);
  ZoneBalance& balance = entries.balances[0];
  const auto share_of_own = [&](Duration silence) {
    int own = 0;
    for (int i = 0; i < 100; ++i)
      own += balance.ChooseZone(entries.run.now + silence, MakeRoute(),
                                kMembers, {"a", "b", "c"}) == "a";
    return own;
  };
  const int before = share_of_own(Duration::zero());
  CHECK(std::abs(before - 67) <= 10);
  CHECK(std::abs(share_of_own(seconds(4)) - before) <= 5);
  for (int s = 6; s < 60; ++s)
    share_of_own(seconds(s));
  CHECK(share_of_own(seconds(60)) == 100);
}

}  // namespace goldcrest::routing
