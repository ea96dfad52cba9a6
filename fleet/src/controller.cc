#include "goldcrest/fleet/controller.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "goldcrest/messages/codec.h"

namespace goldcrest::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Duration kNoticeInterval = milliseconds(400);
constexpr Duration kExpiryCheckInterval = std::chrono::seconds(1);

// An endpoint without a heartbeat at any controller for this long is gone. It
// is several times the heartbeat interval, and longer than the network
// partitions that an endpoint survives.
constexpr Duration kEndpointExpiry = std::chrono::seconds(15);

// The round trip between availability zones takes some 11 ms, and a lost packet
// delays a message by 200 ms. With these times a leader keeps its lease when
// one packet is lost, and a failed leader is replaced within half a second.
constexpr Duration kHeartbeatInterval = milliseconds(75);
constexpr Duration kElectionTimeoutMin = milliseconds(300);
constexpr Duration kElectionTimeoutMax = milliseconds(550);

// Controllers send notices all the while, so that a new one without progress
// for this long is gone; until then it holds up other changes of the
// membership.
constexpr Duration kJoinTimeout = milliseconds(2'000);

}  // namespace

consensus::ReplicaOptions DefaultReplicaOptions() {
  consensus::ReplicaOptions options;
  options.heartbeat_interval = kHeartbeatInterval;
  options.election_timeout_min = kElectionTimeoutMin;
  options.election_timeout_max = kElectionTimeoutMax;
  options.elect_early_after_restart = true;
  options.join_timeout = kJoinTimeout;
  return options;
}

