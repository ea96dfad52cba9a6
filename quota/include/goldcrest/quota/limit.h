#ifndef GOLDCREST_QUOTA_LIMIT_H_
#define GOLDCREST_QUOTA_LIMIT_H_

#include <chrono>
#include <cstdint>

#include "goldcrest/types/time.h"

namespace goldcrest::quota {

//! One request, in the unit of all amounts.
inline constexpr std::int64_t kRequestMicros = 1'000'000;

//! How long an entry may use a share after it sent the report that was
//! answered. Longer than the partitions that entries are to bridge.
inline constexpr Duration kShareLease = std::chrono::seconds(9);

//! How long the owner counts a share as held after it answered a report. The
//! margin of 10% covers clocks that run at different speeds.
inline constexpr Duration kShareExpiry = kShareLease + kShareLease / 10;

//! Regular interval of reports.
inline constexpr Duration kReportInterval = std::chrono::milliseconds(250);

//! How long a new owner may give out the reserves of limits.
inline constexpr Duration kReserveValidity = std::chrono::seconds(5);

//! From one grant of the reserves to the next: tokens of the first have lapsed,
//! and no judged window of kReserveValidity reaches both.
inline constexpr Duration kReserveGrantInterval =
    kReserveValidity + kReserveValidity + kShareExpiry;

//! How often a report names a share without news; several times a lease.
inline constexpr Duration kShareInterval = std::chrono::seconds(1);

//! Rate and burst of one customer over the whole fleet, in millionths of a
//! request (a second).
struct Limit {
  std::int64_t rate_micros = 0;
  std::int64_t burst_micros = 0;
  //! What a new owner may give out beside them, once; see Owner.
  std::int64_t reserve_micros = 0;

  bool operator==(const Limit&) const = default;
};

//! How the use of a limit is judged: in no span of `length` may a customer have
//! more than (rate * length + burst) * (1 + tolerance) + allowance requests.
struct LimitWindow {
  Duration length = std::chrono::seconds(5);
  double tolerance = 0.1;
  std::int64_t allowance = 20;  //!< Requests.
};

//! The bucket that uses what a limit of `rate` requests a second and `burst`
//! requests allows in any window: a customer that keeps sending gets most of it
//! as a rate, the rest lets requests come unevenly.
Limit LimitFor(std::int64_t rate,
               std::int64_t burst,
               const LimitWindow& window);

//! Adds what `rate_micros` yields in `elapsed` to `level_micros`, up to
//! `capacity_micros`; a level above it stays. `remainder` carries millionths of
//! a micro-token from call to call, so that no call rounds up.
void Refill(std::int64_t rate_micros,
            std::int64_t capacity_micros,
            Duration elapsed,
            std::int64_t& level_micros,
            std::int64_t& remainder);

}  // namespace goldcrest::quota

#endif  // GOLDCREST_QUOTA_LIMIT_H_
