#include "goldcrest/session/read_eligibility.h"

namespace goldcrest::session {

ReadEligibility CheckReadEligibility(const MemberView& member,
                                     std::int64_t group_term,
                                     const Mark& effective,
                                     std::optional<Duration> max_age,
                                     const PositionHistory& history,
                                     Time now) {
  if (!member.usable)
    return ReadEligibility::kUnusable;
  if (member.term != group_term || IsFromLaterTerm(effective, group_term))
    return ReadEligibility::kWrongTerm;
  if (member.position < effective.position)
    return ReadEligibility::kBehindMark;
  if (!max_age)
    return ReadEligibility::kTooOld;
  const std::optional<Duration> age = history.AgeOf(member.position, now);
  if (!age || *age > *max_age)
    return ReadEligibility::kTooOld;
  return ReadEligibility::kEligible;
}

}  // namespace goldcrest::session
