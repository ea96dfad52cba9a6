#ifndef GOLDCREST_CONSENSUS_REPLICA_CORE_H_
#define GOLDCREST_CONSENSUS_REPLICA_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "append_rounds.h"
#include "goldcrest/consensus/output.h"
#include "goldcrest/consensus/proposal.h"
#include "goldcrest/consensus/replica_options.h"
#include "goldcrest/consensus/restored_state.h"
#include "goldcrest/messages/messages.h"
#include "goldcrest/types/time.h"
#include "progress.h"
#include "replica_log.h"

namespace goldcrest::consensus {

//! Implementation of Replica, which documents the public functions. Defined in
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
  Output Abdicate(Time now);

  Time NextDeadline() const;
  bool IsLeader() const { return role_ == Role::kLeader; }
  const std::string& Leader() const { return leader_; }
  const HardState& GetHardState() const { return hard_state_; }
  std::int64_t CommitIndex() const { return commit_index_; }
  const ReplicaLog& Log() const { return log_; }
  bool IsCaughtUp() const;
  Time LeaderLeaseEnd() const;

 private:
  enum class Role : std::uint8_t {
    kFollower,
    kPreCandidate,
    kCandidate,
    kLeader
  };

  // Why an election was started.
  enum class Election : std::uint8_t {
    kTimeout,     // no leader was heard from
    kLeaderless,  // after a restart of all members; see election.cc
    kTransfer,    // the leader has asked for it
  };

  // Addition of a member that has not caught up with the log yet.
  struct Admission {
    std::string name;
    std::vector<std::string> members;
    Time deadline;
    // Rounds in which an append without entries was sent to the new member. If
    // the member accepts one of them, it held the whole log at that time and
    // has recorded that (see first_synced_index_).
    std::set<std::int64_t> sync_rounds;
    bool synced = false;          // the member has accepted one of them
    bool entry_appended = false;  // an entry that lets the member join
  };

  // Leadership transfer in progress.
  struct Transfer {
    std::string target;
    Time deadline;
    bool timeout_now_sent = false;
  };

  // Snapshot of which not all chunks have been received.
  struct PendingSnapshot {
    std::int64_t term = 0;
    std::string from;
    Snapshot snapshot;
  };

  // replica_core.cc
  void BeginCall(Time now);
  Output TakeOutput();
  void Send(const std::string& to, messages::ConsensusMessage message);
  void ResetElectionTimer();
  void BecomeFollower(std::int64_t term, const std::string& leader);
  void FollowLeader(std::int64_t term, const std::string& leader);
  bool IsMember(const std::string& name) const;
  bool IsElectable() const;
  std::vector<std::string> Peers() const;
  void AppendAsLeader(messages::LogEntry entry);
  void AdvanceCommit(std::int64_t index);
  void TickLeader();

  // election.cc
  void StartPreVote();
  void StartElection(Election cause);
  bool MayElectEarly() const;
  void ScheduleEarlyPreVote();
  void RequestVotes(bool pre_vote, Election cause);
  void CountPreVotes();
  bool IsMajority(const std::set<std::string>& names) const;
  void CountVotes();
  void BecomeLeader();
  bool HasLiveLeader(const messages::VoteRequest& request) const;
  bool IsUpToDate(const messages::VoteRequest& request) const;
  bool IsInRestartWait() const;
  bool FollowedNoTermAbove(std::int64_t term) const;
  void OnVoteRequest(const std::string& from,
                     const messages::VoteRequest& request);
  void OnVoteResponse(const std::string& from,
                      const messages::VoteResponse& response);
  void OnTimeoutNow(const std::string& from,
                    const messages::TimeoutNow& message);
  std::string FindSuccessor();
  void ContinueTransfer();
  void SendTimeoutNow(const std::string& peer);

  // replication.cc
  void SendHeartbeats();
  void Replicate();
  void SendAppend(const std::string& to, Progress& progress);
  void OnAppendRequest(const std::string& from,
                       const messages::AppendRequest& request);
  void RecordLeaderCommit(const messages::AppendRequest& request);
  bool TryAppend(const messages::AppendRequest& request);
  std::int64_t BackOffIndex(std::int64_t prev_index) const;
  void OnAppendResponse(const std::string& from,
                        const messages::AppendResponse& response);
  bool IsRecentlyActive(const Progress& progress) const;
  void RecordContact(Progress& progress, std::int64_t round) const;
  void CommitByMajority();
  template <typename Function>
  std::int64_t MajorityValue(std::int64_t own, Function value) const;
  std::int64_t MajorityRound() const;
  Time QuorumContact() const;

  // snapshot_transfer.cc
  void SendSnapshotChunk(const std::string& to, Progress& progress);
  void OnSnapshotChunk(const std::string& from,
                       const messages::SnapshotChunk& chunk);
  bool AddSnapshotChunk(const std::string& from,
                        const messages::SnapshotChunk& chunk);
  void OnSnapshotResponse(const std::string& from,
                          const messages::SnapshotResponse& response);

  // membership.cc
  void UpdateTrackedMembers();
  bool HasCaughtUp(const std::string& name) const;
  bool IsMembershipChangePending() const;
  bool MajorityCaughtUp(const std::vector<std::string>& members,
                        const std::string& added) const;
  bool LastAddedMemberLags(const std::string& removed) const;
  void AppendMembershipEntry(const std::vector<std::string>& members);
  void ContinueAdmission(const std::string& from,
                         const messages::AppendResponse& response);
  void FinishJoining(const messages::LogEntry& entry);
  void ExpireAdmission();
  void OnMembersCommitted(const messages::LogEntry& entry);

  ReplicaOptions options_;
  std::mt19937_64 generator_;
  HardState hard_state_;
  std::optional<HardState> saved_hard_state_;  // last one in an Output
  ReplicaLog log_;
  std::int64_t commit_index_ = 0;

  Role role_ = Role::kFollower;
  std::string leader_;
  bool started_ = false;
  Time now_{};
  Output output_;

  Time election_deadline_{};
  // Until this time the replica follows a leader and grants no vote.
  Time vote_refused_until_{};
  // Until this time the lease of a leader that the replica followed before its
  // restart may still be valid; see election.cc.
  Time restart_wait_until_{};
  Time early_pre_vote_at_{};
  std::set<std::string> votes_;
  // Members by their response to the current pre-vote: those that would grant
  // their vote if no member leads, and those that neither lead nor follow a
  // leader.
  std::set<std::string> willing_voters_;
  std::set<std::string> leaderless_members_;
  // Identifies the current pre-vote; responses to earlier ones are outdated.
  std::int64_t pre_vote_attempt_ = 0;

  // Leader state.
  std::map<std::string, Progress> progress_;
  AppendRounds rounds_;
  Time heartbeat_deadline_{};
  Time leader_since_{};
  std::optional<Admission> admission_;
  std::optional<Transfer> transfer_;

  // Follower state.
  // The highest commit index that a leader of `leader_commit_term_` has named
  // to this process.
  std::int64_t leader_commit_term_ = 0;
  std::int64_t leader_commit_index_ = 0;
  std::optional<PendingSnapshot> pending_snapshot_;
  // While joining: for each term, the index at which this replica first held
  // the whole log of that term's leader. An entry of that term with a higher
  // index was logged after this replica started without data.
  std::map<std::int64_t, std::int64_t> first_synced_index_;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_REPLICA_CORE_H_
