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
  //! An endpoint that has not answered for this long counts as failed.
  Duration member_timeout = std::chrono::milliseconds(500);
  Duration probe_timeout = std::chrono::milliseconds(400);
  //! The primary is replaced if no live replica has made progress for this long
  //! while writes wait for replication.
  Duration isolation_timeout = std::chrono::seconds(1);
  //! Upper bound of the isolation timeout, which doubles with each replacement.
  //! Without the backoff, replicas that lag by more than the timeout would look
  //! isolated again while they catch up.
  Duration max_isolation_timeout = std::chrono::seconds(30);
  Duration promote_timeout = std::chrono::milliseconds(500);
  //! A read goes to the primary if no replica can serve it within this time.
  Duration max_replica_wait = std::chrono::milliseconds(50);
  //! New writes are refused while an earlier write has waited this long for
  //! replication to a majority.
  Duration max_unreplicated_age = std::chrono::seconds(2);
  Duration transaction_limit = std::chrono::seconds(10);
  Duration transaction_idle_limit = std::chrono::seconds(3);
};

//! Callbacks into the configuration and the instance. The coordinator evaluates
//! the configuration before each send, so that changes apply to queued requests
//! too.
struct CoordinatorHooks {
  //! True while the key exists and belongs to the customer. The key name is
  //! empty on open routes, which need no key.
  std::function<bool(const std::string& key_name, const std::string& customer)>
      key_is_valid;
  std::function<bool(const std::string& rule, const messages::EndpointInfo&)>
      endpoint_allowed;
  std::function<bool(const messages::EndpointInfo&)> endpoint_leaving;
  //! Ids of calls and reserved connections, unique within the instance.
  std::function<std::uint64_t()> next_call_id;
  //! Unguessable name of a new transaction.
  std::function<std::string()> random_name;
};

struct CoordinatorAnswer {
  std::string instance;
  messages::ForwardResponse response;
};

//! Actions that the caller performs after a call into the coordinator, in this
//! order.
struct CoordinatorEffects {
  std::vector<EndpointCall> calls;
  //! Endpoint and pin of reserved connections to close or to return to the
  //! pool.
  std::vector<std::pair<std::string, std::uint64_t>> closed_pins;
  std::vector<std::pair<std::string, std::uint64_t>> released_pins;
  std::vector<CoordinatorAnswer> answers;
  std::vector<messages::SetPrimary> proposals;
  std::vector<messages::JournalEntry> journal;
};

//! Coordinates one database group under a lease from control. Queues, routes
//! and retries all statements of the group and replaces its primary when it
//! fails; see docs/design.md 6.1 to 6.7. Not thread-safe.
class GroupCoordinator {
 public:
  enum class Phase : std::uint8_t {
    kCollecting,  //!< Waits for members to report their log positions.
    kProposing,   //!< Waits for control to log the new term and primary.
    kPromoting,   //!< Waits for the new primary to confirm its promotion.
    kServing,
    kStopped,  //!< Lease expired or handed back; never serves again.
  };

  GroupCoordinator(CoordinatorOptions options,
                   CoordinatorHooks hooks,
                   messages::GroupState state,
                   Time lease_until,
                   Time now);

  //! Replaces the members of the group with `endpoints`.
  void SetEndpoints(const std::vector<messages::EndpointInfo>& endpoints,
                    Time now);
  void ExtendLease(Time until);

  //! Applies the group state that control has logged. Stops if another instance
  //! coordinates the group or the coordinator epoch has changed.
  CoordinatorEffects OnGroupState(const messages::GroupState& state, Time now);

  //! Handles a proposal that control refused or could not log.
  CoordinatorEffects OnProposalRefused(Time now);

  CoordinatorEffects OnRequest(const std::string& instance,
                               const messages::ForwardRequest& forward,
                               Time now);
  CoordinatorEffects OnCallResult(std::uint64_t call_id,
                                  const CallResult& result,
                                  Time now);
  //! Handles a change of keys, access rules or labels: ends transactions whose
  //! key was withdrawn and stops using leaving endpoints.
  CoordinatorEffects OnPolicyChange(Time now);

