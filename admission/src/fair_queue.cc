#include "goldcrest/admission/fair_queue.h"

#include <algorithm>
#include <iterator>

namespace goldcrest::admission {
namespace {

// One round in the unit of FairQueue::Round.
constexpr __int128 kOneRound = static_cast<__int128>(1) << 64;

// Tickets that a customer may be ahead of its part before it has to wait for
// the others. Requests within a rate still come in small bursts: with 0, their
// p99 wait was 4 to 6 times as long as soon as another customer was backlogged.
constexpr std::int64_t kAllowance = 4;

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
    idle_.erase({state.forget_at, state.order, flow});
    const Round earliest = round_ - kAllowance * kOneRound / state.weight;
    state.round = added ? earliest : std::max(state.round, earliest);
    state.order = ++last_order_;
    active_.insert({state.round, state.order, flow});
  }
  by_deadline_.emplace(ticket.deadline, ticket.id);
  const std::uint64_t id = ticket.id;
  state.tickets.push_back(std::move(ticket));
  by_id_.emplace(id, Place{flow, std::prev(state.tickets.end())});
  return true;
}

std::optional<Ticket> FairQueue::Pop(Time now) {
  MoveExpired(now);
  if (active_.empty()) {
    return std::nullopt;
  }
  const Turn turn = *active_.begin();
  Flow& state = turn.flow->second;
  active_.erase(active_.begin());
  round_ = std::max(round_, turn.round);
  state.round += kOneRound / state.weight;
  state.order = ++last_order_;
  active_.insert({state.round, state.order, turn.flow});
  Ticket ticket = Take(state.tickets.front().id);
  if (active_.empty()) {
    // Nobody waits, so nobody is ahead of the others. Those that used their
    // allowance last don't get it back at once.
    round_ = std::max(round_, state.round);
  }
  ForgetIdleFlows();
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
  Take(id);
  ForgetIdleFlows();
  return true;
}

std::vector<Ticket> FairQueue::RemoveIf(
    const std::function<bool(const Ticket&)>& predicate) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, place] : by_id_) {
    if (predicate(*place.ticket)) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  std::vector<Ticket> removed;
  removed.reserve(ids.size());
  for (const std::uint64_t id : ids) {
    removed.push_back(Take(id));
  }
  ForgetIdleFlows();
  return removed;
}

Time FairQueue::NextDeadline() const {
  if (!expired_.empty()) {
    return expired_.front().deadline;
  }
  return by_deadline_.empty() ? kNever : by_deadline_.begin()->first;
}

// Takes a queued ticket out. Its customer's next round stays as it is.
Ticket FairQueue::Take(std::uint64_t id) {
  const auto found = by_id_.find(id);
  const Place place = found->second;
  by_id_.erase(found);
  Ticket ticket = std::move(*place.ticket);
  by_deadline_.erase({ticket.deadline, id});
  Flow& state = place.flow->second;
  state.tickets.erase(place.ticket);
  if (state.tickets.empty()) {
    active_.erase({state.round, state.order, place.flow});
    state.forget_at = state.round + kAllowance * kOneRound / state.weight;
    idle_.insert({state.forget_at, state.order, place.flow});
  }
  return ticket;
}

void FairQueue::MoveExpired(Time now) {
  while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
    expired_.push_back(Take(by_deadline_.begin()->second));
  }
  ForgetIdleFlows();
}

// An idle customer needs no record once it has its whole allowance again.
void FairQueue::ForgetIdleFlows() {
  while (!idle_.empty() && idle_.begin()->round <= round_) {
    flows_.erase(idle_.begin()->flow);
    idle_.erase(idle_.begin());
  }
}

}  // namespace goldcrest::admission
