#ifndef GOLDCREST_COORDINATOR_GROUP_COORDINATOR_H_
#define GOLDCREST_COORDINATOR_GROUP_COORDINATOR_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/admission/endpoint_limits.h"
#include "goldcrest/admission/fair_queue.h"
#include "goldcrest/coordinator/endpoint_call.h"
#include "goldcrest/coordinator/member_table.h"
#include "goldcrest/coordinator/request_table.h"
#include "goldcrest/coordinator/transaction_table.h"
#include "goldcrest/messages/messages.h"
#include "goldcrest/session/position_history.h"
#include "goldcrest/types/result_code.h"
#include "goldcrest/types/time.h"

namespace goldcrest::coordinator {

struct CoordinatorOptions {
  Duration probe_interval = std::chrono::milliseconds(100);
  //! Probe interval of replicas while a write waits for them.
  Duration busy_probe_interval = std::chrono::milliseconds(10);
  //! An endpoint that has not answered for this long has failed.
  Duration member_timeout = std::chrono::milliseconds(500);
  Duration probe_timeout = std::chrono::milliseconds(400);
  Duration isolation_timeout = std::chrono::seconds(1);
  //! Longest isolation timeout after repeated replacements. Replicas that
  //! are slow by more than the timeout look isolated while they catch up.
  Duration max_isolation_timeout = std::chrono::seconds(30);
  Duration promote_timeout = std::chrono::milliseconds(500);
  //! A read goes to the primary when no replica could serve it by then.
  Duration replica_wait = std::chrono::milliseconds(50);
  //! New writes are refused while one has waited this long for replicas.
  Duration max_unreplicated_age = std::chrono::seconds(2);
  Duration transaction_limit = std::chrono::seconds(10);
  Duration transaction_idle_limit = std::chrono::seconds(3);
};

//! Questions that the coordinator asks the configuration each time it sends,
//! so that a change takes effect on requests that wait.
struct CoordinatorHooks {
  //! True while the key exists and belongs to the customer. An empty key is
  //! that of an open route.
  std::function<bool(const std::string& key_name, const std::string& customer)>
      caller_in_force;
  std::function<bool(const std::string& rule, const messages::EndpointInfo&)>
      endpoint_allowed;
  std::function<bool(const messages::EndpointInfo&)> endpoint_leaving;
  //! Numbers for calls and pins, unique within the instance.
  std::function<std::uint64_t()> next_call_id;
  //! Text that can't be guessed.
  std::function<std::string()> random_name;
};

struct CoordinatorAnswer {
  std::string instance;
  messages::ForwardResponse response;
};

//! What to do after a call into the coordinator, in this order.
struct CoordinatorEffects {
  std::vector<EndpointCall> calls;
  std::vector<std::pair<std::string, std::uint64_t>> closed_pins;
  std::vector<std::pair<std::string, std::uint64_t>> released_pins;
  std::vector<CoordinatorAnswer> answers;
  std::vector<messages::SetPrimary> proposals;
  std::vector<messages::JournalEntry> journal;
};

//! Coordinates one database group under a lease from control. All statements of
//! the group pass here; see docs/design.md 6.1 to 6.7. Not thread-safe.
class GroupCoordinator {
 public:
  enum class Phase : std::uint8_t {
    kCollecting,  //!< Asks members for their positions.
    kProposing,   //!< Waits for control to log the new term.
    kPromoting,   //!< Waits for the new primary's answer.
    kServing,
    kStopped,  //!< Lease lapsed or given up; never serves again.
  };

  GroupCoordinator(CoordinatorOptions options,
                   CoordinatorHooks hooks,
                   messages::GroupState state,
                   Time lease_until,
                   Time now);

  //! `endpoints` are those of this group.
  void SetEndpoints(const std::vector<messages::EndpointInfo>& endpoints,
                    Time now);
  void ExtendLease(Time until);

  //! Takes the logged state of the group; stops when another instance
  //! coordinates it or the epoch moved.
  CoordinatorEffects OnGroupState(const messages::GroupState& state, Time now);

  //! Control refused or could not log the proposal.
  CoordinatorEffects OnProposalRefused(Time now);

  CoordinatorEffects OnRequest(const std::string& instance,
                               const messages::ForwardRequest& forward,
                               Time now);
  CoordinatorEffects OnCallResult(std::uint64_t call_id,
                                  const CallResult& result,
                                  Time now);
  //! Keys, access rules or labels may have changed: ends transactions whose key
  //! was withdrawn and takes leaving endpoints out of use.
  CoordinatorEffects OnPolicyChange(Time now);

  //! Call each 10 ms: probes, timeouts, lease.
  CoordinatorEffects Tick(Time now);

  //! For a planned stop: takes no new transaction, and once none is open no new
  //! request; what runs may end.
  void BeginDrain() { draining_ = true; }
  bool draining() const { return draining_; }
  //! True when nothing runs and the lease may be handed back.
  bool IsIdle() const;
  CoordinatorEffects Stop(Time now, const std::string& cause);

