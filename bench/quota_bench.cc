#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "bench/bench.h"
#include "goldcrest/quota/holder.h"
#include "goldcrest/quota/owner.h"

namespace goldcrest::bench {
namespace {

using quota::kRequestMicros;
using quota::Limit;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntries = 11;
constexpr Duration kTimeStep = milliseconds(1);
constexpr Duration kOneWayDelay = milliseconds(5);
constexpr Duration kMaxQuotaWait = milliseconds(250);
constexpr Duration kWarmUp = seconds(10);
constexpr Duration kSimulatedDuration = seconds(120);
constexpr Duration kOwnerOutage = milliseconds(1200);
constexpr Duration kFailoverInterval = seconds(20);
constexpr Duration kEntryLostAt = seconds(40);
constexpr Duration kEntryRestartedAt = seconds(80);
constexpr std::uint32_t kSeed = 1;

// Requests a second and burst of a few large and several small customers.
constexpr std::array<std::pair<int, int>, 10> kCustomers{{{200, 100},
                                                          {200, 100},
                                                          {100, 50},
                                                          {50, 25},
                                                          {50, 25},
                                                          {20, 10},
                                                          {20, 10},
                                                          {10, 5},
                                                          {10, 5},
                                                          {5, 3}}};

enum class Pattern : std::uint8_t {
  kEven,
  kSkewed,
  kMoving,
  kEntryLost,
  kFailover
};

constexpr std::array kPatterns{
    std::pair(Pattern::kEven, "even"),
    std::pair(Pattern::kSkewed, "one entry"),
    std::pair(Pattern::kMoving, "moving each second"),
    std::pair(Pattern::kEntryLost, "entry lost"),
    std::pair(Pattern::kFailover, "owner failover"),
};

// A token bucket with one counter.
class TokenBucket {
 public:
  TokenBucket(std::int64_t rate_micros, std::int64_t burst_micros, bool full)
      : rate_(rate_micros),
        burst_(burst_micros),
        level_(full ? burst_micros : 0) {}

  bool TryTake(Time now) {
    Refill(now);
    if (level_ < kRequestMicros) {
      return false;
    }
    level_ -= kRequestMicros;
    return true;
  }

  // Takes a token even if there is none left. Returns false if the level falls
  // below -1 millionth of a token.
  bool TakeUnconditionally(Time now) {
    Refill(now);
    level_ -= kRequestMicros;
    return level_ >= -1;
  }

 private:
  void Refill(Time now) {
    quota::Refill(rate_, burst_, now - refilled_at_, level_, remainder_);
    refilled_at_ = now;
  }

  std::int64_t rate_;
  std::int64_t burst_;
  std::int64_t level_;
  std::int64_t remainder_ = 0;
  Time refilled_at_;
};

struct SimulationResult {
  std::array<std::int64_t, kCustomers.size()> offered{};
  std::array<std::int64_t, kCustomers.size()> refused{};
  std::int64_t reports = 0;
  bool strict = true;  // no customer ever exceeded its limit
};

// Generates requests and selects the entry at which each arrives. All conform
// to their customer's rate and burst, so that every refusal is wrongful.
class Traffic {
 public:
  Traffic(Pattern pattern, int load_percent)
      : pattern_(pattern), load_percent_(load_percent), generator_(kSeed) {
    for (const auto& [rate, burst] : kCustomers) {
      conforming_buckets_.emplace_back(rate * kRequestMicros,
                                       burst * kRequestMicros, false);
    }
  }

  // Number of conforming requests of a customer in one time step.
  int Arrivals(Time now, std::size_t customer) {
    const double mean = kCustomers[customer].first * load_percent_ / 100.0 *
                        std::chrono::duration<double>(kTimeStep).count();
    int count = 0;
    for (int drawn = std::poisson_distribution<int>(mean)(generator_);
         drawn > 0; --drawn) {
      count += conforming_buckets_[customer].TryTake(now) ? 1 : 0;
    }
    return count;
  }

  std::size_t EntryOf(Time now, std::size_t customer) {
    if (pattern_ == Pattern::kSkewed) {
      return customer % kEntries;
    }
    if (pattern_ == Pattern::kMoving) {
      const auto second = now.time_since_epoch() / seconds(1);
      return (static_cast<std::size_t>(second) * 4 + customer) % kEntries;
    }
    const std::size_t entry = generator_() % kEntries;
    return IsLost(now, entry) ? entry + 1 : entry;
  }

  bool IsLost(Time now, std::size_t entry) const {
    return pattern_ == Pattern::kEntryLost && entry == 0 &&
           now >= Time(kEntryLostAt) && now < Time(kEntryRestartedAt);
  }

  bool HasOwner(Time now) const {
    return pattern_ != Pattern::kFailover || now < Time(kFailoverInterval) ||
           now.time_since_epoch() % kFailoverInterval >= kOwnerOutage;
  }

