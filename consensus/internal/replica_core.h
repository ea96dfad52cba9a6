#ifndef GOLDCREST_CONSENSUS_REPLICA_CORE_H_
#define GOLDCREST_CONSENSUS_REPLICA_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "goldcrest/consensus/output.h"
#include "goldcrest/consensus/proposal.h"
#include "goldcrest/consensus/replica_options.h"
#include "goldcrest/consensus/restored_state.h"
#include "goldcrest/messages/messages.h"
#include "goldcrest/types/time.h"
#include "progress.h"
#include "replica_log.h"
#include "round_clock.h"

namespace goldcrest::consensus {

//! Implementation of Replica; see there for the public functions. Spread over
//! replica_core.cc, election.cc, replication.cc, snapshot_transfer.cc and
//! membership.cc.
class ReplicaCore {
 public:
  ReplicaCore(ReplicaOptions options,
              RestoredState state,
              std::mt19937_64 generator);

  Output Tick(Time now);
  Output Receive(Time now,
                 const std::string& from,
                 const messages::ConsensusMessage& message);
  Proposal Propose(Time now, std::string command);
  Proposal ProposeMembers(Time now, std::vector<std::string> members);
  Output Compact(std::int64_t index, std::string data);
  Output TransferLeadership(Time now);

  Time NextDeadline() const;
  bool IsLeader() const { return role_ == Role::kLeader; }
  const std::string& Leader() const { return leader_; }
  const HardState& GetHardState() const { return hard_state_; }
  std::int64_t CommitIndex() const { return commit_index_; }
  const ReplicaLog& Log() const { return log_; }
  Time LeaderLeaseEnd() const;

 private:
  enum class Role : std::uint8_t {
    kFollower,
    kPreCandidate,
    kCandidate,
    kLeader
  };

  // An addition that waits for the new member to catch up.
  struct Admission {
    std::string name;
    std::vector<std::string> members;
    Time deadline;
    // Rounds in which an append without entries went to the new member. An
    // accepted one proves that it held the whole log at that time and knows it.
    std::set<std::int64_t> sync_rounds;
  };

  struct Transfer {
    std::string target;
    Time deadline;
    bool sent = false;
  };

  struct PendingSnapshot {
    std::int64_t term = 0;
    std::string from;
    Snapshot snapshot;
  };

  // replica_core.cc
  void Begin(Time now);
  Output Finish();
  void Send(const std::string& to, messages::ConsensusMessage message);
  void ResetElectionTimer();
  void BecomeFollower(std::int64_t term, const std::string& leader);
  void FollowLeader(std::int64_t term, const std::string& leader);
  bool IsMember(const std::string& name) const;
  bool CanStand() const;
  std::vector<std::string> Peers() const;
  void AppendAsLeader(messages::LogEntry entry);
  void AdvanceCommit(std::int64_t index);
  void TickLeader();

  // election.cc
  void StartPreVote();
  void StartElection(bool leaderless);
  bool TriesEarly() const;
  void DrawEarlyAttempt();
  void RequestVotes(bool pre_vote, bool leaderless);
  void CountPreVotes();
  bool IsMajority(const std::set<std::string>& names) const;
  void CountVotes();
  void BecomeLeader();
  bool FollowsLiveLeader(const messages::VoteRequest& request) const;
  bool IsUpToDate(const messages::VoteRequest& request) const;
  bool WaitsAfterRestart() const;
  bool MayHaveSupportedOnly(std::int64_t term) const;
  void OnVoteRequest(const std::string& from,
                     const messages::VoteRequest& request);
  void OnVoteResponse(const std::string& from,
                      const messages::VoteResponse& response);
  void OnTimeoutNow(const std::string& from,
                    const messages::TimeoutNow& message);
  void ContinueTransfer();

  // replication.cc
  void Heartbeat();
  void Replicate();
  void SendAppend(const std::string& to, Progress& progress);
  void OnAppendRequest(const std::string& from,
                       const messages::AppendRequest& request);
  bool Accept(const messages::AppendRequest& request);
  std::int64_t BackOffIndex(std::int64_t prev_index) const;
  void OnAppendResponse(const std::string& from,
                        const messages::AppendResponse& response);
  bool IsLive(const Progress& progress) const;
  void NoteContact(Progress& progress, std::int64_t round) const;
  void CommitByMajority();
  template <typename Function>
  std::int64_t MajorityValue(std::int64_t own, Function value) const;
  std::int64_t MajorityRound() const;
  Time QuorumContact() const;

  // snapshot_transfer.cc
  void SendSnapshotChunk(const std::string& to, Progress& progress);
  void OnSnapshotChunk(const std::string& from,
                       const messages::SnapshotChunk& chunk);
  bool Collect(const std::string& from, const messages::SnapshotChunk& chunk);
  void OnSnapshotResponse(const std::string& from,
                          const messages::SnapshotResponse& response);

  // membership.cc
  void SyncProgress();
  bool IsCaughtUp(const std::string& name) const;
  bool ChangePending() const;
  bool MajorityCaughtUp(const std::vector<std::string>& members,
                        const std::string& added) const;
  bool LastAddedBehind(const std::string& removed) const;
  void LogMembers(const std::vector<std::string>& members);
  void AdmitIfSynced(const std::string& from, std::int64_t round);
  void ExpireAdmission();
  void OnMembersCommitted(const messages::LogEntry& entry);

  ReplicaOptions options_;
  std::mt19937_64 generator_;
  HardState hard_state_;
  std::optional<HardState> saved_hard_state_;  // the last one in an output
  ReplicaLog log_;
  std::int64_t commit_index_ = 0;

  Role role_ = Role::kFollower;
  std::string leader_;
  bool started_ = false;
  Time now_{};
  Output output_;

  Time election_deadline_{};
  // Before this time the replica supports a leader and gives no vote.
  Time vote_refused_until_{};
  // Before this time the replica may support a leader that it followed before
  // it restarted; see election.cc.
  Time restart_wait_until_{};
  Time early_attempt_at_{};
  std::set<std::string> votes_;
  // Answers to the current pre-vote: who would vote if no member leads, and who
  // neither leads nor follows a leader.
  std::set<std::string> willing_;
  std::set<std::string> leaderless_;
  // Of the current pre-vote; an answer to an earlier one says nothing of now.
  std::int64_t attempt_ = 0;

  // As leader.
  std::map<std::string, Progress> progress_;
  RoundClock rounds_;
  Time heartbeat_deadline_{};
  Time leader_since_{};
  std::optional<Admission> admission_;
  std::optional<Transfer> transfer_;

  // As follower.
  std::optional<PendingSnapshot> pending_snapshot_;
  // While joining: per term, the index at which this replica first held all of
  // that term's leader's log. A membership entry of that term with a higher
  // index was logged after this replica started without its data.
  std::map<std::int64_t, std::int64_t> synced_at_;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_REPLICA_CORE_H_
