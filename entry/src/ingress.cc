#include "goldcrest/entry/ingress.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace goldcrest::entry {
namespace {

using messages::Operation;

constexpr std::int64_t kMicrosPerRequest = 1'000'000;

// A nonce consists of a random prefix and a counter. Fully random nonces would
// collide after about 2^32 tokens of all instances; a prefix is drawn only once
// per process and per 2^32 tokens.
constexpr std::size_t kNoncePrefixBytes = 8;

// Numbers of requests for each millisecond from one process to the next.
constexpr int kRequestIdBits = 20;

bool Writes(Operation::type operation) {
  return operation != Operation::READ;
}

}  // namespace

std::int64_t FirstRequestId(std::int64_t incarnation) {
  constexpr std::uint64_t max_incarnation =
      (std::uint64_t{1} << (62U - kRequestIdBits)) - 1;
  const std::uint64_t bounded =
      static_cast<std::uint64_t>(incarnation) & max_incarnation;
  return static_cast<std::int64_t>(bounded << kRequestIdBits) + 1;
}

Ingress::Ingress(const ControlView* view,
                 quota::Holder* holder,
                 IngressOptions options,
                 std::function<std::string(std::size_t)> random_bytes)
    : view_(view),
      holder_(holder),
      options_(options),
      random_bytes_(std::move(random_bytes)),
      next_forward_id_(FirstRequestId(options.incarnation)) {}

IngressEffects Ingress::OnRequest(const CallerRequest& request, Time now) {
  const std::int64_t id = next_forward_id_++;
  Pending& pending = pending_[id];
  pending.request = request;
  pending.deadline = now + request.timeout;
  const ResultCode code = Admit(pending, now);
  if (code != ResultCode::kOk) {
    Refuse(id, code, now);
    return TakeEffects();
  }
  const std::string& customer = pending.access.customer;
  if (NeedsToken(pending) && !holder_->TryTake(now, customer)) {
    pending.state = State::kWaitingForToken;
    pending.token_deadline =
        std::min(pending.deadline, now + options_.quota_wait);
    holder_->StartWaiting(now, customer);
    token_waiters_[customer].push_back(id);
    return TakeEffects();
  }
  Forward(id, pending, now);
  return TakeEffects();
}

ResultCode Ingress::Admit(Pending& pending, Time now) {
  const CallerRequest& request = pending.request;
  if (!request.key_digest.empty() && !HasControlLease(now))
    return ResultCode::kNoControlContact;
  if (view_->FindGroup(request.group) == nullptr) {
    return HasControlLease(now) ? ResultCode::kUnknownGroup
                                : ResultCode::kNoControlContact;
  }
  policy::AccessRequest facts;
  facts.key_digest = request.key_digest;
  facts.group = request.group;
  facts.write = Writes(request.operation);
  facts.endpoints = view_->EndpointsOf(request.group);
  pending.access = view_->configuration().Decide(facts);
  if (pending.access.code != ResultCode::kOk)
    return pending.access.code;
  return OpenSession(pending);
}

ResultCode Ingress::OpenSession(Pending& pending) const {
  pending.marks.customer = pending.access.customer;
  if (pending.request.session_token.empty())
    return ResultCode::kOk;
  const auto sealer = session::TokenSealer::FromBytes(view_->session_secret());
  if (!sealer)
    return ResultCode::kNoControlContact;
  auto marks = sealer->Open(pending.request.session_token);
  if (!marks || marks->customer != pending.access.customer)
    return ResultCode::kInvalidSession;
  pending.marks = std::move(*marks);
  // Without room for the mark of a write in the token, later reads of the
  // session could miss the write.
  const bool has_room =
      pending.marks.groups.size() < session::TokenSealer::kMaxGroups ||
      pending.marks.groups.contains(pending.request.group);
  if (Writes(pending.request.operation) && !has_room)
    return ResultCode::kInvalidSession;
  return ResultCode::kOk;
}

// The end of a transaction needs no token, so that a caller over its rate can
// release the slot that its transaction holds.
bool Ingress::NeedsToken(const Pending& pending) const {
  const Operation::type operation = pending.request.operation;
  return !pending.access.customer.empty() && operation != Operation::COMMIT &&
         operation != Operation::ROLLBACK;
}

bool Ingress::IsRetryable(const CallerRequest& request) const {
  return request.operation == Operation::READ || request.idempotent ||
         !request.request_id.empty();
}

