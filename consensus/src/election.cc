#include <algorithm>
#include <utility>

#include "replica_core.h"

namespace goldcrest::consensus {

void ReplicaCore::StartPreVote() {
  role_ = Role::kPreCandidate;
  leader_.clear();
  ResetElectionTimer();
  RequestVotes(true);
}

void ReplicaCore::StartElection() {
  role_ = Role::kCandidate;
  leader_.clear();
  ++hard_state_.term;
  hard_state_.vote = options_.self;
  ResetElectionTimer();
  RequestVotes(false);
}

void ReplicaCore::RequestVotes(bool pre_vote) {
  votes_ = {options_.self};
  messages::VoteRequest request;
  request.term = hard_state_.term + (pre_vote ? 1 : 0);
  request.candidate = options_.self;
  request.last_index = log_.LastIndex();
  request.last_term = log_.LastTerm();
  request.pre_vote = pre_vote;
  messages::ConsensusMessage message;
  message.__set_vote_request(request);
  for (const std::string& peer : Peers())
    Send(peer, message);
  CountVotes();
}

void ReplicaCore::CountVotes() {
  const auto& members = log_.Members();
  const auto granted = std::ranges::count_if(
      members, [this](const auto& name) { return votes_.contains(name); });
  if (static_cast<std::size_t>(granted) <= members.size() / 2)
    return;
  if (role_ == Role::kPreCandidate) {
    StartElection();
  } else {
    BecomeLeader();
  }
}

void ReplicaCore::BecomeLeader() {
  role_ = Role::kLeader;
  leader_ = options_.self;
  leader_since_ = now_;
  votes_.clear();
  rounds_.Clear();
  rounds_.Next(now_);
  heartbeat_deadline_ = now_ + options_.heartbeat_interval;
  SyncProgress();
  // An entry of an earlier term is committed only below one of this term.
  AppendAsLeader({});
}

bool ReplicaCore::FollowsLiveLeader(
    const messages::VoteRequest& request) const {
  if (!IsLeader())
    return now_ < vote_refused_until_;
  if (transfer_ && transfer_->target == request.candidate)
    return false;
  return now_ < QuorumContact() + options_.election_timeout_min;
}

bool ReplicaCore::IsUpToDate(const messages::VoteRequest& request) const {
  return std::pair(request.last_term, request.last_index) >=
         std::pair(log_.LastTerm(), log_.LastIndex());
}

void ReplicaCore::OnVoteRequest(const std::string& from,
                                const messages::VoteRequest& request) {
  if (request.candidate != from)
    return;
  bool granted = false;
  // A leader's lease relies on this for real votes too: a vote request may
  // arrive long after the pre-vote that allowed it.
  if (!FollowsLiveLeader(request)) {
    if (!request.pre_vote && request.term > hard_state_.term)
      BecomeFollower(request.term, "");
    const bool votable = request.pre_vote ? request.term > hard_state_.term
                                          : request.term == hard_state_.term &&
                                                (hard_state_.vote.empty() ||
                                                 hard_state_.vote == from);
    granted = votable && !hard_state_.joining && IsUpToDate(request);
  }
  if (granted && !request.pre_vote) {
    hard_state_.vote = from;
    ResetElectionTimer();
  }
  messages::VoteResponse response;
  response.term = granted && request.pre_vote ? request.term : hard_state_.term;
  response.granted = granted;
  response.pre_vote = request.pre_vote;
  messages::ConsensusMessage message;
  message.__set_vote_response(response);
  Send(from, std::move(message));
}

void ReplicaCore::OnVoteResponse(const std::string& from,
                                 const messages::VoteResponse& response) {
  if (!response.granted) {
    if (response.term > hard_state_.term)
      BecomeFollower(response.term, "");
    return;
  }
  const Role role = response.pre_vote ? Role::kPreCandidate : Role::kCandidate;
  const std::int64_t term = hard_state_.term + (response.pre_vote ? 1 : 0);
  if (role_ != role || response.term != term)
    return;
  votes_.insert(from);
  CountVotes();
}

void ReplicaCore::OnTimeoutNow(const std::string& from,
                               const messages::TimeoutNow& message) {
  if (message.term != hard_state_.term || from != leader_ || !CanStand())
    return;
  StartElection();
}

Output ReplicaCore::TransferLeadership(Time now) {
  Begin(now);
  if (!IsLeader() || transfer_)
    return Finish();
  std::string target;
  std::int64_t best = -1;
  for (const std::string& peer : Peers()) {
    const Progress& progress = progress_[peer];
    if (!IsLive(progress) || progress.match <= best)
      continue;
    best = progress.match;
    target = peer;
  }
  if (!target.empty()) {
    transfer_ = Transfer{target, now_ + options_.election_timeout_min};
    ContinueTransfer();
  }
  return Finish();
}

void ReplicaCore::ContinueTransfer() {
  if (!transfer_ || transfer_->sent ||
      progress_[transfer_->target].match < log_.LastIndex())
    return;
  transfer_->sent = true;
  messages::TimeoutNow timeout_now;
  timeout_now.term = hard_state_.term;
  messages::ConsensusMessage message;
  message.__set_timeout_now(timeout_now);
  Send(transfer_->target, std::move(message));
}

}  // namespace goldcrest::consensus
