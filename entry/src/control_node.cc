#include "goldcrest/entry/control_node.h"

#include <optional>

#include "goldcrest/messages/codec.h"

namespace goldcrest::entry {
namespace {

// At 8,900 changes a day the log is compacted several times a day.
constexpr std::int64_t kEntriesBetweenSnapshots = 1'000;

}  // namespace

ControlNode::ControlNode(consensus::ReplicaOptions options,
                         control::LeaderOptions leader_options,
                         const consensus::RestoredState& restored,
                         std::mt19937_64 generator,
                         ControlNodeHooks hooks)
    : self_(options.self),
      leader_options_(leader_options),
      hooks_(std::move(hooks)),
      replica_(std::move(options), restored, generator) {
  if (restored.snapshot.last_index == 0)
    return;
  if (const auto snapshot =
          messages::DecodeControlSnapshot(restored.snapshot.data)) {
    state_.Load(*snapshot);
    applied_index_ = restored.snapshot.last_index;
  } else {
    effects_.failed = true;
  }
}

ControlEffects ControlNode::OnMessage(const std::string& from,
                                      const messages::PeerMessage& message,
                                      Time now) {
  if (message.__isset.consensus)
    Process(replica_.Receive(now, from, message.consensus), now);
  UpdateLeadership(now);
  const bool leads = leader_ != nullptr && replica_.HoldsLeaderLease(now);
  if (message.__isset.report) {
    if (leads) {
      ExecuteEffects(leader_->OnReport(message.report, now), now);
    } else {
      messages::PeerMessage hint;
      messages::ControlUpdate update;
      update.leader = replica_.Leader() == self_ ? "" : replica_.Leader();
      hint.__set_update(update);
      Send(from, std::move(hint));
    }
  }
  if (message.__isset.propose)
    OnPropose(from, message.propose, now);
  return TakeEffects();
}

void ControlNode::OnPropose(const std::string& from,
                            const messages::ProposeRequest& request,
                            Time now) {
  if (leader_ == nullptr || !replica_.HoldsLeaderLease(now)) {
    Respond(from, request.id, ResultCode::kNotLeader, replica_.Leader());
    return;
  }
  if (!request.__isset.members) {
    ExecuteEffects(leader_->OnPropose(from, request, hooks_.wall_ms(), now),
                   now);
    return;
  }
  consensus::Proposal proposal = replica_.ProposeMembers(now, request.members);
  Process(std::move(proposal.output), now);
  // An addition is logged after the new member has caught up; until then it has
  // no log index.
  const bool logged_later =
      proposal.code == ResultCode::kOk && proposal.index == 0;
  Respond(from, request.id, proposal.code,
          logged_later ? "in force once the member has caught up" : "");
}

void ControlNode::Respond(const std::string& to,
                          std::int64_t id,
                          ResultCode code,
                          const std::string& message) {
  messages::ProposeResponse response;
  response.id = id;
  response.code = ToNumber(code);
  response.message = message;
  messages::PeerMessage answer;
  answer.__set_propose_response(response);
  Send(to, std::move(answer));
}

ControlEffects ControlNode::Tick(Time now) {
  if (now >= replica_.NextDeadline())
    Process(replica_.Tick(now), now);
  UpdateLeadership(now);
  if (leader_ != nullptr && replica_.HoldsLeaderLease(now))
    ExecuteEffects(leader_->Tick(hooks_.wall_ms(), now), now);
  MaybeCompact(now);
  return TakeEffects();
}

ControlEffects ControlNode::TransferLeadership(Time now) {
  if (replica_.IsLeader())
    Process(replica_.TransferLeadership(now), now);
  return TakeEffects();
}

void ControlNode::Process(consensus::Output output, Time now) {
  if (!output.writes.empty() && !hooks_.persist(output.writes)) {
    effects_.failed = true;
    return;
  }
  for (consensus::Outbound& outbound : output.messages) {
    messages::PeerMessage message;
    message.__set_consensus(outbound.message);
    Send(outbound.to, std::move(message));
  }
  if (output.installed) {
    const auto snapshot =
        messages::DecodeControlSnapshot(output.installed->data);
    if (!snapshot) {
      effects_.failed = true;
      return;
    }
    state_.Load(*snapshot);
    applied_index_ = output.installed->last_index;
  }
  for (const messages::LogEntry& entry : output.committed)
    ApplyCommitted(entry, now);
}

void ControlNode::ApplyCommitted(const messages::LogEntry& entry, Time now) {
  applied_index_ = entry.index;
  control::ApplyResult result;
  if (!entry.command.empty()) {
    const auto command = messages::DecodeCommand(entry.command);
    if (!command) {
      effects_.failed = true;
      return;
    }
    result = state_.Apply(*command);
  }
  const auto it = proposals_.find(entry.index);
  if (it == proposals_.end())
    return;
  const std::uint64_t id = it->second;
  proposals_.erase(it);
  if (leader_ != nullptr && entry.term == leader_term_)
    ExecuteEffects(leader_->OnApplied(id, result, now), now);
}

void ControlNode::ExecuteEffects(const control::LeaderEffects& effects,
                                 Time now) {
  for (const auto& [to, message] : effects.messages)
    Send(to, message);
  for (const control::Proposal& proposal : effects.proposals) {
    consensus::Proposal logged =
        replica_.Propose(now, messages::Encode(proposal.command));
    if (logged.code != ResultCode::kOk) {
      if (leader_ != nullptr)
        ExecuteEffects(
            leader_->OnApplied(proposal.id, {logged.code, 0, ""}, now), now);
      continue;
    }
    // Must precede Process(): a single member commits immediately.
    proposals_[logged.index] = proposal.id;
    Process(std::move(logged.output), now);
  }
}

void ControlNode::UpdateLeadership(Time now) {
  const bool leads = replica_.IsLeader();
  if (leader_ != nullptr && (!leads || replica_.Term() != leader_term_)) {
    leader_.reset();
    proposals_.clear();
  }
  if (leader_ != nullptr || !leads || !replica_.HoldsLeaderLease(now))
    return;
  leader_term_ = replica_.Term();
  leader_ = std::make_unique<control::Leader>(
      &state_, self_, leader_term_, leader_options_, hooks_.random_secret, now);
}

void ControlNode::MaybeCompact(Time now) {
  if (applied_index_ - replica_.SnapshotIndex() < kEntriesBetweenSnapshots)
    return;
  Process(replica_.Compact(applied_index_, messages::Encode(state_.Save())),
          now);
}

void ControlNode::Send(const std::string& to, messages::PeerMessage message) {
  effects_.messages.emplace_back(to, std::move(message));
}

ControlEffects ControlNode::TakeEffects() {
  return std::exchange(effects_, ControlEffects());
}

}  // namespace goldcrest::entry
