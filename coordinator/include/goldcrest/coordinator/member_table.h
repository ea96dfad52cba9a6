#ifndef GOLDCREST_COORDINATOR_MEMBER_TABLE_H_
#define GOLDCREST_COORDINATOR_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/types/time.h"

namespace goldcrest::coordinator {

//! State of one endpoint of the group, as known to the coordinator.
struct Member {
  messages::EndpointInfo info;
  std::int64_t term = 0;
  std::int64_t log_term = 0;
  std::int64_t position = 0;
  std::optional<Time> last_answer;
  Time last_progress;  //!< Last time its position changed or it had the
                       //!< whole log of the primary.
  Time next_probe;
  bool probe_in_flight = false;
  bool follow_in_flight = false;
  int busy = 0;          //!< Statements running on its slots.
  int transactions = 0;  //!< Slots held by transactions.
};

//! The endpoints of one group with their last reports. Implements the rules for
//! majorities and promotion; does no I/O.
class MemberTable {
 public:
  //! Adds, updates and removes members to match `endpoints`.
  void SetEndpoints(const std::vector<messages::EndpointInfo>& endpoints,
                    Time now);

  //! Records the log state that an endpoint reported in any answer. (log_term,
  //! position) may decrease, because an endpoint truncates its log when it
  //! follows a new primary.
  void OnReport(const std::string& endpoint,
                std::int64_t term,
                std::int64_t log_term,
                std::int64_t position,
                Time now);

  //! Records an answer that holds no log position.
  void OnAnswerWithoutPosition(const std::string& endpoint, Time now);

  Member* Find(const std::string& endpoint);
  const Member* Find(const std::string& endpoint) const;
  std::map<std::string, Member>& members() { return members_; }
  const std::map<std::string, Member>& members() const { return members_; }

  //! Number of members that must hold a write before it is acknowledged.
  std::size_t Majority() const { return members_.size() / 2 + 1; }

  //! True if a majority of members, including the primary, holds the entry of
  //! `term` at `position`. Only members whose last entry has the same term
  //! count, because the same position of another term may be a different write.
  bool MajorityHolds(std::int64_t term, std::int64_t position) const;

  //! Returns the member to promote: the one with the highest (log term,
  //! position) among those that answered within `timeout`. Returns nullopt
  //! unless enough members answered to guarantee that the chosen member holds
  //! every write that a majority held. Ties go to `preferred`, then to the
  //! lower name; `excluded` is never chosen. A leaving member is chosen only if
  //! no remaining member is eligible, so that its log can replicate to a
  //! remaining member.
  std::optional<std::string> ChoosePrimary(Time now,
                                           Duration timeout,
                                           const std::string& preferred,
                                           const std::string& excluded) const;

  bool IsAlive(const Member& member, Time now, Duration timeout) const;

  //! True if at least one replica answers and all answering replicas are behind
  //! the primary and have made no progress for `timeout`. Replicas that are
  //! slow but advance do not indicate isolation.
  bool PrimaryIsIsolated(Time now, Duration timeout) const;

  void SetPrimary(const std::string& endpoint, Time now);

 private:
  std::optional<std::string> ChooseAmong(Time now,
                                         Duration timeout,
                                         const std::string& preferred,
                                         const std::string& excluded,
                                         bool with_leaving) const;

  std::string primary_;
  std::map<std::string, Member> members_;
};

}  // namespace goldcrest::coordinator

#endif  // GOLDCREST_COORDINATOR_MEMBER_TABLE_H_
