#ifndef GOLDCREST_CONSENSUS_REPLICA_H_
#define GOLDCREST_CONSENSUS_REPLICA_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "goldcrest/consensus/output.h"
#include "goldcrest/consensus/proposal.h"
#include "goldcrest/consensus/replica_options.h"
#include "goldcrest/consensus/restored_state.h"
#include "goldcrest/messages/messages.h"
#include "goldcrest/types/time.h"

namespace goldcrest::consensus {

class ReplicaCore;

//! One control member's replica of the log (Raft with pre-vote, check-quorum
//! and leader lease). Performs no I/O and reads no clock; not thread-safe.
//! Messages may be lost, reordered, duplicated or delayed, but a message sent
//! to an earlier process of a member must not reach a later process that
//! started without that member's disk.
class Replica {
 public:
  //! Without restored data and without bootstrap members the replica is
  //! joining: it takes part in replication but not in elections until it is
  //! admitted by a membership change that was logged after it first contacted
  //! the leader.
  Replica(ReplicaOptions options,
          RestoredState state,
          std::mt19937_64 generator);
  ~Replica();
  Replica(Replica&&) noexcept;
  Replica& operator=(Replica&&) noexcept;
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  //! Handles expired timers. Call it at NextDeadline(); an earlier call is
  //! harmless.
  Output Tick(Time now);

  Output Receive(Time now,
                 const std::string& from,
                 const messages::ConsensusMessage& message);

  //! Appends a command to the log. Returns kOk, kNotLeader, or kBodyTooLarge.
  Proposal Propose(Time now, std::string command);

  //! Adds or removes one member. To replace a member that lost its disk, remove
  //! it and add it again, whether or not its name changes.
  //!
  //! A removal is logged immediately. An addition first replicates the log to
  //! the new member and is logged once that member has caught up, so the
  //! proposal has index 0. An addition without progress for `join_timeout` is
  //! abandoned; proposing the current members cancels it.
  //!
  //! Returns kOk or kNotLeader; kInvalidField if more than one member differs
  //! or no member would remain; kMemberNotCaughtUp if an earlier change is
  //! pending, the member added last has not caught up, or the members that have
  //! caught up would not be a majority after the change.
  Proposal ProposeMembers(Time now, std::vector<std::string> members);

  //! Replaces the log up to `index`, which must be committed and applied, with
  //! the application's snapshot `data`. Does nothing if a snapshot already
  //! covers `index`.
  Output Compact(std::int64_t index, std::string data);

  //! Transfers leadership to the other member with the longest replicated log.
  //! Proposals are refused meanwhile, and the lease ends when the target is
  //! told to start an election. If no other leader has taken over after the
  //! minimum election timeout, this replica steps down if it has told the
  //! target, and remains leader if the target never caught up.
  Output TransferLeadership(Time now);

  //! Tells the member that has received most to start an election at once,
  //! without waiting until it has everything. For a leader whose writes fail:
  //! this replica must not be used afterwards.
  Output Abdicate(Time now);

  //! When to call Tick() next: the epoch before the first call, kNever if no
  //! timer is running.
  Time NextDeadline() const;

  bool IsLeader() const;
  //! The leader of the current term; empty if unknown.
  std::string Leader() const;
  std::int64_t Term() const;
  std::int64_t CommitIndex() const;
  std::int64_t LastIndex() const;
  //! Last index that the snapshot covers; 0 without a snapshot.
  std::int64_t SnapshotIndex() const;
  //! The current members. A membership change takes effect when it is logged,
  //! which may be before it is committed.
  std::vector<std::string> Members() const;
  bool IsJoining() const;
  //! True if CommitIndex() covers every entry that had been committed when the
  //! current leader sent its newest message, or on the leader every entry of
  //! earlier terms. False until this process has heard from a leader.
  bool IsCaughtUp() const;

  //! True if no other member can be leader at or before `now` and this replica
  //! knows every entry committed under earlier leaders.
  bool HoldsLeaderLease(Time now) const;
  //! When the lease expires unless it is renewed; the epoch without a lease.
  Time LeaderLeaseEnd() const;

 private:
  std::unique_ptr<ReplicaCore> core_;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_REPLICA_H_
