#include <algorithm>

#include "goldcrest/coordinator/group_coordinator.h"

namespace goldcrest::coordinator {
namespace {

// Delay after a refused proposal. Control members without a known leader refuse
// immediately, and each proposal adds a journal entry.
constexpr Duration kProposalRetryDelay = std::chrono::milliseconds(50);

}  // namespace

CoordinatorEffects GroupCoordinator::OnGroupState(
    const messages::GroupState& state,
    Time now) {
  if (phase_ == Phase::kStopped || state.revision <= state_.revision)
    return TakeEffects();
  if (state.coordinator_epoch != epoch() ||
      state.coordinator != state_.coordinator)
    return Stop(now, "another coordinator was assigned");
  const bool new_term = state.term > term();
  state_ = state;
  if (new_term)
    Promote(now);
  return TakeEffects();
}

CoordinatorEffects GroupCoordinator::OnProposalRefused(Time now) {
  if (phase_ == Phase::kProposing)
    next_proposal_at_ = now + kProposalRetryDelay;
  GiveUpProposal(now);
  return TakeEffects();
}

void GroupCoordinator::GiveUpProposal(Time now) {
  if (phase_ != Phase::kProposing)
    return;
  phase_ = Phase::kCollecting;
  collect_deadline_ = now;
}

CoordinatorEffects GroupCoordinator::OnPolicyChange(Time now) {
  std::vector<std::uint64_t> withdrawn;
  for (const auto& [pin, transaction] : transactions_.transactions()) {
    if (!hooks_.key_is_valid(transaction.key_name, transaction.customer))
      withdrawn.push_back(pin);
  }
  for (const std::uint64_t pin : withdrawn) {
    AddJournalEntry("transaction_ended", "key withdrawn",
                    {{"customer", transactions_.FindByPin(pin)->customer}});
    EndTransaction(pin, true);
  }
  Dispatch(now);
  return TakeEffects();
}

CoordinatorEffects GroupCoordinator::Tick(Time now) {
  if (phase_ == Phase::kStopped)
    return TakeEffects();
  if (now >= lease_until_)
    return Stop(now, "coordinator lease lapsed");
  SendProbes(now);
  switch (phase_) {
    case Phase::kCollecting:
      ProposePrimaryIfReady(now);
      break;
    case Phase::kProposing:
      if (now >= phase_deadline_)
        GiveUpProposal(now);
      break;
    case Phase::kServing:
      CheckPrimary(now);
      break;
    case Phase::kPromoting:
    case Phase::kStopped:
      break;
  }
  CheckReplication(now);
  CheckTransactions(now);
  RequeueAndExpire(now);
  Dispatch(now);
  return TakeEffects();
}

CoordinatorEffects GroupCoordinator::Stop(Time now, const std::string& cause) {
  StopServing(now, cause);
  return TakeEffects();
}

void GroupCoordinator::StopServing(Time now, const std::string& cause) {
  if (phase_ == Phase::kStopped)
    return;
  AddJournalEntry("coordinator_stopped", cause, {});
  phase_ = Phase::kStopped;
  lease_until_ = std::min(lease_until_, now);
  calls_.clear();
  std::vector<std::uint64_t> ids;
  for (const auto& [id, request] : requests_.requests())
    ids.push_back(id);
  for (const std::uint64_t id : ids) {
    const Request& request = *requests_.Find(id);
    const bool reads = request.forward.operation == messages::Operation::READ;
    const bool never_sent =
        request.state == RequestState::kQueued && !request.may_have_run;
    Refuse(id, reads || never_sent ? ResultCode::kCoordinatorMoved
                                   : ResultCode::kOutcomeUnknown);
  }
  while (!transactions_.transactions().empty())
    EndTransaction(transactions_.transactions().begin()->first, true);
}

void GroupCoordinator::OnProbeResult(const Call& call,
                                     const CallResult& result,
                                     Time now) {
  Member* member = members_.Find(call.endpoint);
  if (member == nullptr)
    return;
  if (call.kind == CallKind::kFollow)
    member->follow_in_flight = false;
  else
    member->probe_in_flight = false;
  const EndpointAnswer& answer = result.answer;
  if (result.delivery != Delivery::kAnswered ||
      answer.status != AnswerStatus::kDone || answer.endpoint != call.endpoint)
    return;
  members_.OnReport(call.endpoint, answer.term, answer.log_term,
                    answer.position, now);
  // The endpoint read its position after the probe was sent. Recording the send
  // time never understates the age of a replica's data.
  if (call.endpoint == primary() && phase_ == Phase::kServing)
    history_.Record(call.sent, answer.position);
}

void GroupCoordinator::SendProbes(Time now) {
  for (auto& [name, member] : members_.members()) {
    if (member.probe_in_flight || now < member.next_probe)
      continue;
    NewCall(CallKind::kProbe, name, EndpointOperation::kStatus, now,
            now + options_.probe_timeout);
    member.probe_in_flight = true;
    const bool busy = !unreplicated_.empty() && name != primary();
    member.next_probe =
        now + (busy ? options_.busy_probe_interval : options_.probe_interval);
  }
  if (phase_ == Phase::kServing)
    SendFollowCalls(now);
}

void GroupCoordinator::ProbeReplicasNow(Time now) {
  for (auto& [name, member] : members_.members()) {
    if (name != primary())
      member.next_probe = now;
  }
  SendProbes(now);
}

void GroupCoordinator::SendFollowCalls(Time now) {
  const Member* leader = members_.Find(primary());
  if (leader == nullptr)
    return;
  for (auto& [name, member] : members_.members()) {
    if (name == primary() || member.term >= term() || member.follow_in_flight)
      continue;
    if (!members_.IsAlive(member, now, options_.member_timeout))
      continue;
    EndpointCall& call =
        NewCall(CallKind::kFollow, name, EndpointOperation::kFollow, now,
                now + options_.probe_timeout);
    call.primary = primary();
    call.primary_host = leader->info.host;
    call.primary_port = leader->info.port;
    member.follow_in_flight = true;
  }
}

void GroupCoordinator::CheckPrimary(Time now) {
  const Member* leader = members_.Find(primary());
  if (leader == nullptr ||
      !members_.IsAlive(*leader, now, options_.member_timeout)) {
    StartReplacement("primary does not answer", primary(), now);
    return;
  }
  if (leader->term > term()) {
    StopServing(now, "the primary has a newer term");
    return;
  }
  if (now >= isolation_timeout_reset_)
    isolation_timeout_ = options_.isolation_timeout;
  // While no write waits for replication, keeping the primary does no harm.
  // Replicas with a long lag are indistinguishable from disconnected replicas.
  const bool replaceable =
      !unreplicated_.empty() &&
      members_.ChoosePrimary(now, options_.member_timeout, "", primary());
  if (replaceable && members_.PrimaryIsIsolated(now, isolation_timeout_)) {
    isolation_timeout_ =
        std::min(isolation_timeout_ * 2, options_.max_isolation_timeout);
    isolation_timeout_reset_ = now + 4 * options_.max_isolation_timeout;
    StartReplacement("replicas get nothing from the primary", primary(), now);
    return;
  }
  if (!IsLeaving(primary()))
    return;
  // A planned replacement waits until nothing runs on the primary and a replica
  // has its whole log, so that it interrupts no request.
  const admission::EndpointLimits& limits = limits_.at(primary());
  if (limits.slots_in_use() > 0 || !unreplicated_.empty())
    return;
  // The last probe of the primary may predate its last write.
  const std::int64_t position =
      std::max(leader->position, last_written_position_);
  const bool caught_up =
      std::ranges::any_of(members_.members(), [&](const auto& entry) {
        const Member& member = entry.second;
        return entry.first != primary() && !IsLeaving(entry.first) &&
               members_.IsAlive(member, now, options_.member_timeout) &&
               member.log_term == leader->log_term &&
               member.position >= position;
      });
  if (caught_up)
    StartReplacement("primary is leaving", primary(), now);
}

void GroupCoordinator::StartReplacement(const std::string& cause,
                                        const std::string& excluded,
                                        Time now) {
  replacement_cause_ = cause;
  excluded_primary_ = excluded;
  phase_ = Phase::kCollecting;
  collect_deadline_ = now;
  AbandonWorkOfOldTerm(now);
  ProposePrimaryIfReady(now);
}

void GroupCoordinator::AbandonWorkOfOldTerm(Time now) {
  std::vector<std::uint64_t> lost;
  for (const auto& [id, request] : requests_.requests()) {
    if (request.state == RequestState::kAwaitingReplication ||
        (request.state == RequestState::kSent && request.endpoint == primary()))
      lost.push_back(id);
  }
  // Abandons all calls to the old primary except probes; their answers are
  // ignored.
  std::erase_if(calls_, [&](const auto& entry) {
    const Call& call = entry.second;
    const bool outdated =
        call.endpoint == primary() && call.kind != CallKind::kProbe;
    if (outdated && call.holds_slot)
      limits_.at(call.endpoint).ReleaseSlot(false);
    return outdated;
  });
  for (const std::uint64_t id : lost) {
    Request* request = requests_.Find(id);
    unreplicated_.erase(id);
    if (request != nullptr)
      OnAnswerLost(*request, now);
  }
  while (!transactions_.transactions().empty())
    EndTransaction(transactions_.transactions().begin()->first, true);
}

void GroupCoordinator::ProposePrimaryIfReady(Time now) {
  if (now < next_proposal_at_)
    return;
  const bool all_answered =
      std::ranges::all_of(members_.members(), [&](const auto& entry) {
        return members_.IsAlive(entry.second, now, options_.member_timeout);
      });
  if (!all_answered && now < collect_deadline_)
    return;
  const auto chosen = members_.ChoosePrimary(now, options_.member_timeout,
                                             primary(), excluded_primary_);
  if (!chosen) {
    // The excluded primary may be the only member that holds all writes. If it
    // answers again, it may be chosen, because the group would have no primary
    // otherwise.
    excluded_primary_.clear();
    return;
  }
  const Member& member = *members_.Find(*chosen);
  messages::SetPrimary proposal;
  proposal.group = group();
  proposal.epoch = epoch();
  proposal.term = term() + 1;
  proposal.primary = *chosen;
  proposal.previous_term_end = member.position;
  proposal.cause = replacement_cause_;
  effects_.proposals.push_back(proposal);
  phase_ = Phase::kProposing;
  phase_deadline_ = now + options_.promote_timeout;
  AddJournalEntry(
      "primary_proposed", replacement_cause_,
      {{"primary", *chosen}, {"position", std::to_string(member.position)}});
}

void GroupCoordinator::Promote(Time now) {
  phase_ = Phase::kPromoting;
  NewCall(CallKind::kPromote, primary(), EndpointOperation::kPromote, now,
          now + options_.promote_timeout);
}

void GroupCoordinator::OnPromoteResult(const CallResult& result, Time now) {
  if (phase_ != Phase::kPromoting)
    return;
  const EndpointAnswer& answer = result.answer;
  if (result.delivery != Delivery::kAnswered ||
      answer.status != AnswerStatus::kDone || answer.term != term()) {
    StartReplacement("promotion failed", primary(), now);
    return;
  }
  members_.OnReport(primary(), answer.term, answer.log_term, answer.position,
                    now);
  members_.SetPrimary(primary(), now);
  last_written_position_ = answer.position;
  history_ = session::PositionHistory();
  excluded_primary_.clear();
  phase_ = Phase::kServing;
  AddJournalEntry("primary_serving", replacement_cause_,
                  {{"primary", primary()}});
  SendFollowCalls(now);
}

}  // namespace goldcrest::coordinator