 private:
  Pattern pattern_;
  int load_percent_;
  std::mt19937 generator_;
  std::vector<TokenBucket> conforming_buckets_;
};

std::string NameOf(std::size_t index) {
  return std::to_string(index);
}

// Quota limiter under test: an owner leases shares of each limit to the
// entries, over a network with a fixed delay.
class LeasedShares {
 public:
  void Advance(Time now, const Traffic& traffic) {
    now_ = now;
    UpdateOwner(traffic.HasOwner(now));
    DeliverMessages();
    for (std::size_t index = 0; index < kEntries; ++index) {
      Entry& entry = entries_[index];
      if (traffic.IsLost(now, index)) {
        entry.holder.reset();
        continue;
      }
      if (!entry.holder) {
        StartEntry(entry);
      }
      if (now == owner_known_at_) {
        entry.holder->OnOwnerChange(now);
      }
    }
  }

  // Sends the reports that are due. To be called after the requests of a step.
  void SendReports() {
    for (std::size_t index = 0; index < kEntries; ++index) {
      Entry& entry = entries_[index];
      if (!entry.holder || !entry.holder->ReportDue(now_)) {
        continue;
      }
      ++reports_;
      network_.emplace(now_ + kOneWayDelay,
                       Message{.entry = index,
                               .incarnation = entry.incarnation,
                               .sent = now_,
                               .is_report = true,
                               .reports = entry.holder->Report(now_)});
    }
  }

  bool TryTake(std::size_t entry, std::size_t customer) {
    return entries_[entry].holder->TryTake(now_, NameOf(customer));
  }
  void StartWaiting(std::size_t entry, std::size_t customer) {
    entries_[entry].holder->StartWaiting(now_, NameOf(customer));
  }
  bool TryTakeWaiting(std::size_t entry, std::size_t customer) {
    return entries_[entry].holder->TryTakeWaiting(now_, NameOf(customer));
  }
  void StopWaiting(std::size_t entry, std::size_t customer) {
    entries_[entry].holder->StopWaiting(NameOf(customer));
  }
  std::int64_t reports() const { return reports_; }

 private:
  struct Entry {
    std::unique_ptr<quota::Holder> holder;
    std::int64_t incarnation = 0;
  };
  struct Message {
    std::size_t entry;
    std::int64_t incarnation;
    Time sent;
    bool is_report;
    std::vector<messages::ShareReport> reports;
    std::vector<messages::ShareUpdate> updates;
  };

  static Limit LimitOf(std::size_t customer) {
    return {.rate_micros = kCustomers[customer].first * kRequestMicros,
            .burst_micros = kCustomers[customer].second * kRequestMicros};
  }

  void StartEntry(Entry& entry) {
    entry.holder = std::make_unique<quota::Holder>();
    ++entry.incarnation;
    for (std::size_t customer = 0; customer < kCustomers.size(); ++customer) {
      entry.holder->SetLimit(NameOf(customer), LimitOf(customer));
    }
  }

  void UpdateOwner(bool has_owner) {
    if (!has_owner) {
      owner_.reset();
      return;
    }
    if (owner_) {
      return;
    }
    owner_known_at_ = now_ + kOneWayDelay;
    std::map<std::string, std::int64_t> incarnations;
    for (std::size_t index = 0; index < kEntries; ++index) {
      incarnations[NameOf(index)] = entries_[index].incarnation;
    }
    owner_ = std::make_unique<quota::Owner>(++term_, now_, incarnations);
    for (std::size_t customer = 0; customer < kCustomers.size(); ++customer) {
      owner_->SetLimit(now_, NameOf(customer), LimitOf(customer));
    }
  }

  void DeliverMessages() {
    while (!network_.empty() && network_.begin()->first <= now_) {
      Message message = std::move(network_.begin()->second);
      network_.erase(network_.begin());
      Entry& entry = entries_[message.entry];
      if (message.is_report && owner_) {
        message.updates = owner_->OnReport(
            now_, NameOf(message.entry), message.incarnation, message.reports);
        message.is_report = false;
        network_.emplace(now_ + kOneWayDelay, std::move(message));
      } else if (!message.is_report && entry.holder &&
                 entry.incarnation == message.incarnation) {
        entry.holder->OnUpdates(now_, message.sent, message.updates);
      }
    }
  }

  Time now_;
  std::array<Entry, kEntries> entries_;
  std::unique_ptr<quota::Owner> owner_;
  std::int64_t term_ = 0;
  Time owner_known_at_;
  std::multimap<Time, Message> network_;
  std::int64_t reports_ = 0;
};

// Baseline: each entry has an equal, fixed part of each limit.
class StaticSplit {
 public:
  StaticSplit() {
    for (auto& entry : buckets_) {
      for (const auto& [rate, burst] : kCustomers) {
        entry.emplace_back(rate * kRequestMicros / kEntries,
                           burst * kRequestMicros / kEntries, false);
      }
    }
  }

  void Advance(Time now, const Traffic&) { now_ = now; }
  void SendReports() {}
  bool TryTake(std::size_t entry, std::size_t customer) {
    return buckets_[entry][customer].TryTake(now_);
  }
  void StartWaiting(std::size_t, std::size_t) {}
  bool TryTakeWaiting(std::size_t entry, std::size_t customer) {
    return TryTake(entry, customer);
  }
  void StopWaiting(std::size_t, std::size_t) {}
  std::int64_t reports() const { return 0; }

