#include "goldcrest/adapters/system_clock.h"

#include <time.h>

namespace goldcrest::adapters {
namespace {

// Longer waits never expire. Converting kNever to nanoseconds would overflow.
constexpr Duration kMaxFiniteWait = std::chrono::hours(24 * 365);

}  // namespace

Time SystemClock::Now() {
  // CLOCK_MONOTONIC stops while the instance is suspended, so an expired lease
  // would still appear valid after resume.
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(
      std::chrono::floor<Duration>(std::chrono::seconds(now.tv_sec) +
                                   std::chrono::nanoseconds(now.tv_nsec)));
}

std::chrono::milliseconds SystemClock::WallNow() {
  return std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

std::chrono::steady_clock::time_point SystemClock::ToSteady(Time time) {
  const Duration remaining = time >= kNever ? kMaxFiniteWait : time - Now();
  if (remaining >= kMaxFiniteWait)
    return std::chrono::steady_clock::time_point::max();
  return std::chrono::steady_clock::now() + remaining;
}

}  // namespace goldcrest::adapters
