// A restarted member grants no vote for the minimum election timeout: it may
// have acknowledged a leader just before the restart, and that leader's lease
// relies on the acknowledgment. After a restart of all members no lease exists,
// and the wait is skipped if two conditions prove that. First, every member has
// told the candidate that it neither leads nor follows a leader. Second, the
// voter has followed no leader of a later term than that of the candidate's
// last entry. The leader of that term is then among the members that responded,
// and a leader that has stopped never leads the same term again.

#include <algorithm>
#include <utility>

#include "replica_core.h"

namespace goldcrest::consensus {
namespace {

// Range of the random delay between pre-votes during the wait after a restart,
// as fractions of the minimum election timeout. The delay is short enough to
// reach the other members soon after their start, and its spread makes
// simultaneous candidates rare.
constexpr int kMinEarlyPreVoteDelayDivisor = 10;
constexpr int kMaxEarlyPreVoteDelayDivisor = 4;

}  // namespace

void ReplicaCore::StartPreVote() {
  role_ = Role::kPreCandidate;
  leader_.clear();
  willing_voters_ = {options_.self};
  leaderless_members_ = {options_.self};
  if (options_.elect_early_after_restart)
    pre_vote_attempt_ =
        std::uniform_int_distribution<std::int64_t>()(generator_);
  RequestVotes(true, Election::kTimeout);
}

void ReplicaCore::StartElection(Election cause) {
  role_ = Role::kCandidate;
  leader_.clear();
  ++hard_state_.term;
  hard_state_.vote = options_.self;
  ResetElectionTimer();
  RequestVotes(false, cause);
}

bool ReplicaCore::IsInRestartWait() const {
  return now_ < restart_wait_until_;
}

// True if no leader of a term above `term` can rely on acknowledgments that
// this member sent before a restart. Conservative: false unless `term` is the
// current term.
bool ReplicaCore::FollowedNoTermAbove(std::int64_t term) const {
  return hard_state_.term == term;
}

bool ReplicaCore::MayElectEarly() const {
  return options_.elect_early_after_restart && IsElectable() &&
         IsInRestartWait() && leader_.empty() &&
         (role_ == Role::kFollower || role_ == Role::kPreCandidate) &&
         FollowedNoTermAbove(log_.LastTerm());
}

void ReplicaCore::ScheduleEarlyPreVote() {
  const Duration::rep timeout = options_.election_timeout_min.count();
  std::uniform_int_distribution<Duration::rep> micros(
      timeout / kMinEarlyPreVoteDelayDivisor,
      timeout / kMaxEarlyPreVoteDelayDivisor);
  early_pre_vote_at_ = now_ + Duration(micros(generator_));
}

void ReplicaCore::RequestVotes(bool pre_vote, Election cause) {
  votes_ = {options_.self};
  messages::VoteRequest request;
  request.leaderless = cause == Election::kLeaderless;
  request.transfer = cause == Election::kTransfer;
  request.attempt = pre_vote_attempt_;
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
  if (role_ == Role::kPreCandidate) {
    CountPreVotes();
  } else if (IsMajority(votes_)) {
    BecomeLeader();
  }
}

void ReplicaCore::CountPreVotes() {
  if (!IsInRestartWait() && IsMajority(votes_)) {
    StartElection(Election::kTimeout);
    return;
  }
  const bool all_leaderless =
      std::ranges::all_of(log_.Members(), [this](const std::string& name) {
        return leaderless_members_.contains(name);
      });
  if (options_.elect_early_after_restart && all_leaderless &&
      IsMajority(willing_voters_) && FollowedNoTermAbove(log_.LastTerm()))
    StartElection(Election::kLeaderless);
}

bool ReplicaCore::IsMajority(const std::set<std::string>& names) const {
  const auto& members = log_.Members();
  const auto count = std::ranges::count_if(
      members, [&](const auto& name) { return names.contains(name); });
  return static_cast<std::size_t>(count) > members.size() / 2;
}

void ReplicaCore::BecomeLeader() {
  role_ = Role::kLeader;
  leader_ = options_.self;
  leader_since_ = now_;
  votes_.clear();
  rounds_.Clear();
  rounds_.StartNext(now_);
  heartbeat_deadline_ = now_ + options_.heartbeat_interval;
  UpdateTrackedMembers();
  // Entries of earlier terms are committed only together with an entry of the
  // current term, so each leader starts its term with an empty entry.
  AppendAsLeader({});
}

bool ReplicaCore::HasLiveLeader(const messages::VoteRequest& request) const {
  // A leader that asks for an election has given up its lease.
  if (!IsLeader())
    return now_ < vote_refused_until_ && !request.transfer;
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
  messages::VoteResponse response;
  response.pre_vote = request.pre_vote;
  response.attempt = request.attempt;
  response.leaderless = !IsLeader() && !HasLiveLeader(request);
  const bool in_restart_wait = !IsLeader() && IsInRestartWait();
  // Sufficient only if no member leads, which the candidate checks.
  const bool may_skip_wait = FollowedNoTermAbove(request.last_term);
  // Checked for votes as well as pre-votes because the leader lease relies on
  // it: a vote request may arrive long after the pre-vote that preceded it.
  const bool free_to_vote =
      !HasLiveLeader(request) &&
      (!in_restart_wait || (request.leaderless && may_skip_wait));
  if (free_to_vote && !request.pre_vote && request.term > hard_state_.term)
    BecomeFollower(request.term, "");
  const bool votable = request.pre_vote ? request.term > hard_state_.term
                                        : request.term == hard_state_.term &&
                                              (hard_state_.vote.empty() ||
                                               hard_state_.vote == from);
  const bool supports = votable && !hard_state_.joining && IsUpToDate(request);
  response.granted = free_to_vote && supports;
  response.willing = request.pre_vote && response.leaderless && supports &&
                     (!in_restart_wait || may_skip_wait);
  if (response.granted && !request.pre_vote) {
    hard_state_.vote = from;
    ResetElectionTimer();
  }
  response.term =
      response.granted && request.pre_vote ? request.term : hard_state_.term;
  messages::ConsensusMessage message;
  message.__set_vote_response(response);
  Send(from, std::move(message));
}

void ReplicaCore::OnVoteResponse(const std::string& from,
                                 const messages::VoteResponse& response) {
  if (response.pre_vote && role_ == Role::kPreCandidate &&
      response.attempt == pre_vote_attempt_) {
    if (response.leaderless)
      leaderless_members_.insert(from);
    if (response.willing)
      willing_voters_.insert(from);
  }
  if (!response.granted) {
    if (response.term > hard_state_.term)
      BecomeFollower(response.term, "");
    else if (role_ == Role::kPreCandidate)
      CountVotes();
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
  if (message.term != hard_state_.term || from != leader_ || !IsElectable())
    return;
  StartElection(Election::kTransfer);
}

Output ReplicaCore::TransferLeadership(Time now) {
  BeginCall(now);
  if (!IsLeader() || transfer_)
    return TakeOutput();
  const std::string target = FindSuccessor();
  if (!target.empty()) {
    transfer_ = Transfer{target, now_ + options_.election_timeout_min};
    ContinueTransfer();
  }
  return TakeOutput();
}

Output ReplicaCore::Abdicate(Time now) {
  BeginCall(now);
  const std::string target = IsLeader() ? FindSuccessor() : "";
  if (!target.empty())
    SendTimeoutNow(target);
  return TakeOutput();
}

std::string ReplicaCore::FindSuccessor() {
  std::string target;
  std::int64_t best = -1;
  for (const std::string& peer : Peers()) {
    const Progress& progress = progress_[peer];
    if (!IsRecentlyActive(progress) || progress.match_index <= best)
      continue;
    best = progress.match_index;
    target = peer;
  }
  return target;
}

void ReplicaCore::ContinueTransfer() {
  if (!transfer_ || transfer_->timeout_now_sent ||
      progress_[transfer_->target].match_index < log_.LastIndex())
    return;
  transfer_->timeout_now_sent = true;
  SendTimeoutNow(transfer_->target);
}

void ReplicaCore::SendTimeoutNow(const std::string& peer) {
  messages::TimeoutNow timeout_now;
  timeout_now.term = hard_state_.term;
  messages::ConsensusMessage message;
  message.__set_timeout_now(timeout_now);
  Send(peer, std::move(message));
}

}  // namespace goldcrest::consensus