  //! Sends probes and checks timeouts and the lease. Call every 10 ms.
  CoordinatorEffects Tick(Time now);

  //! Starts a planned stop. Refuses new transactions, and any new request once
  //! no transaction is open. Running requests may finish.
  void BeginDrain() { draining_ = true; }
  bool draining() const { return draining_; }
  //! True if no request or transaction is open, so that the lease may be handed
  //! back.
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

  // Queueing of requests and transactions; in group_coordinator.cc.
  void Enqueue(Request& request, Time now);
  void Push(admission::FairQueue& queue, const Request& request, Time now);
  void BeginTransaction(Request& request, Time now);
  void ContinueTransaction(Request& request, Time now);
  void EndTransaction(std::uint64_t pin, bool close);
  void Answer(std::uint64_t request_id, messages::ForwardResponse response);
  void Refuse(std::uint64_t request_id, ResultCode code);
  void RequeueAndExpire(Time now);
  void CheckReplication(Time now);
  void CheckTransactions(Time now);

  // Scheduling and sending of requests; in group_coordinator_dispatch.cc.
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

  // Handling of call results; in group_coordinator_calls.cc.
  void OnRequestResult(const Call& call, const CallResult& result, Time now);
  void OnRequestAnswered(Request& request,
                         const EndpointAnswer& answer,
                         Time now);
  void OnDone(Request& request, const EndpointAnswer& answer, Time now);
  void OnNotRun(Request& request, Time now);
  void OnAnswerLost(Request& request, Time now);
  void AskOutcome(Request& request, Time now);
  void OnOutcome(const Call& call, const CallResult& result, Time now);
  void RetryLater(Request& request, Time now);

  // Monitoring and replacement of the primary; in
  // group_coordinator_primary.cc.
  void OnProbeResult(const Call& call, const CallResult& result, Time now);
  void OnPromoteResult(const CallResult& result, Time now);
  // Unlike OnProposalRefused() and Stop(), these two functions leave their
  // effects in effects_: a caller that discarded returned effects would lose
  // probes that are already marked as in flight.
  void GiveUpProposal(Time now);
  void StopServing(Time now, const std::string& cause);
  void SendProbes(Time now);
  void ProbeReplicasNow(Time now);
  void CheckPrimary(Time now);
  void ProposePrimaryIfReady(Time now);
  void StartReplacement(const std::string& cause,
                        const std::string& excluded,
                        Time now);
  void AbandonWorkOfOldTerm(Time now);
  void Promote(Time now);
  void SendFollowCalls(Time now);

  EndpointCall& NewCall(CallKind kind,
                        const std::string& endpoint,
                        EndpointOperation operation,
                        Time now,
                        Time deadline);
  void AddJournalEntry(const std::string& kind,
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

  admission::FairQueue read_queue_;             // reads that replicas may serve
  admission::FairQueue primary_queue_;          // writes, reads for the primary
  admission::FairQueue begin_queue_;            // transactions to begin
  std::deque<std::uint64_t> deferred_reads_;    // ids; reads awaiting a replica
  std::multimap<Time, std::uint64_t> retries_;  // request ids by retry time
  std::set<std::uint64_t> unreplicated_;  // ids of writes awaiting replication
  int last_primary_queue_ = 0;            // index of the queue served last

  std::string replacement_cause_;
  std::string excluded_primary_;
  Time collect_deadline_;         // end of the wait for member reports
  Time phase_deadline_ = kNever;  // end of kProposing
  Time next_proposal_at_;         // earliest time of the next proposal
  Duration isolation_timeout_;
  Time isolation_timeout_reset_;            // when to undo the backoff
  std::int64_t last_written_position_ = 0;  // in the current term
  std::uint64_t replica_reads_ = 0;
  std::uint64_t primary_reads_ = 0;
  CoordinatorEffects effects_;
};

}  // namespace goldcrest::coordinator

#endif  // GOLDCREST_COORDINATOR_GROUP_COORDINATOR_H_
