#ifndef GOLDCREST_SESSION_READ_ELIGIBILITY_H_
#define GOLDCREST_SESSION_READ_ELIGIBILITY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "goldcrest/session/marks.h"
#include "goldcrest/session/position_history.h"
#include "goldcrest/types/time.h"

namespace goldcrest::session {

//! State of a replica, as last reported.
struct MemberView {
  std::string endpoint;
  std::int64_t term = 0;
  std::int64_t position = 0;
  bool usable = false;
};

enum class ReadEligibility : std::uint8_t {
  kEligible,
  kBehindMark,  //!< The replica lacks a write of the session.
  kTooOld,      //!< The data is, or may be, older than `max_age`.
  kWrongTerm,   //!< The member or the mark is of another term than the group.
  kUnusable,
};

//! Decides whether a replica may serve a read of a session with the mark
//! `effective` (see EffectiveMark). Without `max_age` the read needs data as
//! fresh as the primary's, so no replica is eligible. Must not be called for
//! the primary.
ReadEligibility CheckReadEligibility(const MemberView& member,
                                     std::int64_t group_term,
                                     const Mark& effective,
                                     std::optional<Duration> max_age,
                                     const PositionHistory& history,
                                     Time now);

}  // namespace goldcrest::session

#endif  // GOLDCREST_SESSION_READ_ELIGIBILITY_H_
