#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "bench/bench.h"
#include "goldcrest/admission/endpoint_limits.h"
#include "goldcrest/admission/fair_queue.h"

namespace goldcrest::bench {
namespace {

using admission::Ticket;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStatement = milliseconds(20);
constexpr Duration kLength = seconds(600);
constexpr Duration kDeadline = seconds(5);
constexpr std::size_t kMaxPerCustomer = 64;
constexpr std::size_t kOthers = 10;
constexpr std::size_t kLoud = kOthers;  // index of the customer over its rate
constexpr std::uint32_t kSeed = 1;

// Part of the endpoint's capacity that all rates together take up.
constexpr double kLoadWithinRates = 0.7;

// Weights of the others: a few large customers and several small ones. The
// customer that exceeds its rate is a large one.
constexpr std::int64_t kWeights[kOthers + 1] = {8, 8, 4, 4, 2, 2,
                                                1, 1, 1, 1, 8};

// First-come queueing with the same bound for each customer.
class FirstComeQueue {
 public:
  explicit FirstComeQueue(std::size_t max_per_customer)
      : max_per_customer_(max_per_customer) {}
  bool Push(Time, Ticket ticket) {
    std::size_t& count = counts_[ticket.customer];
    if (count >= max_per_customer_) {
      return false;
    }
    ++count;
    tickets_.push_back(std::move(ticket));
    return true;
  }
  std::optional<Ticket> Pop(Time now) {
    while (!tickets_.empty()) {
      Ticket ticket = std::move(tickets_.front());
      tickets_.pop_front();
      --counts_[ticket.customer];
      if (now < ticket.deadline) {
        return ticket;
      }
    }
    return std::nullopt;
  }

 private:
  std::size_t max_per_customer_;
  std::map<std::string, std::size_t> counts_;
  std::deque<Ticket> tickets_;
};

// Plain deficit round robin: a customer's whole quantum is served in a row.
class PlainRoundRobinQueue {
 public:
  explicit PlainRoundRobinQueue(std::size_t max_per_customer)
      : max_per_customer_(max_per_customer) {}
  bool Push(Time, Ticket ticket) {
    auto& queue = queues_[ticket.customer];
    if (queue.size() >= max_per_customer_) {
      return false;
    }
    if (queue.empty()) {
      turns_.push_back(ticket.customer);
    }
    queue.push_back(std::move(ticket));
    return true;
  }
  std::optional<Ticket> Pop(Time now) {
    while (!turns_.empty()) {
      const std::string customer = turns_.front();
      auto& queue = queues_[customer];
      if (quantum_ == 0) {
        quantum_ = queue.front().weight;
      }
      Ticket ticket = std::move(queue.front());
      queue.pop_front();
      if (--quantum_ == 0 || queue.empty()) {
        quantum_ = 0;
        turns_.pop_front();
        if (!queue.empty()) {
          turns_.push_back(customer);
        }
      }
      if (now < ticket.deadline) {
        return ticket;
      }
    }
    return std::nullopt;
  }

