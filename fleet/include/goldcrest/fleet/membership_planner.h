#ifndef GOLDCREST_FLEET_MEMBERSHIP_PLANNER_H_
#define GOLDCREST_FLEET_MEMBERSHIP_PLANNER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/types/time.h"

namespace goldcrest::fleet {

//! State of another controller as the leader knows it.
struct ControllerPeer {
  Time heard_at;
  bool has_disk = false;
  //! It takes no part in elections yet: it is new, or has lost its disk.
  bool joining = false;
  bool draining = false;  //!< It is about to stop as planned.
};

struct MembershipView {
  std::string self;
  std::vector<std::string> members;  //!< The membership in force.
  Time changed_at;                   //!< When `members` last changed.
  std::map<std::string, ControllerPeer> peers;
  int tolerated_losses = 1;
  //! The addition proposed last was refused. The log adds no member while the
  //! one added before has not caught up.
  bool addition_refused = false;
};

//! Returns the membership to propose next, which differs from the current one
//! by one member; nullopt if no change is needed.
//!
//! A member that has lost its disk is removed, and added again later. A
//! controller that has a disk and is no member is added. If more members than
//! the tolerated losses require are left, one that drains or was not heard from
//! for kMemberRemovalTimeout is removed: it counts for the majority, but can't
//! vote. If an addition was refused, a silent member makes room for it first.
std::optional<std::vector<std::string>> NextMembership(
    Time now,
    const MembershipView& view);

//! A member not heard from for this long may be removed if there is a
//! replacement. Longer than a restart, and much shorter than the time in which
//! a replacement has to catch up before another controller may fail.
inline constexpr Duration kMemberRemovalTimeout = std::chrono::seconds(2);

//! How long after its admission a member may still report that it is joining,
//! because it sent the notice before.
inline constexpr Duration kAdmissionGracePeriod =
    std::chrono::milliseconds(1500);

//! A peer not heard from for this long does not count as live.
inline constexpr Duration kPeerTimeout = std::chrono::milliseconds(1500);

}  // namespace goldcrest::fleet

#endif  // GOLDCREST_FLEET_MEMBERSHIP_PLANNER_H_
