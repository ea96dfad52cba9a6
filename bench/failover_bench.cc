#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "bench/bench.h"
#include "bench/fleet_setup.h"
#include "goldcrest/sessions/fleet.h"

namespace goldcrest::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Phase = coordinator::GroupCoordinator::Phase;

constexpr int kSeeds = 100;
constexpr int kEntries = 10;
constexpr int kControlMembers = 3;
constexpr Duration kWriteInterval = milliseconds(10);
constexpr Duration kTimeStep = milliseconds(1);
constexpr Duration kWritesBeforeFailure = seconds(2);
constexpr Duration kRecoveryTimeout = seconds(10);
constexpr Duration kTargetGap = seconds(2);
constexpr Duration kMaxGap = seconds(5);
constexpr const char* kGroup = "bookings";

struct Deployment {
  std::string_view name;
  Duration delay;
  int slots;
};

constexpr Deployment kDeployments[] = {
    {"Vandermeulen", milliseconds(5), 3},
    {"Ogbomoso", milliseconds(4), 2},
};

struct Scenario {
  std::string_view name;
  bool primary;
  bool control_leader;
  bool coordinator;
};

constexpr Scenario kScenarios[] = {
    {"primary", true, false, false},
    {"primary + control leader", true, true, false},
    {"primary + coordinator", true, false, true},
    {"coordinator", false, false, true},
    {"control leader", false, true, false},
};

// The gap in acknowledged writes around a failure, and its parts in order.
// After a failure that keeps the term, `total` is the longest gap between
// acknowledgements and the parts are not set.
struct Gap {
  // From the last acknowledgement to the failure.
  Duration ack_to_failure{};
  // From the failure to the proposal of a new primary.
  Duration detection{};
  // From the proposal to the logged term.
  Duration decision{};
  // From the logged term to the coordinator serving it.
  Duration promotion{};
  // From the coordinator serving to the first acknowledgement.
  Duration acknowledgement{};
  Duration total{};
  // Longest gap between acknowledgements before the failure.
  Duration longest_before_failure{};
  // Whether control leader and coordinator were on one instance.
  bool shared_instance = false;
};

