#ifndef GOLDCREST_CONTROL_LEADER_H_
#define GOLDCREST_CONTROL_LEADER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "goldcrest/control/control_state.h"
#include "goldcrest/control/limit_refresher.h"
#include "goldcrest/messages/messages.h"
#include "goldcrest/quota/owner.h"
#include "goldcrest/types/time.h"

namespace goldcrest::control {

struct LeaderOptions {
  //! An entry serves requests that carry a key for this long after its last
  //! report that the leader has answered.
  std::chrono::milliseconds control_lease = std::chrono::seconds(3);
  //! A coordinator stays active for this long after its last report that the
  //! leader has answered.
  std::chrono::milliseconds coordinator_lease{1200};
  //! Fraction by which the leader extends leases on its side, to allow for
  //! clocks of different speed.
  double clock_drift_fraction = 0.1;
  //! An instance without a report for this long is not assigned new groups.
  Duration report_timeout = std::chrono::seconds(1);
  //! An instance without a report for this long is removed.
  Duration removal_timeout = std::chrono::minutes(1);
  //! An operator's change that is not in force on every instance after this
  //! time is answered with kNotInForce.
  Duration in_force_timeout = std::chrono::seconds(6);
};

//! A command for the replicated log. `id` is passed to OnApplied() with its
//! result.
struct Proposal {
  std::uint64_t id = 0;
  messages::Command command;
};

//! Actions that the caller of a Leader must take: send `messages` to the named
//! instances and append `proposals` to the replicated log.
struct LeaderEffects {
  std::vector<std::pair<std::string, messages::PeerMessage>> messages;
  std::vector<Proposal> proposals;
};

//! The control leader during one term. It answers reports, grants leases,
//! assigns coordinators, splits quotas among instances and delays the response
//! to a change until the change is in force. Each new leader rebuilds the state
//! that is not replicated from reports. Not thread-safe.
class Leader {
 public:
  //! `state` must outlive the leader. `random_secret` returns 32 random bytes.
  Leader(const ControlState* state,
         std::string self,
         std::int64_t term,
         LeaderOptions options,
         std::function<std::string()> random_secret,
         Time now);

  //! Answers the report of an entry. Call only while this member holds the
  //! consensus leader lease, because the answer extends the entry's leases.
  LeaderEffects OnReport(const messages::EntryReport& report, Time now);

  //! Handles an instance's request to log a command.
  LeaderEffects OnPropose(const std::string& from,
                          const messages::ProposeRequest& request,
                          std::int64_t wall_ms,
                          Time now);

  //! Call when the command was applied to the state or could not be logged.
  LeaderEffects OnApplied(std::uint64_t id,
                          const ApplyResult& result,
                          Time now);

  LeaderEffects Tick(std::int64_t wall_ms, Time now);

  //! Registered instances that have not applied the configuration `revision`
  //! and may still serve requests.
  std::vector<std::string> InstancesMissingRevision(std::int64_t revision,
                                                    Time now) const;
  //! Registered instances whose control lease has expired.
  std::vector<std::string> LapsedInstances(Time now) const;

 private:
  //! What an instance has reported to this leader.
  struct InstanceView {
    std::optional<Time> last_report;
    std::int64_t incarnation = 0;
    std::int64_t applied_revision = 0;
    std::int64_t applied_groups_revision = 0;
    bool draining = false;
  };
  //! The instance that requested a command, and its request.
  struct Requester {
    std::string instance;
    std::int64_t request_id = 0;
    bool wait_in_force = false;
  };
  //! A change that is logged but not yet applied by all instances.
  struct InForceWait {
    Requester requester;
    std::int64_t revision = 0;
    Time deadline;
    std::string message;
  };

  //! Proposes the command unless a proposal with the same key (prefix and name)
  //! is pending.
  void Propose(messages::Command command,
               std::string_view key_prefix,
               const std::string& name);
  void ProposeRegistrations(const messages::EntryReport& report,
                            std::int64_t wall_ms);
  void ProposeJournalEntries(const messages::EntryReport& report);
  messages::ControlUpdate MakeUpdate(const InstanceView& view) const;
  void GrantLeases(const messages::EntryReport& report,
                   messages::ControlUpdate* update,
                   Time now);
  void AssignCoordinators(std::int64_t wall_ms, Time now);
  bool IsCoordinatorCandidate(const std::string& instance, Time now) const;
  std::optional<std::string> ChooseCoordinator(
      const messages::GroupState& group,
      Time now) const;
  void RemoveInactiveInstances(std::int64_t wall_ms, Time now);
  void CompleteInForceWaits(Time now);
  void RefreshLimits(Time now);
  void PushUpdates();
  void Respond(const Requester& requester,
               ResultCode code,
               std::int64_t revision,
               const std::string& message,
               std::vector<std::string> missing);
  bool IsLapsed(const std::string& instance, Time now) const;
  Duration WithDrift(std::chrono::milliseconds lease) const;
  void AnnounceLeadership();
  LeaderEffects TakeEffects();

  const ControlState* state_;
  std::string self_;
  std::int64_t term_;
  LeaderOptions options_;
  std::function<std::string()> random_secret_;
  Time leader_since_;
  quota::Owner owner_;
  LimitRefresher limit_refresher_;

  std::map<std::string, InstanceView> instance_views_;
  std::map<std::string, Time> coordinator_lease_until_;  // by group
  std::uint64_t next_proposal_ = 1;
  // Keys of the proposals that have not been applied; see pending_key.h.
  std::map<std::uint64_t, std::string> pending_key_by_proposal_;
  std::set<std::string> pending_keys_;
  std::map<std::uint64_t, Requester> requesters_;
  std::vector<InForceWait> in_force_waits_;
  LeaderEffects effects_;
};

}  // namespace goldcrest::control

#endif  // GOLDCREST_CONTROL_LEADER_H_
