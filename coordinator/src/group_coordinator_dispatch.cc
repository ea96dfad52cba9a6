#include <algorithm>

#include "goldcrest/coordinator/group_coordinator.h"
#include "goldcrest/session/read_eligibility.h"

namespace goldcrest::coordinator {
namespace {

using messages::Operation;

// Slots of the primary that reads of the read queue leave free for writes.
constexpr int kSlotsReservedForWrites = 1;

// The primary alternates between the queues of statements and of transactions.
constexpr int kPrimaryQueueCount = 2;

int FreeSlots(const admission::EndpointLimits& limits) {
  return limits.slots() - limits.slots_in_use();
}

}  // namespace

void GroupCoordinator::Dispatch(Time now) {
  if (phase_ != Phase::kServing || !HasLease(now))
    return;
  DispatchReads(now);
  DispatchPrimary(now);
}

void GroupCoordinator::DispatchReads(Time now) {
  std::deque<std::uint64_t> waiting;
  waiting.swap(deferred_reads_);
  for (const std::uint64_t id : waiting) {
    Request* request = requests_.Find(id);
    if (request == nullptr || !CheckBeforeSend(*request, now))
      continue;
    bool may_wait = false;
    if (SendToReplica(*request, now, &may_wait))
      continue;
    if (may_wait && now < request->arrival + options_.max_replica_wait) {
      deferred_reads_.push_back(id);
      continue;
    }
    Push(primary_queue_, *request, now);
  }

  const auto replica_is_free = [&] {
    return std::ranges::any_of(members_.members(), [&](const auto& entry) {
      return entry.first != primary() &&
             FreeSlots(limits_.at(entry.first)) > 0 &&
             members_.IsAlive(entry.second, now, options_.member_timeout);
    });
  };
  const auto any_replica_alive = [&] {
    return std::ranges::any_of(members_.members(), [&](const auto& entry) {
      return entry.first != primary() &&
             members_.IsAlive(entry.second, now, options_.member_timeout);
    });
  };
  while (replica_is_free() || !any_replica_alive()) {
    Request* request = PopSendable(read_queue_, now);
    if (request == nullptr)
      return;
    bool may_wait = false;
    if (SendToReplica(*request, now, &may_wait))
      continue;
    if (may_wait)
      deferred_reads_.push_back(request->id);
    else
      Push(primary_queue_, *request, now);
  }
}

void GroupCoordinator::DispatchPrimary(Time now) {
  const auto limits = limits_.find(primary());
  if (limits == limits_.end() || IsLeaving(primary()))
    return;
  int idle_turns = 0;
  while (FreeSlots(limits->second) > 0 && idle_turns < kPrimaryQueueCount) {
    last_primary_queue_ = (last_primary_queue_ + 1) % kPrimaryQueueCount;
    admission::FairQueue& queue =
        last_primary_queue_ == 0 ? primary_queue_ : begin_queue_;
    idle_turns = DispatchFrom(queue, now) ? 0 : idle_turns + 1;
  }
  while (FreeSlots(limits->second) > kSlotsReservedForWrites) {
    if (!DispatchFrom(read_queue_, now))
      return;
  }
}

bool GroupCoordinator::DispatchFrom(admission::FairQueue& queue, Time now) {
  admission::EndpointLimits& limits = limits_.at(primary());
  const bool transaction = &queue == &begin_queue_;
  if (!limits.TryAcquireSlot(transaction))
    return false;
  Request* request = PopSendable(queue, now);
  if (request == nullptr) {
    limits.ReleaseSlot(transaction);
    return false;
  }
  const Member* member = members_.Find(primary());
  if (member == nullptr || !MayUse(*request, *member)) {
    limits.ReleaseSlot(transaction);
    Refuse(request->id, ResultCode::kNoEndpoint);
    return true;
  }
  if (transaction) {
    BeginTransaction(*request, now);
    return true;
  }
  if (request->forward.operation == Operation::READ)
    ++primary_reads_;
  Send(*request, primary(), true, now);
  return true;
}

Request* GroupCoordinator::PopSendable(admission::FairQueue& queue, Time now) {
  while (const auto ticket = queue.Pop(now)) {
    Request* request = requests_.Find(ticket->id);
    if (request != nullptr && CheckBeforeSend(*request, now))
      return request;
  }
  return nullptr;
}

bool GroupCoordinator::CheckBeforeSend(Request& request, Time now) {
  const messages::ForwardRequest& forward = request.forward;
  const auto refuse = [&](ResultCode code) {
    Refuse(request.id,
           request.may_have_run ? ResultCode::kOutcomeUnknown : code);
    return false;
  };
  if (now >= request.deadline)
    return refuse(ResultCode::kDeadlineBeforeSend);
  if (!hooks_.key_is_valid(forward.key_name, forward.customer))
    return refuse(ResultCode::kKeyWithdrawn);
  if (forward.operation != Operation::WRITE ||
      forward.durability == messages::Durability::PRIMARY)
    return true;
  if (unreplicated_.empty())
    return true;
  const Request* oldest = requests_.Find(*unreplicated_.begin());
  if (now - oldest->arrival > options_.max_unreplicated_age)
    return refuse(ResultCode::kReplicasBehind);
  return true;
}

bool GroupCoordinator::SendToReplica(Request& request,
                                     Time now,
                                     bool* may_wait) {
  const messages::ForwardRequest& forward = request.forward;
  const session::Mark mark = session::EffectiveMark(
      {forward.mark_term, forward.mark_position}, term(), state_.term_starts);
  const Duration max_age = std::chrono::milliseconds(forward.max_age_ms);
  const Member* best = nullptr;
  for (const auto& [name, member] : members_.members()) {
    if (name == primary() || !MayUse(request, member))
      continue;
    if (!members_.IsAlive(member, now, options_.member_timeout))
      continue;
    // A member that knows the new term has the old log until it has replicated
    // from the new primary, so the term of its last log entry is used.
    const session::MemberView view{name, member.log_term, member.position,
                                   true};
    if (session::CheckReadEligibility(view, term(), mark, max_age, history_,
                                      now) !=
            session::ReadEligibility::kEligible ||
        FreeSlots(limits_.at(name)) == 0) {
      *may_wait = true;
      continue;
    }
    if (best == nullptr || FreeSlots(limits_.at(name)) >
                               FreeSlots(limits_.at(best->info.endpoint)))
      best = &member;
  }
  if (best == nullptr)
    return false;
  limits_.at(best->info.endpoint).TryAcquireSlot(false);
  ++replica_reads_;
  Send(request, best->info.endpoint, true, now);
  return true;
}

void GroupCoordinator::Send(Request& request,
                            const std::string& endpoint,
                            bool holds_slot,
                            Time now) {
  const messages::ForwardRequest& forward = request.forward;
  EndpointCall& call =
      NewCall(CallKind::kRequest, endpoint, EndpointOperation::kStatement, now,
              request.deadline);
  switch (forward.operation) {
    case Operation::READ:
      call.kind = StatementKind::kRead;
      break;
    case Operation::WRITE:
      call.kind = StatementKind::kWrite;
      break;
    case Operation::BEGIN_WORK:
      call.kind = StatementKind::kBegin;
      break;
    case Operation::COMMIT:
      call.kind = StatementKind::kCommit;
      break;
    case Operation::ROLLBACK:
      call.kind = StatementKind::kRollback;
      break;
  }
  call.statement = forward.statement;
  // Request ids are unique only per customer, so the customer is prepended.
  if (!forward.request_id.empty())
    call.request_id = forward.customer + "/" + forward.request_id;
  if (request.transaction != 0) {
    call.pin = request.transaction;
    call.transaction =
        transactions_.FindByPin(request.transaction)->endpoint_transaction;
  }
  Call& record = calls_.at(call.id);
  record.request = request.id;
  record.holds_slot = holds_slot;
  request.state = RequestState::kSent;
  request.endpoint = endpoint;
  request.call_id = call.id;
}

}  // namespace goldcrest::coordinator