Controller::Controller(Time now,
                       ControllerOptions options,
                       const consensus::RestoredState& restored,
                       std::mt19937_64 generator,
                       ControllerHooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      replica_(options_.replica, restored, generator),
      heartbeat_guard_(options_.max_clock_skew),
      known_controllers_(options_.seeds),
      next_notice_(now),
      next_membership_check_(now),
      next_expiry_check_(now + kEndpointExpiry) {
  if (restored.snapshot.last_index == 0)
    return;
  auto snapshot = messages::DecodeFleetSnapshot(restored.snapshot.data);
  if (!snapshot) {
    failed_ = true;
    return;
  }
  state_.Load(*std::move(snapshot));
  applied_index_ = restored.snapshot.last_index;
  LoadEndpoints(now);
  OnDocumentChanged(now);
  AnnounceEvacuations();
  hooks_.log_decision("snapshot_loaded", std::to_string(applied_index_),
                      "version " + std::to_string(state_.version()));
}

void Controller::LoadEndpoints(Time now) {
  for (const auto& [name, record] : state_.endpoints())
    MergeEndpoint(now, record);
}

void Controller::Tick(Time now) {
  if (now >= replica_.NextDeadline())
    ProcessOutput(now, replica_.Tick(now));
  UpdateLeadership(now);
  if (HoldsLeadership(now)) {
    leadership_->failover->Tick(now);
    LogTakeover(now);
    PlanMembership(now);
    ReleaseSilentHolders(now);
    ProposeReserveReset(now);
    ProposeShareBounds(now);
  }
  FailLostPuts();
  FailLostEvacuations();
  if (now >= next_notice_) {
    next_notice_ = now + kNoticeInterval;
    SendNotices(now);
  }
  if (now >= next_expiry_check_) {
    next_expiry_check_ = now + kExpiryCheckInterval;
    for (const auto& record : directory_.Expire(now, now - kEndpointExpiry)) {
      hooks_.log_decision("endpoint_gone", record.endpoint, "no heartbeat");
      OnEndpointChanged(now, record);
    }
  }
  if (log_bytes_ < options_.snapshot_log_bytes ||
      applied_index_ <= replica_.SnapshotIndex())
    return;
  log_bytes_ = 0;
  ProcessOutput(
      now, replica_.Compact(applied_index_, messages::Encode(state_.Save())));
}

void Controller::OnMessage(Time now,
                           const std::string& from,
                           const messages::PeerMessage& message) {
  if (message.__isset.consensus && options_.has_disk) {
    peers_[from].heard_at = now;
    ProcessOutput(now, replica_.Receive(now, from, message.consensus));
    UpdateLeadership(now);
  }
  if (message.__isset.proxy_report)
    OnReport(now, from, message.proxy_report);
  if (message.__isset.controller_notice)
    OnNotice(now, from, message.controller_notice);
}

void Controller::OnLink(const std::string& peer, bool up) {
  hooks_.log_decision(up ? "link_up" : "link_down", peer, "");
  const auto it = entries_.find(peer);
  if (it != entries_.end())
    it->second.linked = up;
}

void Controller::ProcessOutput(Time now, consensus::Output output) {
  if (failed_)
    return;
  if (!output.writes.empty() && !hooks_.persist(output.writes)) {
    failed_ = true;
    return;
  }
  SendMessages(output.messages);
  if (output.installed) {
    auto snapshot = messages::DecodeFleetSnapshot(output.installed->data);
    if (!snapshot) {
      failed_ = true;
      return;
    }
    state_.Load(*std::move(snapshot));
    applied_index_ = output.installed->last_index;
    LoadEndpoints(now);
  }
  for (const messages::LogEntry& entry : output.committed)
    ApplyCommitted(now, entry);
  // After a restart, one output may commit hundreds of documents.
  OnDocumentChanged(now);
  AnnounceDocument();
  AnnounceEvacuations();
  ReportTermChange();
}

void Controller::SendMessages(
    const std::vector<consensus::Outbound>& messages) {
  for (const consensus::Outbound& outbound : messages) {
    messages::PeerMessage message;
    message.__set_consensus(outbound.message);
    hooks_.send(outbound.to, std::move(message));
  }
}

void Controller::ReportTermChange() {
  if (replica_.Term() == reported_term_ &&
      replica_.Leader() == reported_leader_)
    return;
  reported_term_ = replica_.Term();
  reported_leader_ = replica_.Leader();
  hooks_.log_decision(
      "term_changed", std::to_string(reported_term_),
      reported_leader_.empty() ? "no leader" : "leader " + reported_leader_);
}

void Controller::ApplyCommitted(Time now, const messages::LogEntry& entry) {
  applied_index_ = entry.index;
  if (!entry.members.empty()) {
    std::string names;
    for (const std::string& member : entry.members)
      names += (names.empty() ? "" : ",") + member;
    members_changed_at_ = now;
    hooks_.log_decision("members_changed", names, "");
  }
  if (entry.command.empty())
    return;
  log_bytes_ += entry.command.size();
  const auto command = messages::DecodeFleetCommand(entry.command);
  if (!command) {
    failed_ = true;
    return;
  }
  state_.Apply(*command, entry.index);
  if (command->__isset.endpoint)
    MergeEndpoint(now, command->endpoint);
  if (command->__isset.reserve)
    OnReserveUse(now, command->reserve);
  if (command->__isset.bounds)
    OnShareBounds(now, command->bounds);
  if (command->__isset.holder && leadership_ != nullptr) {
    leadership_->pending_registrations.erase(command->holder.instance);
    const auto it = state_.holders().find(command->holder.instance);
    if (it != state_.holders().end() && it->second.process != 0) {
      // The earlier process has ended, since both bind the instance's address.
      leadership_->owner->OnProcessEnded(now, it->first);
      leadership_->owner->Register(it->first, it->second.incarnation);
      // Asks for a report at once, since requests may wait for the first share.
      messages::ProxyUpdate update;
      update.document_version = announced_version_;
      update.report_now = true;
      messages::PeerMessage message;
      message.__set_proxy_update(update);
      hooks_.send(it->first, std::move(message));
    }
  }
  AnswerEvacuations(entry);
  std::vector<PendingPut> done;
  std::erase_if(pending_puts_, [&](PendingPut& put) {
    if (put.index > entry.index || state_.version() < put.version)
      return false;
    done.push_back(std::move(put));
    return true;
  });
  for (PendingPut& put : done)
    put.done({ConfigurationResult::Kind::kDone, "", ""});
}

void Controller::OnDocumentChanged(Time now) {
  if (state_.text().empty() || applied_version_ == state_.version())
    return;
  applied_version_ = state_.version();
  hooks_.log_decision("configuration_applied", std::to_string(applied_version_),
                      "log index " + std::to_string(applied_index_));
  if (leadership_ != nullptr)
    SetLimits(now);
}

// Tells the entries of the newest document. A controller that has started or
// lagged must not offer them what it holds before it has all that had been
// committed: they would serve callers by a configuration that is out of date.
void Controller::AnnounceDocument() {
  if (failed_ || state_.text().empty() ||
      announced_version_ == state_.version() || !replica_.IsCaughtUp())
    return;
  announced_version_ = state_.version();
  hooks_.log_decision("configuration_announced",
                      std::to_string(announced_version_),
                      "log index " + std::to_string(applied_index_));
  SendToEntries({});
}

// The newest document, decoded; null if it can't be decoded.
const routing::RoutingTable* Controller::Table() {
  if (decoded_version_ != state_.version()) {
    decoded_version_ = state_.version();
    table_ = hooks_.decode(state_.text());
    if (table_ == nullptr)
      hooks_.log_decision("configuration_unreadable",
                          std::to_string(decoded_version_), "");
  }
  return table_.get();
}

std::int64_t Controller::Propose(Time now,
                                 const messages::FleetCommand& command) {
  consensus::Proposal proposal =
      replica_.Propose(now, messages::Encode(command));
  const std::int64_t index =
      proposal.code == ResultCode::kOk ? proposal.index : 0;
  ProcessOutput(now, std::move(proposal.output));
  return index;
}

void Controller::Put(Time now,
                     std::int64_t version,
                     std::string text,
                     Done done) {
  if (!HoldsLeadership(now))
    return done(RedirectToLeader(now));
  if (!state_.text().empty() && version <= state_.version()) {
    done({ConfigurationResult::Kind::kDone, "", ""});
    return;
  }
  messages::FleetCommand command;
  messages::PutDocument put;
  put.version = version;
  put.text = std::move(text);
  command.__set_put(put);
  PendingPut pending;
  pending.version = version;
  pending.term = replica_.Term();
  pending.index = replica_.LastIndex() + 1;
  pending.done = std::move(done);
  pending_puts_.push_back(std::move(pending));
  if (Propose(now, command) == 0)
    pending_puts_.back().term = -1;  // Makes FailLostPuts() answer it.
  FailLostPuts();
}

// Answers the calls whose log entry may be lost, since this controller no
// longer leads in their term.
void Controller::FailLostPuts() {
  std::vector<PendingPut> lost;
  std::erase_if(pending_puts_, [&](PendingPut& put) {
    if (replica_.IsLeader() && put.term == replica_.Term())
      return false;
    lost.push_back(std::move(put));
    return true;
  });
  for (PendingPut& put : lost)
    put.done({ConfigurationResult::Kind::kUnknown, "", ""});
}

ConfigurationResult Controller::Get(Time now) const {
  if (HoldsLeadership(now))
    return {ConfigurationResult::Kind::kDone, "", state_.text()};
  return RedirectToLeader(now);
}

// A controller without a disk is not a member of the log, and knows the leader
// from its notices only.
std::string Controller::KnownLeader(Time now) const {
  if (options_.has_disk)
    return replica_.Leader();
  return now - leader_announced_at_ < kPeerTimeout ? announced_leader_ : "";
}

ConfigurationResult Controller::RedirectToLeader(Time now) const {
  const std::string leader = KnownLeader(now);
  if (!leader.empty() && leader != options_.replica.self)
    return {ConfigurationResult::Kind::kNotLeader, leader, ""};
  return {};
}

void Controller::OnProbe(Time now,
                         const std::string& group,
                         const std::string& endpoint,
                         const ProbeResult& result) {
  if (!HoldsLeadership(now))
    return;
  if (result.kind == ProbeResult::Kind::kLeads &&
      result.purpose == ProbePurpose::kLeadership && result.position)
    leadership_->confirmed_primaries[group] = result;
  leadership_->failover->OnProbe(now, group, endpoint, result);
}

void Controller::OnPromotion(Time now,
                             const messages::PrimaryAssignment& assignment,
                             PromotionResult result) {
  if (HoldsLeadership(now))
    leadership_->failover->OnPromotion(now, assignment, result);
}

void Controller::Abandon(Time now) {
  SendMessages(replica_.Abdicate(now).messages);
  for (PendingPut& put : std::exchange(pending_puts_, {}))
    put.done({ConfigurationResult::Kind::kUnknown, "", ""});
  for (PendingEvacuation& call : std::exchange(pending_evacuations_, {}))
    call.done({ConfigurationResult::Kind::kUnknown, "", ""});
}

void Controller::BeginDrain(Time now) {
  draining_ = true;
  SendNotices(now);
  if (replica_.IsLeader())
    ProcessOutput(now, replica_.TransferLeadership(now));
  UpdateLeadership(now);
}

}  // namespace goldcrest::fleet
