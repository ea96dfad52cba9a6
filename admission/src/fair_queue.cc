#include "goldcrest/admission/fair_queue.h"

#include <algorithm>
#include <iterator>

namespace goldcrest::admission {
namespace {

// Virtual time that a ticket of a customer with weight 1 takes, in the unit of
// FairQueue::VirtualTime.
constexpr __int128 kTicketCost = static_cast<__int128>(1) << 64;

// Number of tickets that a customer may have served ahead of its share before
// it waits for the others. Requests within a rate still arrive in small bursts:
// with 0, their p99 wait was 4 to 6 times as long as soon as another customer
// was backlogged.
constexpr std::int64_t kMaxTicketsAhead = 4;

}  // namespace

FairQueue::FairQueue(std::size_t max_per_customer)
    : max_per_customer_(std::max<std::size_t>(max_per_customer, 1)) {}

bool FairQueue::Push(Time now, Ticket ticket) {
  MoveExpired(now);
  if (by_id_.contains(ticket.id)) {
    return false;
  }
  const auto [flow, added] = flows_.try_emplace(ticket.customer);
  Flow& state = flow->second;
  if (state.tickets.size() >= max_per_customer_) {
    return false;
  }
  state.weight = std::max<std::int64_t>(ticket.weight, 1);
  if (state.tickets.empty()) {
    idle_.erase({state.erase_at, state.order, flow});
    const VirtualTime earliest =
        virtual_time_ - kMaxTicketsAhead * kTicketCost / state.weight;
    state.start_time = added ? earliest : std::max(state.start_time, earliest);
    state.order = ++last_order_;
    active_.insert({state.start_time, state.order, flow});
  }
  by_deadline_.emplace(ticket.deadline, ticket.id);
  const std::uint64_t id = ticket.id;
  state.tickets.push_back(std::move(ticket));
  by_id_.emplace(id, TicketLocation{flow, std::prev(state.tickets.end())});
  return true;
}

std::optional<Ticket> FairQueue::Pop(Time now) {
  MoveExpired(now);
  if (active_.empty()) {
    return std::nullopt;
  }
  const FlowEntry next = *active_.begin();
  Flow& state = next.flow->second;
  active_.erase(active_.begin());
  virtual_time_ = std::max(virtual_time_, next.time);
  state.start_time += kTicketCost / state.weight;
  state.order = ++last_order_;
  active_.insert({state.start_time, state.order, next.flow});
  Ticket ticket = RemoveTicket(state.tickets.front().id);
  if (active_.empty()) {
    // The queue is empty, so no customer is ahead of the others. Customers that
    // have just used their allowance don't regain it at once.
    virtual_time_ = std::max(virtual_time_, state.start_time);
  }
  EraseIdleFlows();
  return ticket;
}

std::vector<Ticket> FairQueue::Expire(Time now) {
  MoveExpired(now);
  return std::exchange(expired_, {});
}

bool FairQueue::Remove(std::uint64_t id) {
  if (!by_id_.contains(id)) {
    return false;
  }
  RemoveTicket(id);
  EraseIdleFlows();
  return true;
}

std::vector<Ticket> FairQueue::RemoveIf(
    const std::function<bool(const Ticket&)>& predicate) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, location] : by_id_) {
    if (predicate(*location.ticket)) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  std::vector<Ticket> removed;
  removed.reserve(ids.size());
  for (const std::uint64_t id : ids) {
    removed.push_back(RemoveTicket(id));
  }
  EraseIdleFlows();
  return removed;
}

Time FairQueue::NextDeadline() const {
  if (!expired_.empty()) {
    return expired_.front().deadline;
  }
  return by_deadline_.empty() ? kNever : by_deadline_.begin()->first;
}

// Removes a queued ticket. Its customer's start time does not change.
Ticket FairQueue::RemoveTicket(std::uint64_t id) {
  const auto found = by_id_.find(id);
  const TicketLocation location = found->second;
  by_id_.erase(found);
  Ticket ticket = std::move(*location.ticket);
  by_deadline_.erase({ticket.deadline, id});
  Flow& state = location.flow->second;
  state.tickets.erase(location.ticket);
  if (state.tickets.empty()) {
    active_.erase({state.start_time, state.order, location.flow});
    state.erase_at =
        state.start_time + kMaxTicketsAhead * kTicketCost / state.weight;
    idle_.insert({state.erase_at, state.order, location.flow});
  }
  return ticket;
}

void FairQueue::MoveExpired(Time now) {
  while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
    expired_.push_back(RemoveTicket(by_deadline_.begin()->second));
  }
  EraseIdleFlows();
}

// The record of an idle customer is not needed once its whole allowance is
// available again.
void FairQueue::EraseIdleFlows() {
  while (!idle_.empty() && idle_.begin()->time <= virtual_time_) {
    flows_.erase(idle_.begin()->flow);
    idle_.erase(idle_.begin());
  }
}

}  // namespace goldcrest::admission
