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
#include "goldcrest/types/time.h"

namespace goldcrest::fleet {

//! What an endpoint has told a controller.
struct ProbeResult {
  enum class Kind {
    kLeads,
    kFollows,
    kUndetermined,  //!< It answered, but could not tell.
    kUnreachable,
  };
  Kind kind = Kind::kUnreachable;
  std::int64_t term = 0;    //!< Of the position.
  std::int64_t number = 0;  //!< Received by the endpoint's log.
  Time asked_at;            //!< Before the question was sent.
};

enum class ProbePurpose {
  kLeadership,  //!< Does it lead? Costs the endpoint no slot.
  kPosition,    //!< How far is its log?
};

enum class PromotionResult { kAccepted, kRefused, kUnanswered };

struct FailoverHooks {
  std::function<void(const routing::EndpointDirectory::Entry&, ProbePurpose)>
      probe;
  std::function<void(const messages::PrimaryAssignment&)> promote;
  std::function<void(const messages::PrimaryAssignment&)> assigned;
  //! The entries' contacts with primaries decide now.
  std::function<void()> ask_contacts;
  std::function<void(const std::string& event,
                     const std::string& group,
                     const std::string& endpoint,
                     const std::string& cause)>
      decided;
};

//! Watches the primaries of all groups and has another endpoint promoted when
//! one is lost or leaves. Lives on the leading controller for one term.
//!
//! A primary counts as lost when the leader can't reach it and no entry has
//! reached it since, or when far more entries fail to reach it than succeed.
class FailoverPlanner {
 public:
  FailoverPlanner(Time now,
                  std::int64_t term,
                  const routing::EndpointDirectory* directory,
                  FailoverHooks hooks);

  void SetGroups(Time now, const std::set<std::string>& groups);
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

  //! Promotions that this leader had carried out.
  std::vector<messages::PrimaryAssignment> Assignments() const;

 private:
  enum class Phase { kWatching, kSurveying, kOrdering, kSettling };
  struct EntryContact {
    std::string endpoint;
    std::optional<Time> success_at;
    std::optional<Time> failing_since;
    Time reported_at;
  };
  struct Group {
    Phase phase = Phase::kWatching;
    std::string primary;  // watched; empty while none is known
    Time phase_since;
    Time next_probe;
    std::optional<Time> leads_at;
    std::optional<Time> failing_since;
    int failures = 0;
    std::string cause;  // of the survey
    std::map<std::string, ProbeResult> survey;
    std::set<std::string> asked;
    std::set<std::string> refused;  // promotions of them were refused
    std::optional<messages::PrimaryAssignment> order;
    int sends = 0;
    Time next_send;
    std::optional<messages::PrimaryAssignment> assigned;
    std::map<std::string, EntryContact> contacts;
  };

  void Watch(Time now, const std::string& name, Group& group);
  void Survey(Time now, const std::string& name, Group& group);
  void Order(Time now, const std::string& name, Group& group);
  void Settle(Time now, const std::string& name, Group& group);
  void Enter(Time now, Group& group, Phase phase);
  void BeginSurvey(Time now,
                   const std::string& name,
                   Group& group,
                   const std::string& cause);
  bool IsLost(Time now, const Group& group) const;
  std::string FindPrimary(const std::string& name, const Group& group) const;

  std::int64_t term_;
  const routing::EndpointDirectory* directory_;
  FailoverHooks hooks_;
  Time started_at_;
  std::int64_t orders_ = 0;
  std::map<std::string, Group> groups_;
};

}  // namespace goldcrest::fleet

#endif  // GOLDCREST_FLEET_FAILOVER_PLANNER_H_
