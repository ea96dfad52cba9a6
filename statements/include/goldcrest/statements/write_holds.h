#ifndef GOLDCREST_STATEMENTS_WRITE_HOLDS_H_
#define GOLDCREST_STATEMENTS_WRITE_HOLDS_H_

#include <cstdint>
#include <map>
#include <string>

#include "goldcrest/messages/messages.h"
#include "goldcrest/types/time.h"

namespace goldcrest::statements {

//! The groups whose commits an entry holds while another primary is promoted:
//! what the former one acknowledged then might not be in the log of the
//! promoted endpoint.
class WriteHolds {
 public:
  enum class Change { kNone, kHeld, kResumed };

  //! Applies an order of a leader. One of an earlier leader, or of an earlier
  //! promotion, changes nothing.
  Change Apply(Time now, const messages::WriteHold& hold);

  //! True if no commit may be sent to the endpoint of the group.
  bool IsHeld(Time now,
              const std::string& group,
              const std::string& endpoint) const;

  //! By group: the number of the hold in effect.
  std::map<std::string, std::int64_t> InEffect(Time now) const;

  //! True once commits of the group that were sent before the hold are given
  //! up.
  bool IsOverdue(Time now, const std::string& group) const;

 private:
  struct Hold {
    std::int64_t number = 0;  // of the newest order
    std::string endpoint;     // that is promoted
    Time lapses_at;
    Time overdue_at;
  };

  static bool IsInEffect(Time now, const Hold& hold);

  std::map<std::string, Hold> holds_;  // by group
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_WRITE_HOLDS_H_