 private:
  std::size_t max_per_customer_;
  std::map<std::string, std::deque<Ticket>> queues_;
  std::deque<std::string> turns_;
  std::int64_t quantum_ = 0;
};

struct Arrival {
  Time at;
  std::size_t customer;
};

// Poisson arrivals; the last customer sends `excess` times its rate, or
// nothing.
std::vector<Arrival> MakeArrivals(int slots, int excess) {
  const double capacity =
      slots / std::chrono::duration<double>(kStatement).count();
  std::int64_t weights = 0;
  for (const std::int64_t weight : kWeights) {
    weights += weight;
  }
  std::vector<Arrival> arrivals;
  for (std::size_t customer = 0; customer <= kOthers; ++customer) {
    const double rate =
        capacity * kLoadWithinRates * static_cast<double>(kWeights[customer]) /
        static_cast<double>(weights) * (customer == kLoud ? excess : 1);
    if (rate <= 0) {
      continue;
    }
    // One generator for each customer, so that the others send the same in all
    // runs.
    std::mt19937 random(kSeed + static_cast<std::uint32_t>(customer));
    std::exponential_distribution<double> gap(rate);
    const auto next = [&] {
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(gap(random)));
    };
    for (Time at = Time(next()); at < Time(kLength); at += next()) {
      arrivals.push_back({at, customer});
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& left, const Arrival& right) {
              return std::pair(left.at, left.customer) <
                     std::pair(right.at, right.customer);
            });
  return arrivals;
}

struct Waits {
  std::vector<Duration> p99;  // of each other customer
  std::int64_t refused = 0;   // requests of the others
};

template <typename Queue>
Waits Simulate(int slots, int excess) {
  const std::vector<Arrival> arrivals = MakeArrivals(slots, excess);
  Queue queue(kMaxPerCustomer);
  admission::EndpointLimits limits(slots, slots);
  std::priority_queue<Time, std::vector<Time>, std::greater<>> finishes;
  std::vector<std::vector<Duration>> waits(kOthers + 1);
  Waits result;
  std::vector<Time> arrived;
  const auto serve = [&](Time now) {
    while (limits.slots_in_use() < limits.slots()) {
      const auto ticket = queue.Pop(now);
      if (!ticket) {
        return;
      }
      limits.TryAcquireSlot(false);
      waits[std::stoul(ticket->customer)].push_back(now - arrived[ticket->id]);
      finishes.push(now + kStatement);
    }
  };
  const auto finish_until = [&](Time now) {
    while (!finishes.empty() && finishes.top() <= now) {
      const Time at = finishes.top();
      finishes.pop();
      limits.ReleaseSlot(false);
      serve(at);
    }
  };
  for (const Arrival& arrival : arrivals) {
    finish_until(arrival.at);
    const bool queued = queue.Push(
        arrival.at, Ticket{.id = arrived.size(),
                           .customer = std::to_string(arrival.customer),
                           .weight = kWeights[arrival.customer],
                           .deadline = arrival.at + kDeadline});
    result.refused += !queued && arrival.customer != kLoud ? 1 : 0;
    arrived.push_back(arrival.at);
    serve(arrival.at);
  }
  finish_until(kNever);
  for (std::size_t customer = 0; customer < kOthers; ++customer) {
    auto& values = waits[customer];
    std::sort(values.begin(), values.end());
    result.p99.push_back(values.empty() ? Duration()
                                        : values[values.size() * 99 / 100]);
  }
  return result;
}

std::string Millis(Duration wait) {
  return fmt::format("{:.1f}",
                     std::chrono::duration<double, std::milli>(wait).count());
}

// The largest ratio of a customer's p99 wait to its figure at one time the
// rate.
double WorstRatio(const Waits& waits, const Waits& base) {
  double worst = 0;
  for (std::size_t customer = 0; customer < kOthers; ++customer) {
    worst = std::max(worst, static_cast<double>(waits.p99[customer].count()) /
                                static_cast<double>(std::max<std::int64_t>(
                                    base.p99[customer].count(), 1)));
  }
  return worst;
}

Duration Worst(const Waits& waits) {
  return *std::max_element(waits.p99.begin(), waits.p99.end());
}

template <typename Queue>
void PrintRows(const char* name, int slots) {
  const Waits alone = Simulate<admission::FairQueue>(slots, 0);
  const Waits within = Simulate<admission::FairQueue>(slots, 1);
  for (const int excess : {1, 2, 5, 20}) {
    const Waits waits = Simulate<Queue>(slots, excess);
    fmt::print("{:<18} {:>5} {:>5}x | {:>9} {:>9.2f} {:>9.2f} {:>9}\n", name,
               slots, excess, Millis(Worst(waits)), WorstRatio(waits, within),
               WorstRatio(waits, alone), waits.refused);
  }
}

// Mean cost of one Push() and one Pop() with a ticket from each of `customers`.
void PrintCost(std::size_t customers) {
  using Clock = std::chrono::steady_clock;
  admission::FairQueue queue(kMaxPerCustomer);
  const Time now;
  std::vector<std::string> names;
  for (std::size_t index = 0; index < customers; ++index) {
    names.push_back(fmt::format("customer-{}", index));
  }
  const auto start = Clock::now();
  for (std::size_t index = 0; index < customers; ++index) {
    queue.Push(now, Ticket{.id = index,
                           .customer = names[index],
                           .weight = 1 + static_cast<std::int64_t>(index % 7),
                           .deadline = now + kDeadline});
  }
  while (queue.Pop(now)) {
  }
  const double nanoseconds =
      std::chrono::duration<double, std::nano>(Clock::now() - start).count();
  fmt::print("{:>7} customers: {:>6.0f} ns for a push and a pop\n", customers,
             nanoseconds / static_cast<double>(customers));
}

}  // namespace

int RunFairness() {
  fmt::print(
      "Waits of {} customers within their rates while one more sends a "
      "multiple of its rate\n(one endpoint, {} ms statements, {} s, rates add "
      "up to {:.0f}% of the endpoint)\n\n",
      kOthers, kStatement / milliseconds(1), kLength / seconds(1),
      kLoadWithinRates * 100);
  fmt::print("{:<18} {:>5} {:>6} | {:>9} {:>9} {:>9} {:>9}\n", "", "", "",
             "worst p99", "against", "against", "others");
  fmt::print("{:<18} {:>5} {:>6} | {:>9} {:>9} {:>9} {:>9}\n", "queue", "slots",
             "rate", "ms", "1x", "absent", "refused");
  for (const int slots : {3, 2}) {
    PrintRows<admission::FairQueue>("fair", slots);
    PrintRows<PlainRoundRobinQueue>("plain round robin", slots);
    PrintRows<FirstComeQueue>("first come", slots);
  }
  fmt::print("\n");
  for (const std::size_t customers : {100UL, 10'000UL, 100'000UL}) {
    PrintCost(customers);
  }
  return 0;
}

}  // namespace goldcrest::bench
