#ifndef GOLDCREST_QUOTA_LIMIT_H_
#define GOLDCREST_QUOTA_LIMIT_H_

#include <chrono>
#include <cstdint>

#include "goldcrest/types/time.h"

namespace goldcrest::quota {

//! One request, in micro-tokens, the unit of all amounts.
inline constexpr std::int64_t kRequestMicros = 1'000'000;

//! How long an entry may use a share, from the time at which it sent the report
//! that was answered. Longer than the network partitions during which entries
//! have to go on admitting requests.
inline constexpr Duration kShareLease = std::chrono::seconds(9);

//! How long the owner counts a share as held after it answered a report: the
//! lease and a margin of 10% for clocks that run at different speeds.
inline constexpr Duration kShareExpiry = kShareLease + kShareLease / 10;

//! How long an entry may use tokens above the capacity of its share, from the
//! time at which it sent the report that was answered. They are meant for
//! requests that wait, so that a longer lease would only make a new owner wait
//! longer until it knows that they are used or void.
inline constexpr Duration kExcessLease = std::chrono::milliseconds(400);

//! How long the owner counts such tokens as held; see kShareExpiry.
inline constexpr Duration kExcessExpiry = kExcessLease + kExcessLease / 10;

//! The rate of a share yields tokens only while its entry has had no contact
//! with the owner for this long. Until then the owner makes the tokens of this
//! rate and gives them to the entries that need them. Several times the report
//! interval, so that a lost report does not end the contact.
inline constexpr Duration kContactTimeout = std::chrono::milliseconds(850);

//! Interval of reports when nothing makes one due earlier.
inline constexpr Duration kReportInterval = std::chrono::milliseconds(250);

//! How long a new owner may give out the reserves of limits after
//! GrantReserve().
inline constexpr Duration kReserveValidity = std::chrono::seconds(5);

//! Minimum time between two grants of the reserves. The tokens of the first
//! grant have expired by then, and no window of kReserveValidity in which the
//! use of a limit is judged contains tokens of both.
inline constexpr Duration kReserveGrantInterval =
    kReserveValidity + kReserveValidity + kShareExpiry;

//! A share that has not changed is reported at this interval, which is several
//! times within a lease.
inline constexpr Duration kMaxShareReportInterval = std::chrono::seconds(1);

//! Rate and burst of one customer over all instances, in millionths of a
//! request per second and of a request.
struct Limit {
  std::int64_t rate_micros = 0;
  std::int64_t burst_micros = 0;
  //! Tokens that a new owner may give out once, in addition to rate and burst;
  //! see Owner::GrantReserve().
  std::int64_t reserve_micros = 0;

  bool operator==(const Limit&) const = default;
};

//! How the use of a limit is judged: in no time window of `length` may a
//! customer have more than (rate * length + burst) * (1 + tolerance) +
//! allowance requests.
struct LimitWindow {
  Duration length = std::chrono::seconds(5);
  double tolerance = 0.1;
  std::int64_t allowance = 20;  //!< Requests.
};

//! The token bucket that makes use of all that `window` allows for a limit of
//! `rate` requests per second and `burst` requests. Most of it becomes the
//! rate, for customers that send steadily; the rest becomes the burst, for
//! requests that arrive unevenly.
Limit LimitFor(std::int64_t rate,
               std::int64_t burst,
               const LimitWindow& window);

//! Adds what `rate_micros` yields in `elapsed` to `level_micros`, up to
//! `capacity_micros`; a level above the capacity stays. `remainder` carries
//! millionths of a micro-token from call to call, so that no call rounds up.
void Refill(std::int64_t rate_micros,
            std::int64_t capacity_micros,
            Duration elapsed,
            std::int64_t& level_micros,
            std::int64_t& remainder);

}  // namespace goldcrest::quota

#endif  // GOLDCREST_QUOTA_LIMIT_H_
