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
  //! An entry serves keyed requests this long without an answer of control.
  std::chrono::milliseconds control_lease = std::chrono::seconds(3);
  //! A coordinator acts this long without an answer of control.
  std::chrono::milliseconds coordinator_lease{1200};
  //! Added to leases on control's side: clocks may run apart by this part.
  double clock_drift = 0.1;
  //! An instance without a report for this long gets no new group.
  Duration report_timeout = std::chrono::seconds(1);
  //! An instance without a report for this long is removed.
  Duration removal_timeout = std::chrono::minutes(1);
  //! An operator's change that is not in force by then is answered as such.
  Duration in_force_timeout = std::chrono::seconds(6);
};

//! A command for the replicated log. `id` comes back with its result.
struct Proposal {
  std::uint64_t id = 0;
  messages::Command command;
};

struct LeaderEffects {
  std::vector<std::pair<std::string, messages::PeerMessage>> messages;
  std::vector<Proposal> proposals;
};

//! What the control leader does during one term: answers reports, gives leases,
//! assigns coordinators, splits quotas and waits until changes are in force.
//! Its soft state is rebuilt from reports by each new leader. Not thread-safe.
class Leader {
 public:
  //! `state` must outlive the leader. `random_secret` gives 32 bytes.
  Leader(const ControlState* state,
         std::string self,
         std::int64_t term,
         LeaderOptions options,
         std::function<std::string()> random_secret,
         Time now);

  //! Answers an entry. Call only while the leader lease is held: the answer
  //! extends the entry's own leases.
  LeaderEffects OnReport(const messages::EntryReport& report, Time now);

  //! An instance asks for a logged decision.
  LeaderEffects OnPropose(const std::string& from,
                          const messages::ProposeRequest& request,
                          std::int64_t wall_ms,
                          Time now);

  //! The command was applied to the state, or could not be logged.
  LeaderEffects OnApplied(std::uint64_t id,
                          const ApplyResult& result,
                          Time now);

  LeaderEffects Tick(std::int64_t wall_ms, Time now);

  //! Instances registered that have not applied the configuration `revision`
  //! and may still serve.
  std::vector<std::string> MissingRevision(std::int64_t revision,
                                           Time now) const;
  //! Instances registered whose control lease has lapsed.
  std::vector<std::string> LapsedInstances(Time now) const;

 private:
  struct InstanceView {
    std::optional<Time> last_report;
    std::int64_t incarnation = 0;
    std::int64_t applied_revision = 0;
    std::int64_t applied_groups_revision = 0;
    bool draining = false;
  };
  struct Asker {
    std::string instance;
    std::int64_t request_id = 0;
    bool wait_in_force = false;
  };
  struct InForceWait {
    Asker asker;
    std::int64_t revision = 0;
    Time deadline;
    std::string message;
  };

  //! Logs the command unless one about the same thing is on its way.
  void Propose(messages::Command command,
               std::string_view about,
               const std::string& name);
  void ProposeRegistrations(const messages::EntryReport& report,
                            std::int64_t wall_ms);
  void ProposeNotes(const messages::EntryReport& report);
  messages::ControlUpdate UpdateFor(const InstanceView& view) const;
  void GrantLeases(const messages::EntryReport& report,
                   messages::ControlUpdate* update,
                   Time now);
  void AssignCoordinators(std::int64_t wall_ms, Time now);
  bool IsCandidate(const std::string& instance, Time now) const;
  std::optional<std::string> ChooseCoordinator(
      const messages::GroupState& group,
      Time now) const;
  void RemoveSilentInstances(std::int64_t wall_ms, Time now);
  void CheckInForce(Time now);
  void RefreshLimits(Time now);
  void PushUpdates();
  void Respond(const Asker& asker,
               ResultCode code,
               std::int64_t revision,
               const std::string& message,
               std::vector<std::string> missing);
  bool IsLapsed(const std::string& instance, Time now) const;
  Duration WithDrift(std::chrono::milliseconds lease) const;
  LeaderEffects TakeEffects();

  const ControlState* state_;
  std::string self_;
  std::int64_t term_;
  LeaderOptions options_;
  std::function<std::string()> random_secret_;
  Time takeover_;
  quota::Owner owner_;
  LimitRefresher limits_;

  std::map<std::string, InstanceView> views_;
  std::map<std::string, Time> coordinator_lease_until_;  // by group
  std::uint64_t next_proposal_ = 1;
  std::map<std::uint64_t, std::string> pending_keys_;  // proposals in flight
  std::set<std::string> pending_;
  std::map<std::uint64_t, Asker> askers_;
  std::vector<InForceWait> in_force_waits_;
  LeaderEffects effects_;
};

}  // namespace goldcrest::control

#endif  // GOLDCREST_CONTROL_LEADER_H_