 private:
  Time now_;
  std::array<std::vector<TokenBucket>, kEntries> buckets_;
};

template <typename Limiter>
SimulationResult Simulate(Pattern pattern, int load_percent) {
  SimulationResult result;
  Traffic traffic(pattern, load_percent);
  Limiter limiter;
  // Check that the accepted requests never exceed a customer's limit.
  std::vector<TokenBucket> audit_buckets;
  audit_buckets.reserve(kCustomers.size());
  for (const auto& [rate, burst] : kCustomers) {
    audit_buckets.emplace_back(rate * kRequestMicros, burst * kRequestMicros,
                               true);
  }
  // Deadlines of the waiting requests, by entry and customer.
  std::array<std::array<std::deque<Time>, kCustomers.size()>, kEntries> waiting;
  const Time measured_from = Time(kWarmUp);
  for (Time now; now < Time(kSimulatedDuration); now += kTimeStep) {
    limiter.Advance(now, traffic);
    const auto take_from_audit = [&](std::size_t customer) {
      result.strict =
          audit_buckets[customer].TakeUnconditionally(now) && result.strict;
    };
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      for (std::size_t customer = 0; customer < kCustomers.size(); ++customer) {
        auto& queue = waiting[entry][customer];
        if (traffic.IsLost(now, entry)) {
          queue.clear();  // lost with their connections, not refused
        }
        while (!queue.empty() && limiter.TryTakeWaiting(entry, customer)) {
          take_from_audit(customer);
          queue.pop_front();
        }
        while (!queue.empty() && queue.front() <= now) {
          limiter.StopWaiting(entry, customer);
          queue.pop_front();
          result.refused[customer] +=
              now - kMaxQuotaWait >= measured_from ? 1 : 0;
        }
      }
    }
    for (std::size_t customer = 0; customer < kCustomers.size(); ++customer) {
      for (int left = traffic.Arrivals(now, customer); left > 0; --left) {
        result.offered[customer] += now >= measured_from ? 1 : 0;
        const std::size_t entry = traffic.EntryOf(now, customer);
        auto& queue = waiting[entry][customer];
        if (queue.empty() && limiter.TryTake(entry, customer)) {
          take_from_audit(customer);
          continue;
        }
        if (!queue.empty()) {
          limiter.TryTake(entry, customer);  // counts as demand
        }
        limiter.StartWaiting(entry, customer);
        queue.push_back(now + kMaxQuotaWait);
      }
    }
    limiter.SendReports();
  }
  result.reports = limiter.reports();
  return result;
}

struct RefusalPercent {
  double all;
  double worst_customer;
};

RefusalPercent ComputeRefusalPercent(const SimulationResult& result) {
  std::int64_t offered = 0;
  std::int64_t refused = 0;
  double worst = 0;
  for (std::size_t customer = 0; customer < kCustomers.size(); ++customer) {
    offered += result.offered[customer];
    refused += result.refused[customer];
    worst =
        std::max(worst, 100.0 * static_cast<double>(result.refused[customer]) /
                            static_cast<double>(result.offered[customer]));
  }
  return {100.0 * static_cast<double>(refused) / static_cast<double>(offered),
          worst};
}

}  // namespace

int RunQuota() {
  fmt::print(
      "Wrongful refusals, in percent of the requests within the limit\n"
      "({} entries, {} customers, {} s after {} s of warm-up, waits up to {} "
      "ms)\n\n",
      kEntries, kCustomers.size(), (kSimulatedDuration - kWarmUp) / seconds(1),
      kWarmUp / seconds(1), kMaxQuotaWait / milliseconds(1));
  fmt::print("{:<19} {:>5} | {:>8} {:>8} {:>9} {:>7} | {:>8} {:>8}\n", "", "",
             "leased", "worst", "reports/s", "", "static", "worst");
  fmt::print("{:<19} {:>5} | {:>8} {:>8} {:>9} {:>7} | {:>8} {:>8}\n",
             "pattern", "load", "shares", "customer", "per entry", "strict",
             "split", "customer");
  bool strict = true;
  for (const auto& [pattern, name] : kPatterns) {
    for (const int load : {50, 90, 100}) {
      const SimulationResult leased = Simulate<LeasedShares>(pattern, load);
      const RefusalPercent leased_percent = ComputeRefusalPercent(leased);
      const RefusalPercent static_percent =
          ComputeRefusalPercent(Simulate<StaticSplit>(pattern, load));
      strict = strict && leased.strict;
      fmt::print(
          "{:<19} {:>4}% | {:>8.3f} {:>8.3f} {:>9.1f} {:>7} | {:>8.3f} "
          "{:>8.3f}\n",
          name, load, leased_percent.all, leased_percent.worst_customer,
          static_cast<double>(leased.reports) /
              static_cast<double>(kEntries * (kSimulatedDuration / seconds(1))),
          leased.strict ? "yes" : "NO", static_percent.all,
          static_percent.worst_customer);
    }
  }
  return strict ? 0 : 1;
}

}  // namespace goldcrest::bench
