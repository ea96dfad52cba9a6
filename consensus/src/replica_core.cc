#include "replica_core.h"

#include <algorithm>
#include <utility>

namespace goldcrest::consensus {
namespace {

// Term of the first log entry, which lists the bootstrap members. Every
// bootstrap member writes the same entry, so it needs no leader.
constexpr std::int64_t kBootstrapTerm = 1;

messages::LogEntry BootstrapEntry(std::vector<std::string> members) {
  std::ranges::sort(members);
  messages::LogEntry entry;
  entry.term = kBootstrapTerm;
  entry.index = 1;
  entry.__set_members(members);
  return entry;
}

}  // namespace

ReplicaCore::ReplicaCore(ReplicaOptions options,
                         RestoredState state,
                         std::mt19937_64 generator)
    : options_(std::move(options)),
      generator_(generator),
      hard_state_(std::move(state.hard_state)),
      log_(std::move(state.snapshot), std::move(state.entries)),
      commit_index_(log_.CurrentSnapshot().last_index) {
  if (!state.fresh) {
    saved_hard_state_ = hard_state_;
    return;
  }
  const auto& members = options_.bootstrap_members;
  if (std::ranges::find(members, options_.self) == members.end()) {
    hard_state_.joining = true;
    return;
  }
  hard_state_ = {.term = kBootstrapTerm, .vote = "", .joining = false};
  const messages::LogEntry entry = BootstrapEntry(members);
  log_.Append(entry);
  output_.writes.emplace_back(AppendEntries{{entry}});
}

Output ReplicaCore::Tick(Time now) {
  BeginCall(now);
  if (IsLeader()) {
    TickLeader();
  } else if (IsElectable() && now_ >= election_deadline_) {
    ResetElectionTimer();
    StartPreVote();
  } else if (MayElectEarly() && now_ >= early_pre_vote_at_) {
    ScheduleEarlyPreVote();
    StartPreVote();
  }
  return TakeOutput();
}

void ReplicaCore::TickLeader() {
  if (now_ >= QuorumContact() + options_.election_timeout_max) {
    BecomeFollower(hard_state_.term, "");
    return;
  }
  if (transfer_ && now_ >= transfer_->deadline) {
    // A delayed TimeoutNow could still make the target leader while this
    // replica holds a renewed lease of the current term.
    if (transfer_->timeout_now_sent) {
      BecomeFollower(hard_state_.term, "");
      return;
    }
    transfer_.reset();
  }
  ExpireAdmission();
  if (now_ >= heartbeat_deadline_)
    SendHeartbeats();
}

Output ReplicaCore::Receive(Time now,
                            const std::string& from,
                            const messages::ConsensusMessage& message) {
  BeginCall(now);
  if (from == options_.self)
    return TakeOutput();
  if (message.__isset.vote_request) {
    OnVoteRequest(from, message.vote_request);
  } else if (message.__isset.vote_response) {
    OnVoteResponse(from, message.vote_response);
  } else if (message.__isset.append_request) {
    OnAppendRequest(from, message.append_request);
  } else if (message.__isset.append_response) {
    OnAppendResponse(from, message.append_response);
  } else if (message.__isset.snapshot_chunk) {
    OnSnapshotChunk(from, message.snapshot_chunk);
  } else if (message.__isset.snapshot_response) {
    OnSnapshotResponse(from, message.snapshot_response);
  } else if (message.__isset.timeout_now) {
    OnTimeoutNow(from, message.timeout_now);
  }
  return TakeOutput();
}

Proposal ReplicaCore::Propose(Time now, std::string command) {
  BeginCall(now);
  Proposal proposal;
  if (!IsLeader() || transfer_) {
    proposal.code = ResultCode::kNotLeader;
  } else if (command.size() > options_.max_command_bytes) {
    proposal.code = ResultCode::kBodyTooLarge;
  } else {
    messages::LogEntry entry;
    entry.command = std::move(command);
    AppendAsLeader(std::move(entry));
    proposal.code = ResultCode::kOk;
    proposal.index = log_.LastIndex();
    proposal.term = hard_state_.term;
  }
  proposal.output = TakeOutput();
  return proposal;
}

Output ReplicaCore::Compact(std::int64_t index, std::string data) {
  if (index <= log_.CurrentSnapshot().last_index || index > commit_index_)
    return TakeOutput();
  Snapshot snapshot;
  snapshot.last_index = index;
  snapshot.last_term = log_.At(index).term;
  snapshot.members = log_.MembersAt(index);
  snapshot.data = std::move(data);
  output_.writes.emplace_back(SaveSnapshot{snapshot});
  log_.Install(std::move(snapshot));
  return TakeOutput();
}

Time ReplicaCore::NextDeadline() const {
  if (!started_)
    return Time{};
  if (!IsLeader()) {
    if (!IsElectable())
      return kNever;
    return MayElectEarly() ? std::min(election_deadline_, early_pre_vote_at_)
                           : election_deadline_;
  }
  Time deadline = std::min(heartbeat_deadline_,
                           QuorumContact() + options_.election_timeout_max);
  if (transfer_)
    deadline = std::min(deadline, transfer_->deadline);
  if (admission_)
    deadline = std::min(deadline, admission_->deadline);
  return deadline;
}

void ReplicaCore::BeginCall(Time now) {
  now_ = now;
  if (started_)
    return;
  started_ = true;
  // The replica may have acknowledged a leader before a restart, and that
  // leader's lease relies on the acknowledgment.
  restart_wait_until_ = now_ + options_.election_timeout_min;
  ResetElectionTimer();
  if (options_.elect_early_after_restart)
    ScheduleEarlyPreVote();
}

Output ReplicaCore::TakeOutput() {
  if (saved_hard_state_ != hard_state_) {
    output_.writes.insert(output_.writes.begin(), hard_state_);
    saved_hard_state_ = hard_state_;
  }
  return std::exchange(output_, {});
}

void ReplicaCore::Send(const std::string& to,
                       messages::ConsensusMessage message) {
  output_.messages.push_back({to, std::move(message)});
}

void ReplicaCore::ResetElectionTimer() {
  std::uniform_int_distribution<Duration::rep> micros(
      options_.election_timeout_min.count(),
      options_.election_timeout_max.count());
  election_deadline_ = now_ + Duration(micros(generator_));
}

void ReplicaCore::BecomeFollower(std::int64_t term, const std::string& leader) {
  if (term > hard_state_.term) {
    hard_state_.term = term;
    hard_state_.vote.clear();
  }
  if (IsLeader())
    ResetElectionTimer();
  role_ = Role::kFollower;
  leader_ = leader;
  votes_.clear();
  progress_.clear();
  rounds_.Clear();
  admission_.reset();
  transfer_.reset();
}

void ReplicaCore::FollowLeader(std::int64_t term, const std::string& leader) {
  if (term > hard_state_.term || role_ != Role::kFollower || leader_ != leader)
    BecomeFollower(term, leader);
  vote_refused_until_ = now_ + options_.election_timeout_min;
  ResetElectionTimer();
}

bool ReplicaCore::IsMember(const std::string& name) const {
  return std::ranges::binary_search(log_.Members(), name);
}

bool ReplicaCore::IsElectable() const {
  return !hard_state_.joining && IsMember(options_.self);
}

std::vector<std::string> ReplicaCore::Peers() const {
  std::vector<std::string> peers = log_.Members();
  std::erase(peers, options_.self);
  return peers;
}

void ReplicaCore::AppendAsLeader(messages::LogEntry entry) {
  entry.term = hard_state_.term;
  entry.index = log_.LastIndex() + 1;
  output_.writes.emplace_back(AppendEntries{{entry}});
  log_.Append(std::move(entry));
  UpdateTrackedMembers();
  Replicate();
  CommitByMajority();
}

void ReplicaCore::AdvanceCommit(std::int64_t index) {
  while (commit_index_ < index) {
    const messages::LogEntry& entry = log_.At(++commit_index_);
    output_.committed.push_back(entry);
    if (entry.__isset.members)
      OnMembersCommitted(entry);
    if (hard_state_.joining)
      FinishJoining(entry);
  }
}

}  // namespace goldcrest::consensus
