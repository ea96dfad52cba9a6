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

//! One control member's copy of the replicated log (Raft with pre-vote,
//! check-quorum and leader lease). Does no I/O and reads no clock; not
//! thread-safe. Messages may be lost, reordered, duplicated or repeated late,
//! but a message sent to an earlier process of a member must not reach a later
//! process that started without that member's disk.
class Replica {
 public:
  //! Without restored data and without bootstrap members the replica is
  //! joining: it takes part in replication but not in elections until a
  //! membership change, made after it made contact, has admitted it.
  Replica(ReplicaOptions options,
          RestoredState state,
          std::mt19937_64 generator);
  ~Replica();
  Replica(Replica&&) noexcept;
  Replica& operator=(Replica&&) noexcept;
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  //! Carries out what is due. Call it at NextDeadline(); earlier is harmless.
  Output Tick(Time now);

  Output Receive(Time now,
                 const std::string& from,
                 const messages::ConsensusMessage& message);

  //! kOk, kNotLeader, or kBodyTooLarge.
  Proposal Propose(Time now, std::string command);

  //! Changes the membership by one member. To replace a member that lost its
  //! disk, remove it and add it again, whether or not its name changes.
  //!
  //! A removal is logged at once. An addition first replicates the log to the
  //! new member; its entry is logged once the member has caught up, so that the
  //! proposal has index 0. An addition without progress for `join_timeout` is
  //! given up; proposing the members in force cancels it.
  //!
  //! kOk; kNotLeader; kInvalidField: more than one difference, or no member
  //! left; kMemberNotCaughtUp: an earlier change is pending, the member added
  //! last has not caught up, or the members that have caught up would not be a
  //! majority after the change.
  Proposal ProposeMembers(Time now, std::vector<std::string> members);

  //! Replaces the log up to `index`, which must be committed and applied, by
  //! the application's snapshot. Ignored when a snapshot has reached `index`.
  Output Compact(std::int64_t index, std::string data);

  //! Hands leadership to the most advanced other member. Proposals are refused
  //! and the lease ends; a leader that has not been replaced after the minimum
  //! election timeout steps down if it has told the target to stand, and goes
  //! on leading if the target never caught up.
  Output TransferLeadership(Time now);

  //! When to call Tick(); the epoch before the first call, kNever when nothing
  //! is due.
  Time NextDeadline() const;

  bool IsLeader() const;
  //! The leader of the current term; empty when unknown.
  std::string Leader() const;
  std::int64_t Term() const;
  std::int64_t CommitIndex() const;
  std::int64_t LastIndex() const;
  //! Last index of the snapshot; 0 without one.
  std::int64_t SnapshotIndex() const;
  //! In force, which may be before they are committed.
  std::vector<std::string> Members() const;
  bool IsJoining() const;

  //! No other member can be leader before or at `now`, and everything committed
  //! under earlier leaders is known here.
  bool HoldsLeaderLease(Time now) const;
  //! When the lease ends unless it is renewed; the epoch without a lease.
  Time LeaderLeaseEnd() const;

 private:
  std::unique_ptr<ReplicaCore> core_;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_REPLICA_H_