void Ingress::Forward(std::int64_t id, Pending& pending, Time now) {
  const CallerRequest& request = pending.request;
  const messages::GroupState* group = view_->FindGroup(request.group);
  if (group == nullptr || group->coordinator.empty()) {
    pending.state = State::kWaitingForCoordinator;
    pending.retry_at = now + options_.retry_delay;
    coordinator_waiters_.insert(id);
    return;
  }
  const policy::AccessDecision& access = pending.access;
  messages::ForwardRequest forward;
  forward.id = id;
  forward.group = request.group;
  forward.epoch = group->coordinator_epoch;
  forward.operation = request.operation;
  forward.customer = access.customer;
  forward.key_name = access.key_name;
  forward.rule = access.rule;
  forward.statement = request.statement;
  forward.request_id = request.request_id;
  forward.idempotent = request.idempotent;
  forward.transaction = request.transaction;
  forward.timeout_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                           pending.deadline - now)
                           .count();
  std::chrono::milliseconds max_age =
      access.max_age.value_or(std::chrono::milliseconds(0));
  if (request.max_age)
    max_age = std::min(max_age, *request.max_age);
  forward.max_age_ms = max_age.count();
  forward.durability = access.durability;
  if (const auto mark = pending.marks.groups.find(request.group);
      mark != pending.marks.groups.end()) {
    forward.mark_term = mark->second.term;
    forward.mark_position = mark->second.position;
  }
  const auto quota = view_->configuration().QuotaOf(access.customer);
  forward.weight = quota ? quota->rate_micros / kMicrosPerRequest : 1;

  pending.state = State::kForwarded;
  pending.coordinator = group->coordinator;
  pending.epoch = group->coordinator_epoch;
  coordinator_waiters_.erase(id);
  effects_.forwards.emplace_back(group->coordinator, std::move(forward));
}

IngressEffects Ingress::OnResponse(const std::string& from,
                                   const messages::ForwardResponse& response,
                                   Time now) {
  const auto it = pending_.find(response.id);
  if (it == pending_.end())
    return TakeEffects();
  Pending& pending = it->second;
  // Answers of an earlier coordinator belong to an abandoned attempt.
  if (pending.state != State::kForwarded || pending.coordinator != from)
    return TakeEffects();
  const ResultCode code = ResultCodeFromNumber(response.code);
  if (code == ResultCode::kCoordinatorMoved && now < pending.deadline) {
    pending.state = State::kWaitingForCoordinator;
    pending.retry_at = now + options_.retry_delay;
    coordinator_waiters_.insert(it->first);
    return TakeEffects();
  }
  if (code != ResultCode::kOk && code != ResultCode::kStatementFailed) {
    Refuse(it->first, code, now);
    return TakeEffects();
  }
  CallerAnswer answer;
  answer.code = code;
  answer.value = response.value;
  answer.message = response.message;
  answer.transaction = response.transaction;
  answer.served_by = response.served_by;
  answer.session_token = SealToken(pending, response);
  Answer(it->first, std::move(answer));
  return TakeEffects();
}

IngressEffects Ingress::OnForwardNotSent(std::int64_t forward_id, Time now) {
  const auto it = pending_.find(forward_id);
  if (it != pending_.end() && it->second.state == State::kForwarded) {
    it->second.state = State::kWaitingForCoordinator;
    it->second.retry_at = now + options_.retry_delay;
    coordinator_waiters_.insert(forward_id);
  }
  return TakeEffects();
}

IngressEffects Ingress::OnViewChange(Time now) {
  ServeTokenWaiters(now);
  for (const std::int64_t id : coordinator_waiters_)
    pending_.at(id).retry_at = now;
  CheckForwarded(now);
  RetryForwards(now);
  return TakeEffects();
}

IngressEffects Ingress::Tick(Time now) {
  ServeTokenWaiters(now);
  CheckForwarded(now);
  RetryForwards(now);
  return TakeEffects();
}

void Ingress::ServeTokenWaiters(Time now) {
  for (auto it = token_waiters_.begin(); it != token_waiters_.end();) {
    const std::string& customer = it->first;
    std::deque<std::int64_t>& waiters = it->second;
    while (!waiters.empty()) {
      const std::int64_t id = waiters.front();
      Pending& pending = pending_.at(id);
      if (!KeyIsValid(pending)) {
        holder_->StopWaiting(customer);
        Refuse(id, ResultCode::kKeyWithdrawn, now);
      } else if (holder_->TryTakeWaiting(now, customer)) {
        Forward(id, pending, now);
      } else if (now >= pending.token_deadline) {
        holder_->StopWaiting(customer);
        Refuse(id, ResultCode::kRateExceeded, now);
      } else {
        break;
      }
      waiters.pop_front();
    }
    it = waiters.empty() ? token_waiters_.erase(it) : std::next(it);
  }
}

