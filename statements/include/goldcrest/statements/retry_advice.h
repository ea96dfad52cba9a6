#ifndef GOLDCREST_STATEMENTS_RETRY_ADVICE_H_
#define GOLDCREST_STATEMENTS_RETRY_ADVICE_H_

#include <cstdint>
#include <map>
#include <string>

#include "goldcrest/types/time.h"

namespace goldcrest::statements {

//! What is known of a refused statement when its caller is told when to retry.
struct RetrySituation {
  Time arrival;        //!< Of the statement at this entry.
  Time useful_end;     //!< Callers wait at least until then.
  Duration service{};  //!< From a caller's return to its answer.
  //! When the next capacity is expected that no other caller has been promised;
  //! kNever if not known.
  Time capacity_at = kNever;
  //! Between two units of capacity: tokens or starts of waiting statements.
  Duration interval{};
};

//! Computes when refused callers should retry. Callers that are refused for the
//! same resource are told different times, one interval apart, so that they
//! return at the rate at which the resource can serve them. Not thread-safe.
class RetryAdvisor {
 public:
  //! The time from `now` after which the caller should retry, in whole
  //! milliseconds. `resource` names what the caller waits for. A caller that
  //! returns at that time can still be served before `useful_end`, unless it is
  //! too late for that already. Where this entry expects capacity too late, the
  //! caller is told a time in its useful time nevertheless: its retry goes to
  //! another entry, which may have some.
  Duration Advise(Time now,
                  const std::string& resource,
                  const RetrySituation& situation);

 private:
  double NextFraction();

  std::map<std::string, Time> next_slot_;  // by resource; in the future only
  std::uint64_t spread_ = 0;               // number of times told
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_RETRY_ADVICE_H_
