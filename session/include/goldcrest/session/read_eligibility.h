#ifndef GOLDCREST_SESSION_READ_ELIGIBILITY_H_
#define GOLDCREST_SESSION_READ_ELIGIBILITY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "goldcrest/session/marks.h"
#include "goldcrest/session/position_history.h"
#include "goldcrest/types/time.h"

namespace goldcrest::session {

//! What is known of a replica.
struct MemberView {
  std::string endpoint;
  std::int64_t term = 0;
  std::int64_t position = 0;
  bool usable = false;
};

enum class ReadEligibility : std::uint8_t {
  kYes,
  kBehindMark,  //!< The session's own write is missing.
  kTooOld,      //!< The data is, or may be, older than the bound.
  kWrongTerm,   //!< The member or the mark is of another term than the group.
  kUnusable,
};

//! Whether a replica may serve a read of a session with the mark `effective`
//! (see EffectiveMark). Without `max_age` the read accepts only data as fresh
//! as the primary's, so no replica may. Not to be asked of the primary.
ReadEligibility CanServeRead(const MemberView& member,
                             std::int64_t group_term,
                             const Mark& effective,
                             std::optional<Duration> max_age,
                             const PositionHistory& history,
                             Time now);

}  // namespace goldcrest::session

#endif  // GOLDCREST_SESSION_READ_ELIGIBILITY_H_
