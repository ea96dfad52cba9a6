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

//! What the coordinator knows of one endpoint of its group.
struct Member {
  messages::EndpointInfo info;
  std::int64_t term = 0;
  std::int64_t log_term = 0;
  std::int64_t position = 0;
  std::optional<Time> last_answer;
  Time last_progress;  //!< Last time its position changed or it was
                       //!< seen level with the primary.
  Time next_probe;
  bool probe_in_flight = false;
  bool follow_in_flight = false;
  int busy = 0;          //!< Statements running on its slots.
  int transactions = 0;  //!< Slots held by transactions.
};

//! The endpoints of one group and what they reported. Holds the rules for
//! majorities and promotion; it sends nothing itself.
class MemberTable {
 public:
  //! Adds, changes and removes members so that they match `endpoints`.
  void SetEndpoints(const std::vector<messages::EndpointInfo>& endpoints,
                    Time now);

  //! Records an answer of any kind. Reports that go back in (log_term,
  //! position) are taken too: an endpoint truncates its log when it follows a
  //! new primary.
  void OnReport(const std::string& endpoint,
                std::int64_t term,
                std::int64_t log_term,
                std::int64_t position,
                Time now);

  //! The endpoint answered without saying where its log ends.
  void OnAlive(const std::string& endpoint, Time now);

  Member* Find(const std::string& endpoint);
  const Member* Find(const std::string& endpoint) const;
  std::map<std::string, Member>& members() { return members_; }
  const std::map<std::string, Member>& members() const { return members_; }

  //! Members that must hold a write before it is acknowledged.
  std::size_t Majority() const { return members_.size() / 2 + 1; }

  //! True when a majority of members, the primary included, holds the entry of
  //! `term` at `position`. Only members whose last entry is of that very term
  //! count: an equal position of another term may be another write.
  bool MajorityHolds(std::int64_t term, std::int64_t position) const;

  //! The member to promote: the highest (log term, position) among those that
  //! answered within `timeout`. Nullopt unless enough members answered to be
  //! sure that the chosen one holds every write a majority held. Of equals
  //! `preferred` wins, then the lower name; `excluded` is never chosen. A
  //! member that leaves is chosen only where no other may be, so that its log
  //! reaches one that stays.
  std::optional<std::string> ChoosePrimary(Time now,
                                           Duration timeout,
                                           const std::string& preferred,
                                           const std::string& excluded) const;

  bool IsAlive(const Member& member, Time now, Duration timeout) const;

  //! True when the primary is ahead of all its replicas that answer, there is
  //! at least one, and none has made progress for `timeout`. Slow replicas do
  //! advance and are no sign of isolation.
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
