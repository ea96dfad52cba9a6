#include <algorithm>

#include "goldcrest/coordinator/group_coordinator.h"

namespace goldcrest::coordinator {
namespace {

using messages::Operation;

constexpr Duration kRetryDelay = std::chrono::milliseconds(50);

// Timeout of a lookup of a request id at an endpoint.
constexpr Duration kOutcomeCallTimeout = std::chrono::seconds(1);

}  // namespace

CoordinatorEffects GroupCoordinator::OnCallResult(std::uint64_t call_id,
                                                  const CallResult& result,
                                                  Time now) {
  const auto it = calls_.find(call_id);
  // Calls of an earlier term were abandoned when the primary was replaced.
  if (it == calls_.end())
    return TakeEffects();
  const Call call = it->second;
  calls_.erase(it);

  CallResult checked = result;
  const bool answered = result.delivery == Delivery::kAnswered;
  if (answered && result.answer.call_id != call_id)
    checked.delivery = Delivery::kUnknown;

  switch (call.kind) {
    case CallKind::kProbe:
    case CallKind::kFollow:
      OnProbeResult(call, checked, now);
      break;
    case CallKind::kPromote:
      OnPromoteResult(checked, now);
      break;
    case CallKind::kRequest:
      OnRequestResult(call, checked, now);
      break;
    case CallKind::kOutcome:
      OnOutcome(call, checked, now);
      break;
  }
  CheckReplication(now);
  Dispatch(now);
  return TakeEffects();
}

void GroupCoordinator::OnRequestResult(const Call& call,
                                       const CallResult& result,
                                       Time now) {
  if (call.holds_slot) {
    if (const auto it = limits_.find(call.endpoint); it != limits_.end())
      it->second.ReleaseSlot(false);
  }
  if (result.delivery == Delivery::kAnswered)
    members_.OnAnswerWithoutPosition(call.endpoint, now);
  Request* request = requests_.Find(call.request);
  if (request == nullptr)
    return;
  switch (result.delivery) {
    case Delivery::kAnswered:
      OnRequestAnswered(*request, result.answer, now);
      break;
    case Delivery::kNotSent:
      OnNotRun(*request, now);
      break;
    case Delivery::kUnknown:
      OnAnswerLost(*request, now);
      break;
  }
}

void GroupCoordinator::OnRequestAnswered(Request& request,
                                         const EndpointAnswer& answer,
                                         Time now) {
  if (answer.status == AnswerStatus::kNotRun) {
    OnNotRun(request, now);
    return;
  }
  // The lease was checked before the statement was sent, but another
  // coordinator may have replaced this one while it ran.
  if (!HasLease(now)) {
    const bool writes = request.forward.operation != Operation::READ;
    Refuse(request.id, writes ? ResultCode::kOutcomeUnknown
                              : ResultCode::kCoordinatorMoved);
    return;
  }
  if (Transaction* transaction = transactions_.FindByPin(request.transaction))
    transaction->statement_in_flight = false;
  if (answer.status == AnswerStatus::kFailed) {
    if (request.forward.operation == Operation::BEGIN_WORK ||
        request.forward.operation == Operation::COMMIT)
      EndTransaction(request.transaction, true);
    messages::ForwardResponse response;
    response.code = ToNumber(ResultCode::kStatementFailed);
    response.message = answer.value;
    response.served_by = request.endpoint;
    Answer(request.id, std::move(response));
    return;
  }
  OnDone(request, answer, now);
}

void GroupCoordinator::OnDone(Request& request,
                              const EndpointAnswer& answer,
                              Time now) {
  const Operation::type operation = request.forward.operation;
  const bool in_transaction = request.transaction != 0;
  const bool changes_data = operation == Operation::COMMIT ||
                            (operation == Operation::WRITE && !in_transaction);
  if (operation == Operation::COMMIT || operation == Operation::ROLLBACK)
    EndTransaction(request.transaction, false);

  if (changes_data)
    last_written_position_ = std::max(last_written_position_, answer.position);
  if (changes_data &&
      request.forward.durability != messages::Durability::PRIMARY) {
    // The primary's last entry has the current term, because each promotion
    // writes an entry.
    members_.OnReport(request.endpoint, term(), term(), answer.position, now);
    request.state = RequestState::kAwaitingReplication;
    request.position = answer.position;
    request.value = answer.value;
    unreplicated_.insert(request.id);
    ProbeReplicasNow(now);
    return;
  }

  messages::ForwardResponse response;
  response.code = ToNumber(ResultCode::kOk);
  response.value = answer.value;
  response.served_by = request.endpoint;
  if (changes_data) {
    response.term = term();
    response.position = answer.position;
  }
  if (operation == Operation::BEGIN_WORK) {
    Transaction* transaction = transactions_.FindByPin(request.transaction);
    transaction->endpoint_transaction = answer.transaction;
    transaction->idle_deadline = now + options_.transaction_idle_limit;
    response.transaction = transaction->name;
  }
  Answer(request.id, std::move(response));
}

void GroupCoordinator::OnNotRun(Request& request, Time now) {
  if (request.transaction == 0) {
    RetryLater(request, now);
    return;
  }
  // The state of the connection is unknown, so the transaction can't continue.
  EndTransaction(request.transaction, true);
  request.transaction = 0;
  if (request.forward.operation == Operation::BEGIN_WORK) {
    RetryLater(request, now);
    return;
  }
  Refuse(request.id, ResultCode::kTransactionAborted);
}

void GroupCoordinator::OnAnswerLost(Request& request, Time now) {
  const messages::ForwardRequest& forward = request.forward;
  const bool has_id = !forward.request_id.empty();
  if (request.transaction != 0) {
    // Closing the connection makes the endpoint roll back, so any lost
    // statement except a commit has no effect.
    EndTransaction(request.transaction, true);
    request.transaction = 0;
    if (forward.operation == Operation::BEGIN_WORK) {
      RetryLater(request, now);
    } else if (forward.operation != Operation::COMMIT) {
      Refuse(request.id, ResultCode::kTransactionAborted);
    } else if (has_id) {
      request.may_have_run = true;
      AskOutcome(request, now);
    } else {
      Refuse(request.id, ResultCode::kOutcomeUnknown);
    }
    return;
  }
  request.may_have_run = true;
  // The endpoint deduplicates requests that have a request id.
  if (forward.operation == Operation::READ || forward.idempotent || has_id)
    RetryLater(request, now);
  else
    Refuse(request.id, ResultCode::kOutcomeUnknown);
}

void GroupCoordinator::RetryLater(Request& request, Time now) {
  const Time at = now + kRetryDelay;
  if (at < request.deadline) {
    request.state = RequestState::kQueued;
    retries_.emplace(at, request.id);
    return;
  }
  Refuse(request.id, request.may_have_run ? ResultCode::kOutcomeUnknown
                                          : ResultCode::kEndpointRefused);
}

void GroupCoordinator::AskOutcome(Request& request, Time now) {
  request.state = RequestState::kQueued;
  request.may_have_run = true;
  if (phase_ != Phase::kServing) {
    Refuse(request.id, ResultCode::kOutcomeUnknown);
    return;
  }
  EndpointCall& call =
      NewCall(CallKind::kOutcome, primary(), EndpointOperation::kOutcome, now,
              std::min(request.deadline, now + kOutcomeCallTimeout));
  call.request_id = request.forward.customer + "/" + request.forward.request_id;
  calls_.at(call.id).request = request.id;
  request.state = RequestState::kSent;
  request.endpoint = primary();
}

void GroupCoordinator::OnOutcome(const Call& call,
                                 const CallResult& result,
                                 Time now) {
  Request* request = requests_.Find(call.request);
  if (request == nullptr)
    return;
  if (result.delivery != Delivery::kAnswered || !HasLease(now) ||
      result.answer.status != AnswerStatus::kDone) {
    Refuse(request->id, ResultCode::kOutcomeUnknown);
    return;
  }
  // After a lookup of an unknown request id the endpoint refuses that id, so a
  // commit that is still in flight can't run later.
  if (!result.answer.known) {
    Refuse(request->id, ResultCode::kTransactionAborted);
    return;
  }
  request->transaction = 0;
  OnDone(*request, result.answer, now);
}

}  // namespace goldcrest::coordinator
