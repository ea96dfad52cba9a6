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

constexpr Duration kStatementDuration = milliseconds(20);
constexpr Duration kSimulatedDuration = seconds(600);
constexpr Duration kRequestTimeout = seconds(5);
constexpr std::size_t kMaxQueuedPerCustomer = 64;
constexpr std::size_t kConformingCustomers = 10;
constexpr std::size_t kOverloadingCustomer =
    kConformingCustomers;  // index of the customer that exceeds its rate
constexpr std::uint32_t kSeed = 1;

// Fraction of the endpoint's capacity that all rates add up to.
constexpr double kTotalRateFraction = 0.7;

// Weights of the customers: a few large and several small ones. The last, which
// exceeds its rate, is a large one.
constexpr std::int64_t kWeights[kConformingCustomers + 1] = {8, 8, 4, 4, 2, 2,
                                                             1, 1, 1, 1, 8};

// Baseline: first-come queue with the same bound for each customer.
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

// Baseline: deficit round robin that serves a customer's whole quantum in a
// row.
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
      turn_order_.push_back(ticket.customer);
    }
    queue.push_back(std::move(ticket));
    return true;
  }
  std::optional<Ticket> Pop(Time now) {
    while (!turn_order_.empty()) {
      const std::string customer = turn_order_.front();
      auto& queue = queues_[customer];
      if (remaining_quantum_ == 0) {
        remaining_quantum_ = queue.front().weight;
      }
      Ticket ticket = std::move(queue.front());
      queue.pop_front();
      if (--remaining_quantum_ == 0 || queue.empty()) {
        remaining_quantum_ = 0;
        turn_order_.pop_front();
        if (!queue.empty()) {
          turn_order_.push_back(customer);
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
  std::deque<std::string> turn_order_;
  std::int64_t remaining_quantum_ = 0;
};

struct Arrival {
  Time time;
  std::size_t customer;
};

// Poisson arrivals of all customers, in order of time. The overloading customer
// sends `rate_multiple` times its rate, or nothing if that is 0.
std::vector<Arrival> MakeArrivals(int slots, int rate_multiple) {
  const double capacity =
      slots / std::chrono::duration<double>(kStatementDuration).count();
  std::int64_t total_weight = 0;
  for (const std::int64_t weight : kWeights) {
    total_weight += weight;
  }
  std::vector<Arrival> arrivals;
  for (std::size_t customer = 0; customer <= kConformingCustomers; ++customer) {
    const double rate = capacity * kTotalRateFraction *
                        static_cast<double>(kWeights[customer]) /
                        static_cast<double>(total_weight) *
                        (customer == kOverloadingCustomer ? rate_multiple : 1);
    if (rate <= 0) {
      continue;
    }
    // Each customer has its own generator, so that the other customers send the
    // same requests at every rate multiple.
    std::mt19937 generator(kSeed + static_cast<std::uint32_t>(customer));
    std::exponential_distribution<double> interval(rate);
    const auto next_interval = [&] {
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(interval(generator)));
    };
    for (Time time = Time(next_interval()); time < Time(kSimulatedDuration);
         time += next_interval()) {
      arrivals.push_back({time, customer});
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& left, const Arrival& right) {
              return std::pair(left.time, left.customer) <
                     std::pair(right.time, right.customer);
            });
  return arrivals;
}

struct WaitResult {
  std::vector<Duration> p99;  // wait of each conforming customer
  std::int64_t refused = 0;   // requests of the conforming customers
};

template <typename Queue>
WaitResult Simulate(int slots, int rate_multiple) {
  const std::vector<Arrival> arrivals = MakeArrivals(slots, rate_multiple);
  Queue queue(kMaxQueuedPerCustomer);
  admission::EndpointLimits limits(slots, slots);
  std::priority_queue<Time, std::vector<Time>, std::greater<>> finish_times;
  std::vector<std::vector<Duration>> waits(kConformingCustomers + 1);
  WaitResult result;
  std::vector<Time> arrived;
  const auto start_queued = [&](Time now) {
    while (limits.slots_in_use() < limits.slots()) {
      const auto ticket = queue.Pop(now);
      if (!ticket) {
        return;
      }
      limits.TryAcquireSlot(false);
      waits[std::stoul(ticket->customer)].push_back(now - arrived[ticket->id]);
      finish_times.push(now + kStatementDuration);
    }
  };
  const auto finish_until = [&](Time now) {
    while (!finish_times.empty() && finish_times.top() <= now) {
      const Time time = finish_times.top();
      finish_times.pop();
      limits.ReleaseSlot(false);
      start_queued(time);
    }
  };
  for (const Arrival& arrival : arrivals) {
    finish_until(arrival.time);
    const bool queued = queue.Push(
        arrival.time, Ticket{.id = arrived.size(),
                             .customer = std::to_string(arrival.customer),
                             .weight = kWeights[arrival.customer],
                             .deadline = arrival.time + kRequestTimeout});
    result.refused +=
        !queued && arrival.customer != kOverloadingCustomer ? 1 : 0;
    arrived.push_back(arrival.time);
    start_queued(arrival.time);
  }
  finish_until(kNever);
  for (std::size_t customer = 0; customer < kConformingCustomers; ++customer) {
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

// The largest ratio of a customer's p99 wait to its p99 wait in `reference`.
double WorstRatio(const WaitResult& waits, const WaitResult& reference) {
  double worst = 0;
  for (std::size_t customer = 0; customer < kConformingCustomers; ++customer) {
    worst = std::max(worst, static_cast<double>(waits.p99[customer].count()) /
                                static_cast<double>(std::max<std::int64_t>(
                                    reference.p99[customer].count(), 1)));
  }
  return worst;
}

Duration WorstP99(const WaitResult& waits) {
  return *std::max_element(waits.p99.begin(), waits.p99.end());
}

template <typename Queue>
void PrintRows(const char* name, int slots) {
  // All queues are compared with the waits of the fair queue.
  const WaitResult absent = Simulate<admission::FairQueue>(slots, 0);
  const WaitResult at_rate = Simulate<admission::FairQueue>(slots, 1);
  for (const int rate_multiple : {1, 2, 5, 20}) {
    const WaitResult waits = Simulate<Queue>(slots, rate_multiple);
    fmt::print("{:<18} {:>5} {:>5}x | {:>9} {:>9.2f} {:>9.2f} {:>9}\n", name,
               slots, rate_multiple, Millis(WorstP99(waits)),
               WorstRatio(waits, at_rate), WorstRatio(waits, absent),
               waits.refused);
  }
}

// Prints the mean wall time of one Push() and one Pop() with one ticket from
// each of `customers` customers.
void PrintQueueCost(std::size_t customers) {
  using Clock = std::chrono::steady_clock;
  admission::FairQueue queue(kMaxQueuedPerCustomer);
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
                           .deadline = now + kRequestTimeout});
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
      kConformingCustomers, kStatementDuration / milliseconds(1),
      kSimulatedDuration / seconds(1), kTotalRateFraction * 100);
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
    PrintQueueCost(customers);
  }
  return 0;
}

}  // namespace goldcrest::bench
