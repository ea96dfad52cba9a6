#ifndef GOLDCREST_QUOTA_HOLDER_H_
#define GOLDCREST_QUOTA_HOLDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/quota/limit.h"
#include "goldcrest/types/time.h"

namespace goldcrest::quota {

//! The shares of the customers' limits that one entry holds. A new process
//! starts with an empty Holder and a new incarnation. Not thread-safe.
//!
//! A new request calls TryTake(). If that fails and the request may wait, call
//! StartWaiting() once, then TryTakeWaiting() after OnUpdates() and at
//! NextTokenAt(), until it succeeds or the request gives up with StopWaiting().
//! Serve waiting requests before calling Report(), so that the report includes
//! the tokens that they have taken.
class Holder {
 public:
  //! Sets the limit of a customer. Without a limit (also before the first call)
  //! every request of the customer is admitted.
  void SetLimit(const std::string& customer, std::optional<Limit> limit);

  //! Counts a new request and takes one token for it. Fails when the share has
  //! no whole token, or when earlier requests wait.
  bool TryTake(Time now, const std::string& customer);

  //! Counts one more request that waits for a token; does not block. Makes a
  //! report due at once.
  void StartWaiting(Time now, const std::string& customer);

  //! Takes one token for a waiting request, which then no longer counts as
  //! waiting. Fails when there is no whole token.
  bool TryTakeWaiting(Time now, const std::string& customer);

  //! Counts one waiting request less, after it gave up.
  void StopWaiting(const std::string& customer);

  //! When the share's own rate yields the next whole token: `now` if the share
  //! has one already, kNever if its rate or capacity is too small for one.
  Time NextTokenAt(Time now, const std::string& customer);

  //! The same for a request that would wait behind those that wait now.
  Time NextFreeTokenAt(Time now, const std::string& customer);

  //! True when a report should be sent now.
  bool ReportDue(Time now) const;

  //! When ReportDue() becomes true if nothing else makes a report due earlier.
  Time NextReportAt() const;

  //! Reports the shares and the demand of this entry. The first element has an
  //! empty customer and carries the newest owner term seen. A partial report
  //! leaves out unchanged shares; an owner that does not know these yet asks
  //! for a full report. `now` is the time at which the report is sent, which
  //! the answer repeats.
  std::vector<messages::ShareReport> Report(Time now);

  //! Requests of customers with a limit, since the start of the process.
  struct Counts {
    std::int64_t served_at_once = 0;
    std::int64_t served_after_wait = 0;
    std::int64_t gave_up = 0;  // without a token
  };
  const Counts& counts() const { return counts_; }

  //! How long ago the last token was taken; `now - started` if none was.
  Duration TimeSinceLastTake(Time now, Time started) const;

  //! Applies the answer to the report sent at `report_sent`. Duplicate, delayed
  //! and reordered answers are detected and add no tokens.
  void OnUpdates(Time now,
                 Time report_sent,
                 const std::vector<messages::ShareUpdate>& updates);

  //! Call when reports go to another owner from now on. Makes a full report due
  //! at once, so that the new owner learns early what this entry holds.
  void OnOwnerChange(Time now);

  //! Gives up all shares permanently, for a drain: requests of customers with
  //! a limit are refused from now on. Call before Owner::Release() is called
  //! for this instance.
  void Stop();

 private:
  struct Share {
    std::optional<Limit> limit;
    std::int64_t term = 0;      // of the newest update applied
    std::int64_t sequence = 0;  // of the newest update applied
    std::int64_t rate_micros = 0;
    std::int64_t capacity_micros = 0;
    std::int64_t level_micros = 0;
    std::int64_t remainder = 0;  // millionths of a micro-token; see Refill()
    std::int64_t ceiling_micros = 0;  // maximum level set by the update
    std::int64_t surplus_micros = 0;  // tokens to return with the next report
    Time refilled_at;
    Time lease_end;
    Time excess_end;    // of tokens above the capacity
    double demand = 0;  // requests per second
    Time demand_at;
    std::int64_t waiting = 0;
    bool changed = false;  // since the share was last reported
    Time reported_at;
    double reported_demand = 0;
  };

  Time TokenAt(Time now, Share& share, std::int64_t wanted_micros);
  void Advance(Share& share, Time now) const;
  void OnContact(Time now, std::int64_t contact_micros);
  static void DecayDemand(Share& share, Time now);
  static bool IsIdle(const Share& share);
  static bool NeedsReport(const Share& share, Time now);
  bool Take(Share& share, Time now);
  void Apply(Share& share,
             Time now,
             Time report_sent,
             const messages::ShareUpdate& update);
  void RequestReport(Time at);

  std::map<std::string, Share> shares_;
  Counts counts_;
  std::optional<Time> last_taken_;
  std::int64_t newest_term_ = 0;
  std::int64_t contact_micros_ = -1;  // newest of this term; -1: none
  Time last_contact_;
  Time refilled_from_;  // the rates of shares yield tokens from then on
  bool full_report_due_ = true;  // the owner may not know all shares yet
  Time first_report_ = kNever;
  Time last_report_;
  Time next_report_;  // the first report is due at once
  bool stopped_ = false;
};

}  // namespace goldcrest::quota

#endif  // GOLDCREST_QUOTA_HOLDER_H_
