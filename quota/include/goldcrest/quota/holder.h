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

//! The shares of one entry. A new process starts with an empty Holder and a new
//! incarnation. Not thread-safe.
//!
//! A new request calls TryTake(). If that fails and the request may wait, call
//! StartWaiting() once, then TryTakeWaiting() after OnUpdates() and at
//! NextTokenAt(), until it succeeds or the request gives up with StopWaiting().
//! Serve waiting requests before asking for a report, so that it tells what
//! they have taken.
class Holder {
 public:
  //! Sets the limit of a customer. Without a limit (also before the first call)
  //! every request of the customer is admitted.
  void SetLimit(const std::string& customer, std::optional<Limit> limit);

  //! Counts a new request and takes one token for it. Fails when the share has
  //! no whole token, or when earlier requests wait.
  bool TryTake(Time now, const std::string& customer);

  //! One more request waits for a token. Makes a report due at once.
  void StartWaiting(Time now, const std::string& customer);

  //! Takes one token for a request that waits; on success it waits no longer.
  bool TryTakeWaiting(Time now, const std::string& customer);

  //! A waiting request gave up.
  void StopWaiting(const std::string& customer);

  //! When the share's own rate yields the next whole token: `now` if there is
  //! one already, kNever if the share never yields one.
  Time NextTokenAt(Time now, const std::string& customer);

  //! True when a report should be sent now.
  bool ReportDue(Time now) const;

  //! The next time at which ReportDue() becomes true with no further event.
  Time NextReportAt() const;

  //! What this entry holds and needs. The first element has an empty customer
  //! and carries the newest owner term seen. A partial report leaves out shares
  //! without news; an owner that does not know the others yet asks for a full
  //! one. `now` is the report's sent time, which the answer echoes.
  std::vector<messages::ShareReport> Report(Time now);

  //! How long ago a token was taken last; `now - started` if none was.
  Duration TimeSinceLastTake(Time now, Time started) const;

  //! Applies the answer to the report sent at `report_sent`. Repeated, late and
  //! reordered answers are recognised and do no harm.
  void OnUpdates(Time now,
                 Time report_sent,
                 const std::vector<messages::ShareUpdate>& updates);

  //! Another owner answers from now on. Makes a report due at once, so that the
  //! owner learns early what is held.
  void OnOwnerChange(Time now);

  //! Gives up all shares for good (drain): limited requests are refused from
  //! now on. Call before Owner::Release() is asked for.
  void Stop();

 private:
  struct Share {
    std::optional<Limit> limit;
    std::int64_t term = 0;  // of the newest update applied, as is sequence
    std::int64_t sequence = 0;
    std::int64_t rate_micros = 0;
    std::int64_t capacity_micros = 0;
    std::int64_t level_micros = 0;
    std::int64_t remainder = 0;       // millionths of level_micros
    std::int64_t ceiling_micros = 0;  // of the level when the update applied
    std::int64_t surplus_micros = 0;  // tokens to hand back in the next report
    Time refilled_at;
    Time lease_end;
    double demand = 0;  // requests a second
    Time demand_at;
    std::int64_t waiting = 0;
    bool changed = false;  // since the last report
    Time reported_at;
    double reported_demand = 0;
  };

  static void Advance(Share& share, Time now);
  static void DecayDemand(Share& share, Time now);
  static bool IsIdle(const Share& share);
  static bool HasNews(const Share& share, Time now);
  bool Take(Share& share, Time now);
  void Apply(Share& share,
             Time now,
             Time lease_end,
             const messages::ShareUpdate& update);
  void RequestReport(Time at);

  std::map<std::string, Share> shares_;
  std::optional<Time> last_taken_;
  std::int64_t newest_term_ = 0;
  bool full_due_ = true;  // the owner may not know all shares
  Time first_report_ = kNever;
  Time last_report_;
  Time next_report_;  // the first report is due at once
  bool stopped_ = false;
};

}  // namespace goldcrest::quota

#endif  // GOLDCREST_QUOTA_HOLDER_H_
