#ifndef GOLDCREST_FLEET_MEMBERSHIP_PLANNER_H_
#define GOLDCREST_FLEET_MEMBERSHIP_PLANNER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/types/time.h"

namespace goldcrest::fleet {

//! What the leader knows of another controller.
struct ControllerPeer {
  Time heard_at;
  bool has_disk = false;
  //! Its log was not admitted: it is new, or has lost its disk.
  bool joining = false;
};

struct MembershipView {
  std::string self;
  std::vector<std::string> members;  //!< In force.
  Time changed_at;                   //!< When `members` last changed.
  std::map<std::string, ControllerPeer> peers;
  int tolerated_losses = 1;
};

//! The membership to propose next, which differs by one member; nullopt when
//! none is due.
//!
//! A member that has lost its disk is removed, to be added again; a controller
//! with a disk that is no member is added; a member that has been silent for
//! kSilentMember is removed while enough others remain for the tolerated
//! losses.
std::optional<std::vector<std::string>> NextMembership(
    Time now,
    const MembershipView& view);

//! Longer than a restart and than the interruptions that a member survives.
inline constexpr Duration kSilentMember = std::chrono::seconds(6);

//! How long a member that was just admitted may still say that it joins.
inline constexpr Duration kAdmissionNotice = std::chrono::milliseconds(1500);

//! A peer heard within this time takes part.
inline constexpr Duration kLivePeer = std::chrono::milliseconds(1500);

}  // namespace goldcrest::fleet

#endif  // GOLDCREST_FLEET_MEMBERSHIP_PLANNER_H_