// Writes at one entry of a fleet, causes a failure and records when the group
// reaches each stage of the recovery.
class FailoverRun {
 public:
  FailoverRun(const Deployment& deployment, std::uint32_t seed)
      : generator_(seed), fleet_(kEntries, kControlMembers) {
    fleet_.SetDelay(deployment.delay);
    started_ = StartFleet(fleet_, 1, deployment.slots, CustomerPolicy{});
    if (!started_)
      return;
    std::uniform_int_distribution<int> lag(5, 50);
    for (auto& [name, member] : fleet_.group(kGroup).members())
      member.lag = milliseconds(lag(generator_));
    // In half of the runs, restarts the first control leader or coordinator so
    // that another instance takes over its role.
    if (seed % 2 == 0)
      RestartInstance(seed % 4 == 0 ? fleet_.ControlLeader()
                                    : fleet_.CoordinatorOf(kGroup));
    std::uniform_int_distribution<int> offset(0, 999'999);
    failure_offset_ = std::chrono::microseconds(offset(generator_));
  }

  std::optional<Gap> Measure(const Scenario& scenario) {
    if (!started_)
      return std::nullopt;
    caller_entry_ = SelectCallerEntry();
    SendWrites(kWritesBeforeFailure + failure_offset_, [] { return false; });
    const std::string coordinator = fleet_.CoordinatorOf(kGroup);
    const std::string leader = fleet_.ControlLeader();
    if (coordinator.empty() || leader.empty() || !last_ack_at_)
      return std::nullopt;
    Gap gap;
    gap.longest_before_failure = longest_gap_;
    gap.shared_instance = coordinator == leader;
    old_term_ = TermOf(coordinator);
    const Time failed_at = fleet_.now();
    if (scenario.primary)
      fleet_.KillEndpoint(fleet_.PrimaryOf(kGroup));
    if (scenario.control_leader)
      fleet_.Kill(leader);
    if (scenario.coordinator &&
        fleet_.entry(coordinator).coordinators().contains(kGroup))
      fleet_.Kill(coordinator);
    killed_instances_ = {scenario.control_leader ? leader : "",
                         scenario.coordinator ? coordinator : ""};
    // Until a coordinator serves the new term, answers that were in transit at
    // the failure count as the old primary's.
    const bool new_term_expected = scenario.primary || scenario.coordinator;
    if (!new_term_expected) {
      longest_gap_ = Duration(0);
      SendWrites(seconds(5), [] { return false; });
      gap.total = longest_gap_;
      return gap;
    }
    const bool recovered =
        SendWrites(kRecoveryTimeout, [&] { return first_ack_at_.has_value(); });
    if (!recovered || !proposed_at_ || !logged_at_ || !serving_at_)
      return std::nullopt;
    gap.ack_to_failure = failed_at - *last_ack_at_;
    gap.detection = *proposed_at_ - failed_at;
    gap.decision = *logged_at_ - *proposed_at_;
    gap.promotion = *serving_at_ - *logged_at_;
    gap.acknowledgement = *first_ack_at_ - *serving_at_;
    gap.total = *first_ack_at_ - *last_ack_at_;
    return gap;
  }

 private:
  void RestartInstance(const std::string& name) {
    if (name.empty())
      return;
    fleet_.Kill(name);
    fleet_.Run(seconds(4));
    fleet_.Restart(name);
    fleet_.Run(seconds(4));
  }

  // Selects an entry that no scenario kills: callers of a lost instance have to
  // reconnect elsewhere, and the gap is measured for the other callers.
  std::string SelectCallerEntry() {
    std::vector<std::string> others = fleet_.instances();
    const std::string coordinator = fleet_.CoordinatorOf(kGroup);
    const std::string leader = fleet_.ControlLeader();
    std::erase_if(others, [&](const std::string& name) {
      return name == coordinator || name == leader;
    });
    return others.back();
  }

  std::int64_t TermOf(const std::string& instance) {
    return fleet_.entry(instance).coordinators().at(kGroup)->term();
  }

  // Sends a write each 10 ms and records the progress of the group until `done`
  // returns true or `length` has passed. Returns whether `done` did.
  template <typename Done>
  bool SendWrites(Duration length, const Done& done) {
    const Time end = fleet_.now() + length;
    while (fleet_.now() < end) {
      if (fleet_.now() >= next_write_) {
        entry::CallerRequest request = MakeWrite(0, kGroup);
        request.request_id = fmt::format("w{}", ++writes_sent_);
        pending_writes_.push_back(request.request_id);
        fleet_.Call(request.request_id, caller_entry_, request);
        next_write_ = fleet_.now() + kWriteInterval;
      }
      fleet_.Run(kTimeStep);
      RecordGroupProgress();
      CollectAnswers();
      if (done())
        return true;
    }
    return false;
  }

  void RecordGroupProgress() {
    if (old_term_ == 0)
      return;
    for (const std::string& name : fleet_.instances()) {
      if (std::ranges::count(killed_instances_, name) > 0)
        continue;
      const auto& all = fleet_.entry(name).coordinators();
      const auto it = all.find(kGroup);
      if (it == all.end())
        continue;
      const Phase phase = it->second->phase();
      if (phase == Phase::kProposing && !proposed_at_)
        proposed_at_ = fleet_.now();
      if (it->second->term() > old_term_ && !logged_at_)
        logged_at_ = fleet_.now();
      if (it->second->term() > old_term_ && phase == Phase::kServing &&
          !serving_at_)
        serving_at_ = fleet_.now();
    }
  }

  void CollectAnswers() {
    std::erase_if(pending_writes_, [&](const std::string& label) {
      const entry::CallerAnswer* answer = fleet_.AnswerTo(label);
      if (answer == nullptr)
        return false;
      if (answer->code != ResultCode::kOk)
        return true;
      // Once a coordinator serves the new term, acknowledgements are the new
      // primary's.
      if (serving_at_) {
        if (!first_ack_at_)
          first_ack_at_ = fleet_.now();
        return true;
      }
      if (last_ack_at_)
        longest_gap_ = std::max(longest_gap_, fleet_.now() - *last_ack_at_);
      last_ack_at_ = fleet_.now();
      return true;
    });
  }

  std::mt19937 generator_;
  sessions::Fleet fleet_;
  bool started_ = false;
  Duration failure_offset_{};
  std::string caller_entry_;
  std::vector<std::string> pending_writes_;
  std::vector<std::string> killed_instances_;
  int writes_sent_ = 0;
  Time next_write_;
  std::int64_t old_term_ = 0;
  Duration longest_gap_{};
  std::optional<Time> last_ack_at_;
  std::optional<Time> proposed_at_;
  std::optional<Time> logged_at_;
  std::optional<Time> serving_at_;
  std::optional<Time> first_ack_at_;
};

double Millis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Prints one run, chosen by its rank in the order of the total gaps. `name` is
// the deployment and the scenario, separated by a slash.
void PrintRow(std::string_view name,
              std::string_view quantile,
              const Gap& gap) {
  fmt::print(
      "{:<13} {:<25} {:>6} | {:>7.0f} | {:>7.0f} {:>7.0f} {:>7.0f} "
      "{:>7.0f} {:>7.0f} | {:>7.0f}\n",
      name.substr(0, name.find('/')), name.substr(name.find('/') + 1), quantile,
      Millis(gap.total), Millis(gap.ack_to_failure), Millis(gap.detection),
      Millis(gap.decision), Millis(gap.promotion), Millis(gap.acknowledgement),
      Millis(gap.longest_before_failure));
}

bool MeasureScenario(const Deployment& deployment, const Scenario& scenario) {
  std::vector<Gap> gaps;
  int unfinished = 0;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    const auto gap = FailoverRun(deployment, seed).Measure(scenario);
    if (gap)
      gaps.push_back(*gap);
    else
      ++unfinished;
  }
  if (gaps.empty()) {
    fmt::print("{} {}: no run ended\n", deployment.name, scenario.name);
    return false;
  }
  std::ranges::sort(gaps, {}, &Gap::total);
  const std::string name = fmt::format("{}/{}", deployment.name, scenario.name);
  PrintRow(name, "p50", gaps[gaps.size() / 2]);
  PrintRow(name, "p99", gaps[gaps.size() * 99 / 100 - 1]);
  PrintRow(name, "worst", gaps.back());
  const auto count_reaching = [&](Duration bound) {
    return std::ranges::count_if(
        gaps, [&](const Gap& gap) { return gap.total >= bound; });
  };
  fmt::print(
      "{:<13} {} runs, {} over 2 s, {} over 5 s, {} not ended; leader "
      "and coordinator on one instance in {}\n",
      "", gaps.size(), count_reaching(kTargetGap), count_reaching(kMaxGap),
      unfinished, std::ranges::count_if(gaps, &Gap::shared_instance));
  return unfinished == 0 && count_reaching(kMaxGap) == 0;
}

}  // namespace

int RunFailover() {
  fmt::print(
      "Gap in acknowledged writes, in ms: one write each 10 ms, {} seeds\n"
      "(the parts are those of the run in the column; 'quiet' is the longest "
      "gap of that run before the failure)\n\n"
      "{:<13} {:<25} {:>6} | {:>7} | {:>7} {:>7} {:>7} {:>7} {:>7} | {:>7}\n",
      kSeeds, "deployment", "lost", "", "gap", "before", "detect", "decide",
      "promote", "ack", "quiet");
  bool passed = true;
  for (const Deployment& deployment : kDeployments) {
    for (const Scenario& scenario : kScenarios)
      passed = MeasureScenario(deployment, scenario) && passed;
  }
  return passed ? 0 : 1;
}

}  // namespace goldcrest::bench