void Ingress::RetryForwards(Time now) {
  const std::set<std::int64_t> waiters = coordinator_waiters_;
  for (const std::int64_t id : waiters) {
    Pending& pending = pending_.at(id);
    if (!KeyIsValid(pending)) {
      Refuse(id, ResultCode::kKeyWithdrawn, now);
    } else if (now >= pending.deadline) {
      Refuse(id,
             pending.may_have_run ? ResultCode::kOutcomeUnknown
                                  : ResultCode::kNoCoordinator,
             now);
    } else if (now >= pending.retry_at) {
      Forward(id, pending, now);
    }
  }
}

void Ingress::CheckForwarded(Time now) {
  std::vector<std::int64_t> unknown;
  for (auto& [id, pending] : pending_) {
    if (pending.state != State::kForwarded)
      continue;
    if (now >= pending.deadline + options_.answer_grace) {
      unknown.push_back(id);
      continue;
    }
    const messages::GroupState* group = view_->FindGroup(pending.request.group);
    if (group == nullptr || group->coordinator_epoch <= pending.epoch)
      continue;
    // The coordinator was replaced and can no longer answer.
    pending.may_have_run =
        pending.may_have_run || pending.request.operation != Operation::READ;
    if (!IsRetryable(pending.request)) {
      unknown.push_back(id);
      continue;
    }
    pending.state = State::kWaitingForCoordinator;
    pending.retry_at = now;
    coordinator_waiters_.insert(id);
  }
  for (const std::int64_t id : unknown)
    Refuse(id, ResultCode::kOutcomeUnknown, now);
}

bool Ingress::KeyIsValid(const Pending& pending) const {
  const policy::AccessDecision& access = pending.access;
  return access.key_name.empty() ||
         view_->configuration().KeyInForceFor(access.key_name, access.customer);
}

void Ingress::Answer(std::int64_t id, CallerAnswer answer) {
  const auto it = pending_.find(id);
  answer.id = it->second.request.id;
  answer.customer = it->second.access.customer;
  answer.group = it->second.request.group;
  coordinator_waiters_.erase(id);
  pending_.erase(it);
  effects_.answers.push_back(std::move(answer));
}

void Ingress::Refuse(std::int64_t id, ResultCode code, Time now) {
  CallerAnswer answer;
  // A refusal applies only to the coordinator's own attempt. An earlier attempt
  // may have run.
  const bool earlier_attempt =
      pending_.at(id).may_have_run && InfoOf(code).outcome == Outcome::kNotRun;
  answer.code = earlier_attempt ? ResultCode::kOutcomeUnknown : code;
  answer.message = std::string(InfoOf(answer.code).meaning);
  if (code == ResultCode::kRateExceeded) {
    const Time next =
        holder_->NextTokenAt(now, pending_.at(id).access.customer);
    if (next != kNever)
      answer.retry_after = std::chrono::ceil<std::chrono::milliseconds>(
          std::max(next, now) - now);
  }
  Answer(id, std::move(answer));
}

std::string Ingress::SealToken(const Pending& pending,
                               const messages::ForwardResponse& response) {
  if (response.term == 0)
    return {};
  session::Marks marks = pending.marks;
  session::Mark& mark = marks.groups[pending.request.group];
  const session::Mark written{response.term, response.position};
  if (std::pair(written.term, written.position) >
      std::pair(mark.term, mark.position))
    mark = written;
  const auto sealer = session::TokenSealer::FromBytes(view_->session_secret());
  if (!sealer)
    return {};
  auto token = sealer->Seal(marks, NextNonce());
  return token ? *token : std::string();
}

std::array<std::uint8_t, session::TokenSealer::kNonceBytes>
Ingress::NextNonce() {
  if (nonce_counter_ == 0)
    nonce_prefix_ = random_bytes_(kNoncePrefixBytes);
  std::array<std::uint8_t, session::TokenSealer::kNonceBytes> nonce{};
  std::ranges::copy(nonce_prefix_, nonce.begin());
  const std::uint32_t counter = nonce_counter_++;
  std::memcpy(nonce.data() + kNoncePrefixBytes, &counter, sizeof(counter));
  return nonce;
}

IngressEffects Ingress::TakeEffects() {
  return std::exchange(effects_, IngressEffects());
}

}  // namespace goldcrest::entry