  const std::string& group() const { return state_.group; }
  std::int64_t epoch() const { return state_.coordinator_epoch; }
  std::int64_t term() const { return state_.term; }
  const std::string& primary() const { return state_.primary; }
  Phase phase() const { return phase_; }
  const MemberTable& members() const { return members_; }
  std::size_t queued() const;
  std::uint64_t replica_reads() const { return replica_reads_; }
  std::uint64_t primary_reads() const { return primary_reads_; }

 private:
  enum class CallKind : std::uint8_t {
    kProbe,
    kPromote,
    kFollow,
    kRequest,
    kOutcome,
  };
  struct Call {
    CallKind kind = CallKind::kProbe;
    std::string endpoint;
    Time sent;
    std::uint64_t request = 0;
    bool holds_slot = false;
  };

  // Requests and transactions: group_coordinator.cc.
  void Enqueue(Request& request, Time now);
  void Push(admission::FairQueue& queue, const Request& request, Time now);
  void BeginTransaction(Request& request, Time now);
  void ContinueTransaction(Request& request, Time now);
  void EndTransaction(std::uint64_t pin, bool close);
  void Answer(std::uint64_t request_id, messages::ForwardResponse response);
  void Refuse(std::uint64_t request_id, ResultCode code);
  void Expire(Time now);
  void CheckReplication(Time now);
  void CheckTransactions(Time now);

  // What is sent next: group_coordinator_dispatch.cc.
  void Dispatch(Time now);
  void DispatchReads(Time now);
  void DispatchPrimary(Time now);
  bool DispatchFrom(admission::FairQueue& queue, Time now);
  Request* PopSendable(admission::FairQueue& queue, Time now);
  bool CheckBeforeSend(Request& request, Time now);
  bool SendToReplica(Request& request, Time now, bool* may_wait);
  void Send(Request& request,
            const std::string& endpoint,
            bool holds_slot,
            Time now);

  // Results of calls: group_coordinator_calls.cc.
  void OnRequestResult(const Call& call, const CallResult& result, Time now);
  void OnRequestAnswered(Request& request,
                         const EndpointAnswer& answer,
                         Time now);
  void OnDone(Request& request, const EndpointAnswer& answer, Time now);
  void OnNotRun(Request& request, Time now);
  void OnLost(Request& request, Time now);
  void AskOutcome(Request& request, Time now);
  void OnOutcome(const Call& call, const CallResult& result, Time now);
  void RetryLater(Request& request, Time now);

  // The group's primary: group_coordinator_primary.cc.
  void OnProbeResult(const Call& call, const CallResult& result, Time now);
  void OnPromoteResult(const CallResult& result, Time now);
  // Unlike the public functions of this kind they leave the effects in place:
  // a caller that dropped them would lose probes that count as sent.
  void GiveUpProposal(Time now);
  void StopServing(Time now, const std::string& cause);
  void SendProbes(Time now);
  void ProbeReplicasNow(Time now);
  void CheckPrimary(Time now);
  void Collect(Time now);
  void StartReplacement(const std::string& cause,
                        const std::string& excluded,
                        Time now);
  void ReleaseOldTerm(Time now);
  void Promote(Time now);
  void FollowPrimary(Time now);

  EndpointCall& NewCall(CallKind kind,
                        const std::string& endpoint,
                        EndpointOperation operation,
                        Time now,
                        Time deadline);
  void Note(const std::string& kind,
            const std::string& cause,
            std::map<std::string, std::string> inputs);
  bool IsLeaving(const std::string& endpoint) const;
  bool MayUse(const Request& request, const Member& member) const;
  bool HasLease(Time now) const {
    return phase_ != Phase::kStopped && now < lease_until_;
  }
  CoordinatorEffects TakeEffects();

  CoordinatorOptions options_;
  CoordinatorHooks hooks_;
  messages::GroupState state_;
  Time lease_until_;
  Phase phase_ = Phase::kCollecting;
  bool draining_ = false;

  MemberTable members_;
  std::map<std::string, admission::EndpointLimits> limits_;
  session::PositionHistory history_;
  RequestTable requests_;
  TransactionTable transactions_;
  std::map<std::uint64_t, Call> calls_;

  admission::FairQueue read_queue_;           // reads that a replica may serve
  admission::FairQueue primary_queue_;        // writes and reads of fresh data
  admission::FairQueue begin_queue_;          // transactions
  std::deque<std::uint64_t> deferred_reads_;  // wait for a replica
  std::multimap<Time, std::uint64_t> retries_;
  std::set<std::uint64_t> unreplicated_;  // writes that wait for replicas
  int primary_turn_ = 0;                  // which queue the primary serves next

  std::string replacement_cause_;
  std::string excluded_primary_;
  Time collect_until_;            // wait no longer for silent members
  Time phase_deadline_ = kNever;  // of kProposing
  Time propose_after_;            // pause after a refused proposal
  Duration isolation_timeout_;
  Time isolation_timeout_reset_;  // back to the shortest timeout by then
  std::int64_t written_ = 0;      // highest position written in this term
  std::uint64_t replica_reads_ = 0;
  std::uint64_t primary_reads_ = 0;
  CoordinatorEffects effects_;
};

}  // namespace goldcrest::coordinator

#endif  // GOLDCREST_COORDINATOR_GROUP_COORDINATOR_H_
