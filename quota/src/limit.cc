#include "goldcrest/quota/limit.h"

#include <cmath>

namespace goldcrest::quota {
namespace {

// Fraction of a window's requests that becomes the rate; the rest is burst.
constexpr double kRateFraction = 0.85;

// Fraction of the tolerance and the allowance that is used. The rest covers
// requests that are retried at another endpoint after they have run.
constexpr double kUsedToleranceFraction = 0.9;

// Fraction of a window's requests that is reserved for the time after a change
// of the owner: the new owner starts with empty buckets while callers retry
// failed requests. A larger fraction would refuse requests of customers that
// use all of their rate.
constexpr double kReserveFraction = 0.1;

}  // namespace

Limit LimitFor(std::int64_t rate,
               std::int64_t burst,
               const LimitWindow& window) {
  const double seconds = std::chrono::duration<double>(window.length).count();
  const double allowed =
      (static_cast<double>(rate) * seconds + static_cast<double>(burst)) *
          (1 + window.tolerance * kUsedToleranceFraction) +
      static_cast<double>(window.allowance) * kUsedToleranceFraction;
  if (rate == 0 && burst == 0)
    return {};
  const auto micros = [](double requests) {
    return static_cast<std::int64_t>(
        std::floor(requests * static_cast<double>(kRequestMicros)));
  };
  const double steady = allowed * (1 - kReserveFraction);
  return {micros(steady * kRateFraction / seconds),
          micros(steady * (1 - kRateFraction)),
          micros(allowed * kReserveFraction)};
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
  // A large rate multiplied by a long time since the last refill overflows 64
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
