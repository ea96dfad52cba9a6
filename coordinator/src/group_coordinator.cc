#include "goldcrest/coordinator/group_coordinator.h"

#include <algorithm>

namespace goldcrest::coordinator {
namespace {

using messages::Operation;

// Limit of queued requests per customer in each queue of a group.
constexpr std::size_t kMaxQueuedPerCustomer = 1'000;

}  // namespace

GroupCoordinator::GroupCoordinator(CoordinatorOptions options,
                                   CoordinatorHooks hooks,
                                   messages::GroupState state,
                                   Time lease_until,
                                   Time now)
    : options_(options),
      hooks_(std::move(hooks)),
      state_(std::move(state)),
      lease_until_(lease_until),
      read_queue_(kMaxQueuedPerCustomer),
      primary_queue_(kMaxQueuedPerCustomer),
      begin_queue_(kMaxQueuedPerCustomer),
      replacement_cause_("new coordinator"),
      collect_deadline_(now + options.probe_timeout),
      isolation_timeout_(options.isolation_timeout) {}

void GroupCoordinator::SetEndpoints(
    const std::vector<messages::EndpointInfo>& endpoints,
    Time now) {
  std::vector<messages::EndpointInfo> members = endpoints;
  for (messages::EndpointInfo& info : members)
    info.leaving = info.leaving || hooks_.endpoint_leaving(info);
  members_.SetEndpoints(members, now);
  for (const messages::EndpointInfo& info : endpoints) {
    const auto [it, added] =
        limits_.try_emplace(info.endpoint, info.slots, info.connections);
    if (!added)
      it->second.SetLimits(info.slots, info.connections);
  }
}

void GroupCoordinator::ExtendLease(Time until) {
  if (phase_ != Phase::kStopped)
    lease_until_ = std::max(lease_until_, until);
}

CoordinatorEffects GroupCoordinator::OnRequest(
    const std::string& instance,
    const messages::ForwardRequest& forward,
    Time now) {
  const Origin origin{instance, forward.id};
  const auto refuse = [&](ResultCode code) {
    messages::ForwardResponse response;
    response.id = forward.id;
    response.code = ToNumber(code);
    effects_.answers.push_back({instance, response});
    return TakeEffects();
  };
  if (!HasLease(now) || forward.epoch != epoch())
    return refuse(ResultCode::kCoordinatorMoved);
  const bool continues = !forward.transaction.empty();
  const bool begins = forward.operation == Operation::BEGIN_WORK;
  if (draining_ && !continues &&
      (begins || transactions_.transactions().empty()))
    return refuse(ResultCode::kCoordinatorMoved);

  RequestTable::Added added = requests_.Add(origin, forward, now);
  switch (added.result) {
    case RequestTable::AddResult::kJoined:
      return TakeEffects();
    case RequestTable::AddResult::kReused:
      return refuse(ResultCode::kRequestIdReused);
    case RequestTable::AddResult::kFinished:
      effects_.answers.push_back({instance, added.finished_answer});
      return TakeEffects();
    case RequestTable::AddResult::kAdded:
      break;
  }
  if (continues || forward.operation == Operation::COMMIT ||
      forward.operation == Operation::ROLLBACK) {
    ContinueTransaction(*added.request, now);
  } else {
    Enqueue(*added.request, now);
    Dispatch(now);
  }
  return TakeEffects();
}

void GroupCoordinator::Enqueue(Request& request, Time now) {
  request.state = RequestState::kQueued;
  const messages::ForwardRequest& forward = request.forward;
  if (forward.operation == Operation::BEGIN_WORK)
    Push(begin_queue_, request, now);
  else if (forward.operation == Operation::READ && forward.max_age_ms > 0)
    Push(read_queue_, request, now);
  else
    Push(primary_queue_, request, now);
}

void GroupCoordinator::Push(admission::FairQueue& queue,
                            const Request& request,
                            Time now) {
  const admission::Ticket ticket{
      request.id, request.forward.customer,
      std::max<std::int64_t>(request.forward.weight, 1), request.deadline};
  if (!queue.Push(now, ticket)) {
    Refuse(request.id, request.may_have_run ? ResultCode::kOutcomeUnknown
                                            : ResultCode::kQueueFull);
  }
}

void GroupCoordinator::BeginTransaction(Request& request, Time now) {
  Transaction transaction;
  transaction.pin = hooks_.next_call_id();
  transaction.name = hooks_.random_name();
  transaction.customer = request.forward.customer;
  transaction.key_name = request.forward.key_name;
  transaction.rule = request.forward.rule;
  transaction.endpoint = primary();
  transaction.deadline = now + options_.transaction_limit;
  transaction.idle_deadline = now + options_.transaction_idle_limit;
  transaction.statement_in_flight = true;
  transactions_.Add(transaction);
  request.transaction = transaction.pin;
  Send(request, primary(), false, now);
}

void GroupCoordinator::ContinueTransaction(Request& request, Time now) {
  const messages::ForwardRequest& forward = request.forward;
  const bool is_commit = forward.operation == Operation::COMMIT;
  Transaction* transaction = transactions_.FindForCaller(
      forward.transaction, forward.customer, forward.key_name);
  if (transaction == nullptr) {
    // The commit may be a resend. Only the endpoint knows the outcome of the
    // first attempt.
    if (is_commit && !forward.request_id.empty())
      AskOutcome(request, now);
    else
      Refuse(request.id, is_commit ? ResultCode::kOutcomeUnknown
                                   : ResultCode::kUnknownTransaction);
    return;
  }
  if (transaction->statement_in_flight) {
    Refuse(request.id, ResultCode::kInvalidField);
    return;
  }
  if (!hooks_.key_is_valid(forward.key_name, forward.customer)) {
    EndTransaction(transaction->pin, true);
    Refuse(request.id, ResultCode::kKeyWithdrawn);
    return;
  }
  transaction->statement_in_flight = true;
  transaction->idle_deadline = now + options_.transaction_idle_limit;
  request.transaction = transaction->pin;
  Send(request, transaction->endpoint, false, now);
}

void GroupCoordinator::EndTransaction(std::uint64_t pin, bool close) {
  const Transaction* transaction = transactions_.FindByPin(pin);
  if (transaction == nullptr)
    return;
  auto& pins = close ? effects_.closed_pins : effects_.released_pins;
  pins.emplace_back(transaction->endpoint, pin);
  if (const auto it = limits_.find(transaction->endpoint); it != limits_.end())
    it->second.ReleaseSlot(true);
  transactions_.Remove(pin);
}

void GroupCoordinator::Answer(std::uint64_t request_id,
                              messages::ForwardResponse response) {
  const Request* request = requests_.Find(request_id);
  if (request == nullptr)
    return;
  for (const Origin& origin : request->origins) {
    response.id = origin.id;
    effects_.answers.push_back({origin.instance, response});
  }
  unreplicated_.erase(request_id);
  const ResultCode code = ResultCodeFromNumber(response.code);
  requests_.Finish(request_id, response,
                   InfoOf(code).outcome == Outcome::kDone);
}

void GroupCoordinator::Refuse(std::uint64_t request_id, ResultCode code) {
  messages::ForwardResponse response;
  response.code = ToNumber(code);
  response.term = term();
  Answer(request_id, std::move(response));
}

void GroupCoordinator::RequeueAndExpire(Time now) {
  while (!retries_.empty() && retries_.begin()->first <= now) {
    const std::uint64_t id = retries_.begin()->second;
    retries_.erase(retries_.begin());
    if (Request* request = requests_.Find(id))
      Enqueue(*request, now);
  }
  for (admission::FairQueue* queue :
       {&read_queue_, &primary_queue_, &begin_queue_}) {
    for (const admission::Ticket& ticket : queue->Expire(now)) {
      const Request* request = requests_.Find(ticket.id);
      if (request == nullptr)
        continue;
      ResultCode code = phase_ == Phase::kServing
                            ? ResultCode::kDeadlineBeforeSend
                            : ResultCode::kNoPrimary;
      if (request->may_have_run)
        code = ResultCode::kOutcomeUnknown;
      Refuse(ticket.id, code);
    }
  }
}

void GroupCoordinator::CheckReplication(Time now) {
  // After the lease has expired, another coordinator may have chosen a primary
  // from positions that members reported before they received the write.
  if (!HasLease(now))
    return;
  std::vector<std::uint64_t> replicated;
  std::vector<std::uint64_t> overdue;
  for (const std::uint64_t id : unreplicated_) {
    const Request& request = *requests_.Find(id);
    if (members_.MajorityHolds(term(), request.position))
      replicated.push_back(id);
    else if (now >= request.deadline)
      overdue.push_back(id);
  }
  for (const std::uint64_t id : replicated) {
    const Request& request = *requests_.Find(id);
    messages::ForwardResponse response;
    response.code = ToNumber(ResultCode::kOk);
    response.value = request.value;
    response.term = term();
    response.position = request.position;
    response.served_by = request.endpoint;
    Answer(id, std::move(response));
  }
  for (const std::uint64_t id : overdue)
    Refuse(id, ResultCode::kNotReplicated);
}

void GroupCoordinator::CheckTransactions(Time now) {
  for (const std::uint64_t pin : transactions_.ExpiredPins(now)) {
    const Transaction* transaction = transactions_.FindByPin(pin);
    if (transaction->statement_in_flight)
      continue;
    AddJournalEntry("transaction_ended", "deadline passed",
                    {{"customer", transaction->customer}});
    EndTransaction(pin, true);
  }
}

bool GroupCoordinator::IsIdle() const {
  return requests_.requests().empty() && transactions_.transactions().empty();
}

std::size_t GroupCoordinator::queued() const {
  return read_queue_.size() + primary_queue_.size() + begin_queue_.size() +
         deferred_reads_.size();
}

bool GroupCoordinator::IsLeaving(const std::string& endpoint) const {
  const Member* member = members_.Find(endpoint);
  return member == nullptr || member->info.leaving ||
         hooks_.endpoint_leaving(member->info);
}

bool GroupCoordinator::MayUse(const Request& request,
                              const Member& member) const {
  return !IsLeaving(member.info.endpoint) &&
         hooks_.endpoint_allowed(request.forward.rule, member.info);
}

EndpointCall& GroupCoordinator::NewCall(CallKind kind,
                                        const std::string& endpoint,
                                        EndpointOperation operation,
                                        Time now,
                                        Time deadline) {
  EndpointCall call;
  call.id = hooks_.next_call_id();
  call.endpoint = endpoint;
  call.operation = operation;
  call.term = term();
  call.deadline = deadline;
  calls_[call.id] = Call{kind, endpoint, now, 0, false};
  return effects_.calls.emplace_back(std::move(call));
}

void GroupCoordinator::AddJournalEntry(
    const std::string& kind,
    const std::string& cause,
    std::map<std::string, std::string> inputs) {
  messages::JournalEntry entry;
  entry.kind = kind;
  entry.subject = group();
  entry.cause = cause;
  entry.inputs = std::move(inputs);
  entry.inputs["term"] = std::to_string(term());
  entry.inputs["epoch"] = std::to_string(epoch());
  effects_.journal.push_back(std::move(entry));
}

CoordinatorEffects GroupCoordinator::TakeEffects() {
  return std::exchange(effects_, CoordinatorEffects());
}

}  // namespace goldcrest::coordinator
