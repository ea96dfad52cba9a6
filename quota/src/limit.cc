#include "goldcrest/quota/limit.h"

#include <cmath>

namespace goldcrest::quota {
namespace {

// Part of a window's requests that comes as a rate; the rest is burst.
constexpr double kRatePart = 0.85;

// Part of the tolerance and the allowance that is used. The rest covers
// requests that are repeated at another endpoint after they ran.
constexpr double kToleranceUsed = 0.9;

// Part of a window's requests that is kept for the time after a change of the
// owner, which starts with empty buckets while callers repeat what failed. More
// would refuse customers that use all of their rate.
constexpr double kReservePart = 0.1;

}  // namespace

Limit LimitFor(std::int64_t rate,
               std::int64_t burst,
               const LimitWindow& window) {
  const double seconds = std::chrono::duration<double>(window.length).count();
  const double allowed =
      (static_cast<double>(rate) * seconds + static_cast<double>(burst)) *
          (1 + window.tolerance * kToleranceUsed) +
      static_cast<double>(window.allowance) * kToleranceUsed;
  if (rate == 0 && burst == 0)
    return {};
  const auto micros = [](double requests) {
    return static_cast<std::int64_t>(
        std::floor(requests * static_cast<double>(kRequestMicros)));
  };
  const double steady = allowed * (1 - kReservePart);
  return {micros(steady * kRatePart / seconds),
          micros(steady * (1 - kRatePart)), micros(allowed * kReservePart)};
}

void Refill(std::int64_t rate_micros,
            std::int64_t capacity_micros,
            Duration elapsed,
            std::int64_t& level_micros,
            std::int64_t& remainder) {
  if (level_micros >= capacity_micros) {
    remainder = 0;
    return;
  }
  // A product of 64-bit amounts: a large rate over a long silence overflows 64
  // bits.
  const __int128 scaled =
      static_cast<__int128>(rate_micros) * elapsed.count() + remainder;
  const __int128 level = level_micros + scaled / kRequestMicros;
  if (level >= capacity_micros) {
    level_micros = capacity_micros;
    remainder = 0;
    return;
  }
  level_micros = static_cast<std::int64_t>(level);
  remainder = static_cast<std::int64_t>(scaled % kRequestMicros);
}

}  // namespace goldcrest::quota
