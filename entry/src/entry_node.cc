#include "goldcrest/entry/entry_node.h"

#include <iterator>

#include "goldcrest/types/digest.h"

namespace goldcrest::entry {
namespace {

constexpr Duration kProposalRetryInterval = std::chrono::milliseconds(500);
constexpr std::size_t kTransactionNameBytes = 16;

template <typename T>
void AppendAll(std::vector<T>& to, std::vector<T>&& from) {
  to.insert(to.end(), std::make_move_iterator(from.begin()),
            std::make_move_iterator(from.end()));
}

EntryNodeOptions WithIncarnation(EntryNodeOptions options) {
  options.ingress.incarnation = options.control.self.incarnation;
  return options;
}

}  // namespace

EntryNode::EntryNode(EntryNodeOptions options, EntryNodeHooks hooks)
    : options_(WithIncarnation(std::move(options))),
      hooks_(std::move(hooks)),
      ingress_(&view_, &holder_, options_.ingress, hooks_.random_bytes),
      client_(&view_, &holder_, options_.control),
      next_proposal_(FirstRequestId(options_.ingress.incarnation)) {}

EntryEffects EntryNode::OnCallerRequest(const CallerRequest& request,
                                        Time now) {
  MergeEffects(ingress_.OnRequest(request, now));
  SendReport(now);
  return TakeEffects();
}

EntryEffects EntryNode::OnMessage(const std::string& from,
                                  const messages::PeerMessage& message,
                                  Time now) {
  if (message.__isset.update)
    OnControlUpdate(message.update, now);
  if (message.__isset.forward)
    OnForward(from, message.forward, now);
  if (message.__isset.forward_response)
    MergeEffects(ingress_.OnResponse(from, message.forward_response, now));
  if (message.__isset.propose_response)
    OnProposeResponse(message.propose_response, now);
  return TakeEffects();
}

EntryEffects EntryNode::OnNotSent(const std::string& to,
                                  const messages::PeerMessage& message,
                                  Time now) {
  if (message.__isset.forward)
    MergeEffects(ingress_.OnForwardNotSent(message.forward.id, now));
  if (message.__isset.report && to == client_.target())
    client_.OnTargetFailed("", now);
  return TakeEffects();
}

EntryEffects EntryNode::OnCallResult(std::uint64_t call_id,
                                     const coordinator::CallResult& result,
                                     Time now) {
  const auto it = group_by_call_.find(call_id);
  if (it == group_by_call_.end())
    return TakeEffects();
  const std::string group = it->second;
  group_by_call_.erase(it);
  if (const auto found = coordinators_.find(group);
      found != coordinators_.end())
    MergeEffects(found->second->OnCallResult(call_id, result, now), group);
  return TakeEffects();
}

EntryEffects EntryNode::OnAnnouncement(
    const messages::Announcement& announcement,
    Time now) {
  client_.OnAnnouncement(announcement);
  SendReport(now);
  return TakeEffects();
}

EntryEffects EntryNode::OnOperatorProposal(
    std::uint64_t id,
    const messages::ProposeRequest& request,
    Time deadline,
    Time now) {
  OperatorProposal proposal{request, deadline, now + kProposalRetryInterval};
  proposal.request.id = next_proposal_++;
  SendProposal(proposal.request);
  const std::int64_t number = proposal.request.id;
  operator_proposals_[number] = {id, std::move(proposal)};
  return TakeEffects();
}

EntryEffects EntryNode::Tick(Time now) {
  for (auto& [group, coordinator] : coordinators_)
    MergeEffects(coordinator->Tick(now), group);
  std::erase_if(coordinators_, [&](const auto& entry) {
    using Phase = coordinator::GroupCoordinator::Phase;
    return entry.second->phase() == Phase::kStopped;
  });
  MergeEffects(ingress_.Tick(now));
  ResendProposals(now);
  StopDrainedCoordinators(now);
  SendReport(now);
  return TakeEffects();
}

void EntryNode::BeginDrain() {
  draining_ = true;
  for (auto& [group, coordinator] : coordinators_)
    coordinator->BeginDrain();
  client_.RequestImmediateReport();
}

void EntryNode::StopDrainedCoordinators(Time now) {
  for (auto it = coordinators_.begin(); it != coordinators_.end();) {
    coordinator::GroupCoordinator& coordinator = *it->second;
    if (!coordinator.draining() || !coordinator.IsIdle()) {
      ++it;
      continue;
    }
    MergeEffects(coordinator.Stop(now, "handed over"), it->first);
    resigned_[it->first] = coordinator.epoch();
    it = coordinators_.erase(it);
    client_.RequestImmediateReport();
  }
}

void EntryNode::OnControlUpdate(const messages::ControlUpdate& update,
                                Time now) {
  const ControlClient::UpdateResult result = client_.OnUpdate(update, now);
  if (!result.accepted)
    return;
  if (result.control_lease_until)
    ingress_.SetControlLease(*result.control_lease_until);
  if (result.view_changed) {
    effects_.view_changed = true;
    RefreshLimits();
  }
  for (const std::string& group : update.hand_over) {
    if (const auto it = coordinators_.find(group); it != coordinators_.end())
      it->second->BeginDrain();
  }
  UpdateCoordinators(result.leases, now);
  // The update may contain quota shares even if the view has not changed.
  MergeEffects(ingress_.OnViewChange(now));
}

void EntryNode::UpdateCoordinators(
    const std::vector<std::pair<messages::CoordinatorLease, Time>>& leases,
    Time now) {
  for (auto& [name, coordinator] : coordinators_) {
    coordinator->SetEndpoints(view_.EndpointsOf(name), now);
    if (const messages::GroupState* state = view_.FindGroup(name))
      MergeEffects(coordinator->OnGroupState(*state, now), name);
    MergeEffects(coordinator->OnPolicyChange(now), name);
  }
  for (const auto& [lease, until] : leases) {
    const messages::GroupState* state = view_.FindGroup(lease.group);
    if (state == nullptr || state->coordinator_epoch != lease.epoch ||
        state->coordinator != options_.control.self.instance || now >= until)
      continue;
    const auto found = coordinators_.find(lease.group);
    if (found != coordinators_.end()) {
      found->second->ExtendLease(until);
      continue;
    }
    if (draining_) {
      resigned_[lease.group] = lease.epoch;
      continue;
    }
    // An epoch is never coordinated again after a stop. Its outstanding
    // requests may stay unanswered, and entries resend them only after control
    // has assigned a new epoch.
    const auto resigned = resigned_.find(lease.group);
    if (resigned != resigned_.end() && resigned->second >= lease.epoch)
      continue;
    auto coordinator = std::make_unique<coordinator::GroupCoordinator>(
        options_.coordinator, MakeCoordinatorHooks(), *state, until, now);
    coordinator->SetEndpoints(view_.EndpointsOf(lease.group), now);
    MergeEffects(coordinator->Tick(now), lease.group);
    coordinators_[lease.group] = std::move(coordinator);
  }
}

void EntryNode::OnForward(const std::string& from,
                          const messages::ForwardRequest& request,
                          Time now) {
  const auto it = coordinators_.find(request.group);
  if (it != coordinators_.end()) {
    MergeEffects(it->second->OnRequest(from, request, now), request.group);
    return;
  }
  messages::ForwardResponse response;
  response.id = request.id;
  response.code = ToNumber(ResultCode::kCoordinatorMoved);
  messages::PeerMessage message;
  message.__set_forward_response(response);
  effects_.messages.emplace_back(from, std::move(message));
}

void EntryNode::OnProposeResponse(const messages::ProposeResponse& response,
                                  Time now) {
  if (const auto it = coordinator_proposals_.find(response.id);
      it != coordinator_proposals_.end()) {
    const std::string group = it->second;
    coordinator_proposals_.erase(it);
    const auto found = coordinators_.find(group);
    if (found == coordinators_.end())
      return;
    if (response.code == ToNumber(ResultCode::kOk))
      client_.RequestImmediateReport();
    else
      MergeEffects(found->second->OnProposalRefused(now), group);
    return;
  }
  const auto it = operator_proposals_.find(response.id);
  if (it == operator_proposals_.end())
    return;
  auto& [operator_id, proposal] = it->second;
  if (response.code == ToNumber(ResultCode::kNotLeader) &&
      now < proposal.deadline) {
    client_.OnTargetFailed(response.message, now);
    return;
  }
  effects_.operator_answers.push_back({operator_id, response});
  operator_proposals_.erase(it);
}

void EntryNode::MergeEffects(coordinator::CoordinatorEffects effects,
                             const std::string& group) {
  for (const coordinator::EndpointCall& call : effects.calls)
    group_by_call_[call.id] = group;
  AppendAll(effects_.calls, std::move(effects.calls));
  AppendAll(effects_.closed_pins, std::move(effects.closed_pins));
  AppendAll(effects_.released_pins, std::move(effects.released_pins));
  for (coordinator::CoordinatorAnswer& answer : effects.answers) {
    messages::PeerMessage message;
    message.__set_forward_response(answer.response);
    effects_.messages.emplace_back(answer.instance, std::move(message));
  }
  for (const messages::SetPrimary& proposal : effects.proposals) {
    messages::ProposeRequest request;
    request.id = next_proposal_++;
    request.command.__set_set_primary(proposal);
    coordinator_proposals_[request.id] = proposal.group;
    SendProposal(request);
  }
  for (messages::JournalEntry& entry : effects.journal) {
    entry.wall_ms = hooks_.wall_ms();
    entry.inputs["instance"] = options_.control.self.instance;
    client_.AddJournalEntry(entry);
    effects_.journal.push_back(std::move(entry));
  }
}

void EntryNode::MergeEffects(IngressEffects effects) {
  AppendAll(effects_.answers, std::move(effects.answers));
  for (auto& [to, forward] : effects.forwards) {
    messages::PeerMessage message;
    message.__set_forward(forward);
    effects_.messages.emplace_back(to, std::move(message));
  }
}

void EntryNode::SendProposal(const messages::ProposeRequest& request) {
  messages::PeerMessage message;
  message.__set_propose(request);
  effects_.messages.emplace_back(client_.target(), std::move(message));
}

void EntryNode::ResendProposals(Time now) {
  for (auto it = operator_proposals_.begin();
       it != operator_proposals_.end();) {
    auto& [operator_id, proposal] = it->second;
    if (now >= proposal.deadline) {
      messages::ProposeResponse response;
      response.code = ToNumber(ResultCode::kOutcomeUnknown);
      response.message = "control has not answered in time";
      effects_.operator_answers.push_back({operator_id, response});
      it = operator_proposals_.erase(it);
      continue;
    }
    if (now >= proposal.retry_at) {
      proposal.retry_at = now + kProposalRetryInterval;
      SendProposal(proposal.request);
    }
    ++it;
  }
}

void EntryNode::SendReport(Time now) {
  if (stop_reported_)
    return;
  std::vector<messages::CoordinatorReport> reports;
  for (const auto& [group, coordinator] : coordinators_) {
    messages::CoordinatorReport report;
    report.group = group;
    report.epoch = coordinator->epoch();
    reports.push_back(report);
  }
  bool handed_over = true;
  for (const auto& [group, epoch] : resigned_) {
    const messages::GroupState* state = view_.FindGroup(group);
    if (state == nullptr || state->coordinator_epoch != epoch)
      continue;
    handed_over = false;
    messages::CoordinatorReport report;
    report.group = group;
    report.epoch = epoch;
    report.resign = true;
    reports.push_back(report);
  }
  // Without control no other instance can take over the groups, so waiting is
  // pointless: all control members may be stopping.
  handed_over = handed_over || !ingress_.HasControlLease(now);
  const bool stopped = draining_ && coordinators_.empty() && handed_over &&
                       ingress_.InFlight() == 0 && caller_connections_closed_;
  auto report =
      client_.MaybeReport(std::move(reports), draining_, stopped, now);
  if (!report)
    return;
  report->second.wall_ms = hooks_.wall_ms();
  messages::PeerMessage message;
  message.__set_report(report->second);
  effects_.messages.emplace_back(report->first, std::move(message));
  stop_reported_ = stopped;
  if (stopped)
    holder_.Stop();
}

coordinator::CoordinatorHooks EntryNode::MakeCoordinatorHooks() {
  coordinator::CoordinatorHooks hooks;
  hooks.key_is_valid = [this](const std::string& key_name,
                              const std::string& customer) {
    return key_name.empty() ||
           view_.configuration().KeyInForceFor(key_name, customer);
  };
  hooks.endpoint_allowed = [this](const std::string& rule,
                                  const messages::EndpointInfo& endpoint) {
    return view_.configuration().RuleAllows(rule, endpoint);
  };
  hooks.endpoint_leaving = [this](const messages::EndpointInfo& endpoint) {
    return view_.configuration().EndpointLeaving(endpoint.endpoint);
  };
  hooks.next_call_id = [this] { return next_call_id_++; };
  hooks.random_name = [this] {
    return ToHex(hooks_.random_bytes(kTransactionNameBytes));
  };
  return hooks;
}

void EntryNode::RefreshLimits() {
  limits_.Refresh(
      view_.configuration(),
      [&](const std::string& customer, std::optional<quota::Limit> limit) {
        holder_.SetLimit(customer, limit);
      });
}

EntryEffects EntryNode::TakeEffects() {
  EntryEffects effects = std::exchange(effects_, EntryEffects());
  return effects;
}

}  // namespace goldcrest::entry
