#ifndef GOLDCREST_FLEET_FAILOVER_PLANNER_H_
#define GOLDCREST_FLEET_FAILOVER_PLANNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/routing/endpoint_directory.h"
#include "goldcrest/types/log_position.h"
#include "goldcrest/types/time.h"

namespace goldcrest::fleet {

enum class ProbePurpose {
  kLeadership,  //!< Asks whether it leads. Uses none of its slots.
  kPosition,    //!< Asks for its log position.
  kFence,       //!< Has it receive nothing more, and asks for its position.
  kUnfence,     //!< Has it receive the primary's log again.
};

//! Result of a probe that a controller sent to an endpoint.
struct ProbeResult {
  enum class Kind {
    kLeads,
    kFollows,       //!< For other purposes than kLeadership: it has answered.
    kUndetermined,  //!< It was reached, but did not answer the question.
    kUnsupported,   //!< It does not know the command.
    kUnreachable,
  };
  Kind kind = Kind::kUnreachable;
  //! The newest that the endpoint received; absent if it has told none.
  std::optional<LogPosition> position;
  Time asked_at;  //!< Taken before the probe was sent.
  ProbePurpose purpose = ProbePurpose::kLeadership;
  std::int64_t newest_term = 0;  //!< kFollows: the newest term it knows.
};

enum class PromotionResult { kAccepted, kRefused, kUnanswered };

struct FailoverHooks {
  std::function<void(const routing::EndpointDirectory::Entry&, ProbePurpose)>
      probe;
  //! Sends a probe with the purpose kFence. The term is higher than any of the
  //! group.
  std::function<void(const routing::EndpointDirectory::Entry&,
                     std::int64_t term)>
      fence;
  std::function<void(const messages::PrimaryAssignment&)> promote;
  std::function<void(const messages::PrimaryAssignment&)> assigned;
  //! Has all entries hold the group's writes, or lifts the hold. Repeated while
  //! the hold lasts.
  std::function<void(const messages::WriteHold&)> hold_writes;
  //! True once all entries hold the writes and none is under way.
  std::function<bool(const messages::WriteHold&)> are_writes_held;
  //! Asks all entries to report their contacts with primaries at once.
  std::function<void()> request_contacts;
  std::function<void(const std::string& event,
                     const std::string& group,
                     const std::string& endpoint,
                     const std::string& cause)>
      log_decision;
};

//! Monitors the primaries of all groups, and has another endpoint promoted when
//! a primary is lost, drains or is in an evacuated availability zone. No member
//! of an evacuated zone is promoted. Exists on the leader of the controllers
//! for one term.
//!
//! A primary counts as lost when the leader can't reach it and no entry has
//! reached it since then, or when far more entries fail to reach it than
//! succeed.
//!
//! Where a commit is acknowledged by `sync_replicas` (S) of the R endpoints
//! beside the primary, a promotion loses none: R - S + 1 of them have told
//! their positions, so that each acknowledged commit is known by one; the
//! promoted endpoint is at none of these positions behind; and R - S of the
//! others are fenced, so that no commit is acknowledged without the promoted
//! endpoint until it leads. Endpoints that drain count, and those that have
//! left count as silent until a successor has their log or another endpoint has
//! passed what they can have received. Without enough answers the survey goes
//! on, until the primary leads again.
//!
//! Before the others are fenced, all entries are told to hold the group's
//! writes, until the promotion is in force or has failed. No commit is
//! acknowledged in between, whatever joins, restarts or is unfenced.
class FailoverPlanner {
 public:
  FailoverPlanner(Time now,
                  std::int64_t term,
                  const routing::EndpointDirectory* directory,
                  FailoverHooks hooks);

  //! `sync_replicas` by group.
  void SetGroups(Time now, const std::map<std::string, int>& sync_replicas);
  //! Availability zones whose endpoints may get no work.
  void SetEvacuatedZones(std::set<std::string> zones);
  void Tick(Time now);

  void OnProbe(Time now,
               const std::string& group,
               const std::string& endpoint,
               const ProbeResult& result);
  void OnPromotion(Time now,
                   const messages::PrimaryAssignment& assignment,
                   PromotionResult result);
  void OnContacts(Time now,
                  const std::string& entry,
                  const std::vector<messages::PrimaryContact>& contacts);

  //! Returns the promotions that were carried out on orders of this planner.
  std::vector<messages::PrimaryAssignment> Assignments() const;

  //! Returns the holds that are in effect.
  std::vector<messages::WriteHold> WriteHolds() const;

