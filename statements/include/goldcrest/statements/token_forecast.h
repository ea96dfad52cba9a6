#ifndef GOLDCREST_STATEMENTS_TOKEN_FORECAST_H_
#define GOLDCREST_STATEMENTS_TOKEN_FORECAST_H_

#include <map>
#include <string>

#include "goldcrest/types/time.h"

namespace goldcrest::statements {

//! Forecasts whether an operation that waits for a token of its customer's rate
//! gets one in time. The owner of the rate gives tokens to waiting operations
//! on request, so that only waits in vain tell that it has none. While the
//! owner does not answer, nothing is known, and operations wait. Not
//! thread-safe.
class TokenForecast {
 public:
  //! The owner has answered a report.
  void OnOwnerAnswer(Time now);

  //! An operation that has waited since `since` has taken a token.
  void OnTaken(const std::string& customer);
  //! An operation that has waited since `since` gave up.
  void OnGaveUp(Time now, Time since, const std::string& customer);

  //! True if an operation that arrives now may wait until `give_up_at`.
  //! `share_token_at` is when the entry's own share yields a token.
  bool MayWait(Time now,
               const std::string& customer,
               Time share_token_at,
               Time give_up_at);

 private:
  struct Shortage {
    Time until;       // operations that arrive earlier are rejected
    Duration length;  // from the last wait in vain
  };

  Time owner_answered_at_;
  std::map<std::string, Shortage> shortages_;  // by customer
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_TOKEN_FORECAST_H_
