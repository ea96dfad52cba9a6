#include <algorithm>
#include <functional>
#include <utility>

#include "replica_core.h"

namespace goldcrest::consensus {
namespace {

// Largest difference in speed between the clocks of two members. The lease is
// shortened by this share.
constexpr int kMaxClockDriftPercent = 10;

bool IsWellFormed(const messages::AppendRequest& request) {
  std::int64_t index = request.prev_index;
  std::int64_t term = request.prev_term;
  if (index < 0 || request.commit_index < 0)
    return false;
  for (const messages::LogEntry& entry : request.entries) {
    if (entry.index != ++index || entry.term < term)
      return false;
    term = entry.term;
  }
  return term <= request.term;
}

}  // namespace

void ReplicaCore::SendHeartbeats() {
  rounds_.StartNext(now_);
  heartbeat_deadline_ = now_ + options_.heartbeat_interval;
  // Neither the lease nor check-quorum uses older rounds.
  rounds_.Prune(now_ - 2 * options_.election_timeout_max);
  for (auto& [name, progress] : progress_)
    SendAppend(name, progress);
}

void ReplicaCore::Replicate() {
  for (auto& [name, progress] : progress_) {
    if (!progress.append_in_flight)
      SendAppend(name, progress);
  }
}

void ReplicaCore::SendAppend(const std::string& to, Progress& progress) {
  progress.append_in_flight = true;
  const auto prev_term = log_.TermAt(progress.next_index - 1);
  if (!prev_term) {
    SendSnapshotChunk(to, progress);
    return;
  }
  // An unresponsive member is sent one entry at a time.
  messages::AppendRequest request;
  request.term = hard_state_.term;
  request.prev_index = progress.next_index - 1;
  request.prev_term = *prev_term;
  request.entries = log_.Slice(progress.next_index,
                               IsRecentlyActive(progress) && !progress.probing
                                   ? options_.max_append_entries
                                   : 1,
                               options_.max_append_bytes);
  request.commit_index = commit_index_;
  if (admission_ && admission_->name == to) {
    rounds_.StartNext(now_);
    if (request.entries.empty())
      admission_->sync_rounds.insert(rounds_.Current());
  }
  request.round = rounds_.Current();
  messages::ConsensusMessage message;
  message.__set_append_request(request);
  Send(to, std::move(message));
}

void ReplicaCore::OnAppendRequest(const std::string& from,
                                  const messages::AppendRequest& request) {
  if (!IsWellFormed(request))
    return;
  messages::AppendResponse response;
  response.round = request.round;
  if (request.term < hard_state_.term) {
    response.last_index = log_.LastIndex();
  } else if (request.term == hard_state_.term && IsLeader()) {
    return;  // Invalid: a term has at most one leader.
  } else {
    FollowLeader(request.term, from);
    RecordLeaderCommit(request);
    response.success = TryAppend(request);
    if (response.success) {
      response.match_index = request.prev_index +
                             static_cast<std::int64_t>(request.entries.size());
    } else {
      response.last_index = BackOffIndex(request.prev_index);
    }
  }
  response.term = hard_state_.term;
  response.joining = hard_state_.joining;
  messages::ConsensusMessage message;
  message.__set_append_response(response);
  Send(from, std::move(message));
}

void ReplicaCore::RecordLeaderCommit(const messages::AppendRequest& request) {
  if (leader_commit_term_ != request.term) {
    leader_commit_term_ = request.term;
    leader_commit_index_ = 0;
  }
  leader_commit_index_ = std::max(leader_commit_index_, request.commit_index);
}

bool ReplicaCore::IsCaughtUp() const {
  // A leader that has committed no entry of its own term does not know yet what
  // earlier leaders have committed.
  if (log_.TermAt(commit_index_) != hard_state_.term)
    return false;
  return IsLeader() || (leader_commit_term_ == hard_state_.term &&
                        commit_index_ >= leader_commit_index_);
}

bool ReplicaCore::TryAppend(const messages::AppendRequest& request) {
  // Committed entries need no check: every later leader's log contains them.
  if (request.prev_index > commit_index_ &&
      log_.TermAt(request.prev_index) != request.prev_term)
    return false;
  AppendEntries appended;
  for (const messages::LogEntry& entry : request.entries) {
    if (entry.index <= commit_index_)
      continue;
    const auto term = log_.TermAt(entry.index);
    if (term == entry.term)
      continue;
    if (term) {
      log_.Truncate(entry.index);
      output_.writes.emplace_back(TruncateLog{entry.index});
    }
    log_.Append(entry);
    appended.entries.push_back(entry);
  }
  if (!appended.entries.empty())
    output_.writes.emplace_back(std::move(appended));
  if (hard_state_.joining && request.entries.empty())
    first_synced_index_.try_emplace(request.term, request.prev_index);
  const auto matched =
      request.prev_index + static_cast<std::int64_t>(request.entries.size());
  AdvanceCommit(std::min(request.commit_index, matched));
  return true;
}

std::int64_t ReplicaCore::BackOffIndex(std::int64_t prev_index) const {
  if (prev_index > log_.LastIndex())
    return log_.LastIndex();
  // Skips all entries of the conflicting term with one response.
  return std::max(commit_index_, log_.FirstIndexOfTermAt(prev_index) - 1);
}

void ReplicaCore::OnAppendResponse(const std::string& from,
                                   const messages::AppendResponse& response) {
  if (response.term > hard_state_.term) {
    BecomeFollower(response.term, "");
    return;
  }
  const auto it = progress_.find(from);
  if (!IsLeader() || response.term != hard_state_.term ||
      it == progress_.end() || response.match_index > log_.LastIndex())
    return;
  Progress& progress = it->second;
  RecordContact(progress, response.round);
  if (!response.success) {
    // The response may be outdated, so it never raises `next_index`. A member
    // that lost its disk reports less than it had acknowledged before.
    progress.next_index = std::clamp<std::int64_t>(
        response.last_index + 1, 1,
        std::max<std::int64_t>(progress.next_index - 1, 1));
    progress.match_index =
        std::min(progress.match_index, progress.next_index - 1);
    progress.probing = true;
    SendAppend(from, progress);
    return;
  }
  progress.probing = false;
  if (response.match_index > progress.match_index) {
    progress.match_index = response.match_index;
    if (admission_ && admission_->name == from)
      admission_->deadline = now_ + options_.join_timeout;
  }
  progress.next_index = std::max(progress.next_index, progress.match_index + 1);
  if (progress.next_index <= log_.LastIndex())
    SendAppend(from, progress);
  ContinueAdmission(from, response);
  ContinueTransfer();
  CommitByMajority();
}

bool ReplicaCore::IsRecentlyActive(const Progress& progress) const {
  return progress.last_contact &&
         *progress.last_contact + options_.election_timeout_max > now_;
}

void ReplicaCore::RecordContact(Progress& progress, std::int64_t round) const {
  progress.last_contact = now_;
  progress.append_in_flight = false;
  progress.acked_round =
      std::max(progress.acked_round, std::min(round, rounds_.Current()));
}

void ReplicaCore::CommitByMajority() {
  if (!IsLeader())
    return;
  const std::int64_t index = MajorityValue(
      log_.LastIndex(),
      [](const Progress& progress) { return progress.match_index; });
  if (index > commit_index_ && log_.TermAt(index) == hard_state_.term)
    AdvanceCommit(index);
}

template <typename Function>
std::int64_t ReplicaCore::MajorityValue(std::int64_t own,
                                        Function value) const {
  std::vector<std::int64_t> values;
  for (const std::string& member : log_.Members()) {
    const auto it = progress_.find(member);
    if (member == options_.self) {
      values.push_back(own);
    } else {
      values.push_back(it == progress_.end() ? 0 : value(it->second));
    }
  }
  if (values.empty())
    return 0;
  std::ranges::sort(values, std::greater<>());
  return values[values.size() / 2];
}

std::int64_t ReplicaCore::MajorityRound() const {
  return MajorityValue(rounds_.Current(), [](const Progress& progress) {
    return progress.acked_round;
  });
}

Time ReplicaCore::QuorumContact() const {
  return rounds_.StartOf(MajorityRound()).value_or(leader_since_);
}

Time ReplicaCore::LeaderLeaseEnd() const {
  if (!IsLeader() || log_.TermAt(commit_index_) != hard_state_.term)
    return Time{};
  // The target may be elected at any time: it votes for itself although it has
  // acknowledged a round of this leader.
  if (transfer_ && transfer_->timeout_now_sent)
    return Time{};
  const auto start = rounds_.StartOf(MajorityRound());
  if (!start)
    return Time{};
  return *start +
         options_.election_timeout_min * (100 - kMaxClockDriftPercent) / 100;
}

}  // namespace goldcrest::consensus
