#include "goldcrest/statements/statement_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace goldcrest::statements {
namespace {

// Statements that a customer may have served ahead of its share before it waits
// for the others: operations within a rate still arrive in small bursts.
constexpr double kMaxAhead = 4;

struct Rank {
  int priority;
  bool unpromised;
  double excess;      // virtual time ahead of the share; 0 within the share
  std::size_t index;  // by due time

  auto Key() const { return std::tie(priority, unpromised, excess, index); }
};

}  // namespace

void StatementQueue::Sort(Time now, std::vector<WaitingStatement>& waiting) {
  if (waiting.size() < 2) {
    levels_.clear();
    return;
  }
  std::ranges::sort(waiting, [](const auto& left, const auto& right) {
    return std::tie(left.priority, left.due, left.repeated, left.session) <
           std::tie(right.priority, right.due, right.repeated, right.session);
  });
  for (auto& [priority, level] : levels_) {
    std::erase_if(level.customers, [now](const auto& item) {
      return now - item.second.last_waiting > kMaxIdleDebt;
    });
  }
  std::map<int, double> lowest;
  for (const WaitingStatement& statement : waiting) {
    Level& level = levels_[statement.priority];
    const auto [it, added] = level.customers.try_emplace(statement.customer);
    Customer& customer = it->second;
    if (added)
      customer.start = level.virtual_time;
    customer.last_waiting = now;
    const auto first = lowest.try_emplace(statement.priority, customer.start);
    first.first->second = std::min(first.first->second, customer.start);
  }
  for (const auto& [priority, start] : lowest) {
    double& virtual_time = levels_[priority].virtual_time;
    virtual_time = std::max(virtual_time, start);
  }

  bool keep_promise = starts_since_promise_ >= kStartsPerPromise;
  std::map<std::pair<int, std::string>, double> next_start;
  std::vector<Rank> ranks;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    const WaitingStatement& statement = waiting[i];
    const Level& level = levels_[statement.priority];
    const double cost = 1.0 / static_cast<double>(statement.weight);
    double& start =
        next_start
            .try_emplace({statement.priority, statement.customer},
                         std::max(level.virtual_time,
                                  level.customers.at(statement.customer).start))
            .first->second;
    const double ahead = start - level.virtual_time;
    start += cost;
    const bool promised = statement.promised && keep_promise;
    keep_promise = keep_promise && !promised;
    ranks.push_back({statement.priority, !promised,
                     ahead < kMaxAhead * cost ? 0 : ahead, i});
  }
  std::ranges::sort(ranks, [](const Rank& left, const Rank& right) {
    return left.Key() < right.Key();
  });
  std::vector<WaitingStatement> order;
  order.reserve(waiting.size());
  for (const Rank& rank : ranks)
    order.push_back(std::move(waiting[rank.index]));
  waiting = std::move(order);
}

void StatementQueue::OnStarted(const WaitingStatement& statement) {
  Level& level = levels_[statement.priority];
  Customer& customer = level.customers[statement.customer];
  customer.start = std::max(customer.start, level.virtual_time) +
                   1.0 / static_cast<double>(statement.weight);
  if (statement.promised && starts_since_promise_ >= kStartsPerPromise)
    starts_since_promise_ = 1;
  else
    ++starts_since_promise_;
}

}  // namespace goldcrest::statements
