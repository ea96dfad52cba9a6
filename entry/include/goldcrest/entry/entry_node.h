#ifndef GOLDCREST_ENTRY_ENTRY_NODE_H_
#define GOLDCREST_ENTRY_ENTRY_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/control/limit_refresher.h"
#include "goldcrest/coordinator/endpoint_call.h"
#include "goldcrest/coordinator/group_coordinator.h"
#include "goldcrest/entry/caller_request.h"
#include "goldcrest/entry/control_client.h"
#include "goldcrest/entry/control_view.h"
#include "goldcrest/entry/ingress.h"
#include "goldcrest/messages/messages.h"
#include "goldcrest/quota/holder.h"

namespace goldcrest::entry {

struct EntryNodeOptions {
  ControlClientOptions control;
  coordinator::CoordinatorOptions coordinator;
  IngressOptions ingress;
};

struct EntryNodeHooks {
  std::function<std::string(std::size_t)> random_bytes;
  std::function<std::int64_t()> wall_ms;
};

//! Answer to an operator's proposal.
struct OperatorAnswer {
  std::uint64_t id = 0;
  messages::ProposeResponse response;
};

struct EntryEffects {
  std::vector<std::pair<std::string, messages::PeerMessage>> messages;
  std::vector<coordinator::EndpointCall> calls;
  //! Endpoint and pin of reserved connections to close or to return to the
  //! pool.
  std::vector<std::pair<std::string, std::uint64_t>> closed_pins;
  std::vector<std::pair<std::string, std::uint64_t>> released_pins;
  std::vector<CallerAnswer> answers;
  std::vector<OperatorAnswer> operator_answers;
  std::vector<messages::JournalEntry> journal;
  bool view_changed = false;
};

//! The entry role of one instance: ingress, coordinators of its groups, and the
//! client of control. Messages to its own instance are returned as effects too.
//! Not thread-safe.
class EntryNode {
 public:
  EntryNode(EntryNodeOptions options, EntryNodeHooks hooks);

  EntryEffects OnCallerRequest(const CallerRequest& request, Time now);
  EntryEffects OnMessage(const std::string& from,
                         const messages::PeerMessage& message,
                         Time now);
  //! Handles a message of this node that could not be sent.
  EntryEffects OnNotSent(const std::string& to,
                         const messages::PeerMessage& message,
                         Time now);
  EntryEffects OnCallResult(std::uint64_t call_id,
                            const coordinator::CallResult& result,
                            Time now);
  //! Handles an authenticated announcement.
  EntryEffects OnAnnouncement(const messages::Announcement& announcement,
                              Time now);
  //! Proposes an operator's request to control; sets the request's id. The
  //! proposal is resent, possibly to a new leader, until `deadline`, so changes
  //! need a change id that prevents duplicates.
  EntryEffects OnOperatorProposal(std::uint64_t id,
                                  const messages::ProposeRequest& request,
                                  Time deadline,
                                  Time now);
  //! Call every 10 ms.
  EntryEffects Tick(Time now);

  //! Starts a planned stop: hands its groups over to other instances while
  //! requests are still served.
  void BeginDrain();
  //! Reports that all caller connections are closed, so no request can arrive.
  void OnCallerConnectionsClosed() { caller_connections_closed_ = true; }
  //! True once nothing runs here and a report of this has been sent to control.
  bool IsDrained() const { return stop_reported_; }

  const ControlView& view() const { return view_; }
  const std::map<std::string, std::unique_ptr<coordinator::GroupCoordinator>>&
  coordinators() const {
    return coordinators_;
  }
  bool HasControlLease(Time now) const { return ingress_.HasControlLease(now); }
  std::size_t RequestsInFlight() const { return ingress_.InFlight(); }
  const std::string& control_target() const { return client_.target(); }

 private:
  struct OperatorProposal {
    messages::ProposeRequest request;
    Time deadline;
    Time retry_at;
  };

  void OnControlUpdate(const messages::ControlUpdate& update, Time now);
  void UpdateCoordinators(
      const std::vector<std::pair<messages::CoordinatorLease, Time>>& leases,
      Time now);
  void OnForward(const std::string& from,
                 const messages::ForwardRequest& request,
                 Time now);
  void OnProposeResponse(const messages::ProposeResponse& response, Time now);
  void MergeEffects(coordinator::CoordinatorEffects effects,
                    const std::string& group);
  void MergeEffects(IngressEffects effects);
  void SendProposal(const messages::ProposeRequest& request);
  void ResendProposals(Time now);
  void StopDrainedCoordinators(Time now);
  void SendReport(Time now);
  coordinator::CoordinatorHooks MakeCoordinatorHooks();
  void RefreshLimits();
  EntryEffects TakeEffects();

  EntryNodeOptions options_;
  EntryNodeHooks hooks_;
  ControlView view_;
  quota::Holder holder_;
  Ingress ingress_;
  ControlClient client_;
  std::map<std::string, std::unique_ptr<coordinator::GroupCoordinator>>
      coordinators_;
  std::map<std::uint64_t, std::string> group_by_call_;
  std::map<std::string, std::int64_t> resigned_;  // last epoch by group
  std::int64_t next_proposal_;
  std::map<std::int64_t, std::string> coordinator_proposals_;  // groups
  std::map<std::int64_t, std::pair<std::uint64_t, OperatorProposal>>
      operator_proposals_;
  std::uint64_t next_call_id_ = 1;
  control::LimitRefresher limits_;
  bool draining_ = false;
  bool caller_connections_closed_ = false;
  bool stop_reported_ = false;
  EntryEffects effects_;
};

}  // namespace goldcrest::entry

#endif  // GOLDCREST_ENTRY_ENTRY_NODE_H_
