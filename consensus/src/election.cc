// Elections.
//
// A member gives no vote for the minimum election timeout after a restart: it
// may have answered a leader just before, whose lease counts on that. After a
// restart of all members nobody holds a lease, and the wait is left out when
// that is certain: the candidate had the answer of every member that it neither
// leads nor follows, and the voter can have followed leaders up to the term of
// the candidate's last entry only. The leader of that term is one of the
// members that answered, and a leader that has stopped does not lead its term
// again.

#include <algorithm>
#include <utility>

#include "replica_core.h"

namespace goldcrest::consensus {
namespace {

// Attempts during the wait after a restart, in parts of the minimum election
// timeout: often enough to find the others soon after they have started, and
// spread so that two members seldom stand at once.
constexpr int kEarliestAttemptDivisor = 10;
constexpr int kLatestAttemptDivisor = 4;

}  // namespace

void ReplicaCore::StartPreVote() {
  role_ = Role::kPreCandidate;
  leader_.clear();
  willing_ = {options_.self};
  leaderless_ = {options_.self};
  if (options_.elect_early)
    attempt_ = std::uniform_int_distribution<std::int64_t>()(generator_);
  RequestVotes(true, false);
}

void ReplicaCore::StartElection(bool leaderless) {
  role_ = Role::kCandidate;
  leader_.clear();
  ++hard_state_.term;
  hard_state_.vote = options_.self;
  ResetElectionTimer();
  RequestVotes(false, leaderless);
}

bool ReplicaCore::WaitsAfterRestart() const {
  return now_ < restart_wait_until_;
}

// True when no leader of a term above `term` can count on this member because
// of answers that it gave before a restart.
bool ReplicaCore::MayHaveSupportedOnly(std::int64_t term) const {
  return hard_state_.term == term;
}

bool ReplicaCore::TriesEarly() const {
  return options_.elect_early && CanStand() && WaitsAfterRestart() &&
         leader_.empty() &&
         (role_ == Role::kFollower || role_ == Role::kPreCandidate) &&
         MayHaveSupportedOnly(log_.LastTerm());
}

void ReplicaCore::DrawEarlyAttempt() {
  const Duration::rep timeout = options_.election_timeout_min.count();
  std::uniform_int_distribution<Duration::rep> micros(
      timeout / kEarliestAttemptDivisor, timeout / kLatestAttemptDivisor);
  early_attempt_at_ = now_ + Duration(micros(generator_));
}

void ReplicaCore::RequestVotes(bool pre_vote, bool leaderless) {
  votes_ = {options_.self};
  messages::VoteRequest request;
  request.leaderless = leaderless;
  request.attempt = attempt_;
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
  if (!WaitsAfterRestart() && IsMajority(votes_)) {
    StartElection(false);
    return;
  }
  const bool all_leaderless = std::ranges::all_of(
      log_.Members(),
      [this](const std::string& name) { return leaderless_.contains(name); });
  if (options_.elect_early && all_leaderless && IsMajority(willing_) &&
      MayHaveSupportedOnly(log_.LastTerm()))
    StartElection(true);
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
  messages::VoteResponse response;
  response.pre_vote = request.pre_vote;
  response.attempt = request.attempt;
  response.leaderless = !IsLeader() && !FollowsLiveLeader(request);
  // Whether the wait after a restart may be left out if no member leads.
  const bool waits = !IsLeader() && WaitsAfterRestart();
  const bool skips_wait = MayHaveSupportedOnly(request.last_term);
  // A leader's lease relies on this for real votes too: a vote request may
  // arrive long after the pre-vote that allowed it.
  const bool free_to_vote = !FollowsLiveLeader(request) &&
                            (!waits || (request.leaderless && skips_wait));
  if (free_to_vote && !request.pre_vote && request.term > hard_state_.term)
    BecomeFollower(request.term, "");
  const bool votable = request.pre_vote ? request.term > hard_state_.term
                                        : request.term == hard_state_.term &&
                                              (hard_state_.vote.empty() ||
                                               hard_state_.vote == from);
  const bool supports = votable && !hard_state_.joining && IsUpToDate(request);
  response.granted = free_to_vote && supports;
  response.willing = request.pre_vote && response.leaderless && supports &&
                     (!waits || skips_wait);
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
      response.attempt == attempt_) {
    if (response.leaderless)
      leaderless_.insert(from);
    if (response.willing)
      willing_.insert(from);
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
  if (message.term != hard_state_.term || from != leader_ || !CanStand())
    return;
  StartElection(false);
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