 private:
  enum class Phase {
    kMonitoring,
    kSurveying,
    kHolding,
    kFencing,
    kOrdering,
    kConfirming,
  };
  struct EntryContact {
    std::string endpoint;
    std::optional<Time> success_at;
    std::optional<Time> failing_since;
    Time reported_at;
  };
  struct Group {
    int sync_replicas = 0;
    Phase phase = Phase::kMonitoring;
    std::string primary;   // the one monitored; empty if none is known
    bool has_led = false;  // a probe of `primary` has succeeded
    // Endpoints that call themselves primary and have failed their probes
    // without having led. Passed over while another one claims the lead.
    std::set<std::string> disproved;
    Time phase_since;
    Time next_probe;
    std::optional<Time> leads_at;
    std::optional<Time> failing_since;
    int failures = 0;
    std::string cause;  // why the survey was started
    // Of the survey. Endpoints that may hold a commit which the primary has
    // acknowledged, and the positions of those that told them.
    std::set<std::string> holders;
    // Positions that the primary confirmed after an endpoint had left, the
    // first one for each: no commit beyond it relies on that endpoint.
    std::map<std::string, ProbeResult> departures;
    std::set<std::string> live_holders;  // at some time of the round
    std::map<std::string, ProbeResult> positions;
    std::set<std::string> unreachable;
    // Answers without a position, such as of a busy endpoint.
    std::map<std::string, ProbeResult> undetermined;
    int rounds = 0;                                 // of surveying and fencing
    std::optional<std::size_t> reported_positions;  // in the log
    std::string candidate;
    std::optional<messages::WriteHold> hold;
    Time next_hold_at;                   // repeats it
    std::set<std::string> fenced;        // for the candidate
    std::set<std::string> maybe_fenced;  // to be unfenced while a primary leads
    Time unfence_at;
    std::set<std::string> refused;  // endpoints whose promotion was refused
    std::optional<messages::PrimaryAssignment> order;
    int send_count = 0;
    Time next_send_at;
    std::optional<messages::PrimaryAssignment> assigned;
    std::map<std::string, EntryContact> contacts;
  };

  void Monitor(Time now, const std::string& name, Group& group);
  void Survey(Time now, const std::string& name, Group& group);
  void ContinueSurvey(Time now, const std::string& name, Group& group);
  void OnSurveyProbe(Time now,
                     const std::string& name,
                     Group& group,
                     const std::string& endpoint,
                     const ProbeResult& result);
  void AddHolders(Time now, const std::string& name, Group& group) const;
  void NoteDepartures(const std::string& name,
                      Group& group,
                      const ProbeResult& result) const;
  std::size_t PositionsNeeded(const Group& group) const;
  std::string ChooseCandidate(const std::string& name,
                              const Group& group) const;
  void ProbeHolders(Time now, Group& group);
  void ProbeClaimants(const std::string& name, Group& group);
  void BeginHold(Time now, const std::string& name, Group& group);
  void Hold(Time now, const std::string& name, Group& group);
  void RepeatHold(Time now, Group& group);
  void LiftHold(Group& group);
  void Fence(Time now, const std::string& name, Group& group);
  void Unfence(Time now, Group& group);
  std::int64_t NextOrder();
  void Order(Time now, const std::string& name, Group& group);
  void SendOrder(Time now, const std::string& name, Group& group);
  void Confirm(Time now, const std::string& name, Group& group);
  void EnterPhase(Time now, Group& group, Phase phase);
  void MonitorEndpoint(Time now,
                       const std::string& name,
                       Group& group,
                       const std::string& endpoint);
  void BeginSurvey(Time now,
                   const std::string& name,
                   Group& group,
                   const std::string& cause);
  bool IsLost(Time now, const Group& group) const;
  bool IsEvacuated(const routing::EndpointDirectory::Entry& entry) const;
  //! True if it gets no new work: it drains, or its zone is evacuated.
  bool IsLeaving(const routing::EndpointDirectory::Entry& entry) const;
  bool IsReplaceable(const std::string& name, const Group& group) const;
  std::string FindPrimary(const std::string& name, const Group& group) const;

  std::int64_t term_;
  const routing::EndpointDirectory* directory_;
  FailoverHooks hooks_;
  Time started_at_;
  std::int64_t issued_orders_ = 0;
  std::int64_t issued_holds_ = 0;
  std::map<std::string, Group> groups_;
  std::set<std::string> evacuated_zones_;
};

}  // namespace goldcrest::fleet

#endif  // GOLDCREST_FLEET_FAILOVER_PLANNER_H_
