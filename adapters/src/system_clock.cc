#include "goldcrest/adapters/system_clock.h"

#include <time.h>

namespace goldcrest::adapters {
namespace {

// Longer waits count as endless: kNever would overflow in nanoseconds.
constexpr Duration kLongest = std::chrono::hours(24 * 365);

}  // namespace

Time SystemClock::Now() {
  // The steady clock stands still while the machine is suspended, so that a
  // lease would seem to hold after it has lapsed.
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
  const Duration left = time >= kNever ? kLongest : time - Now();
  if (left >= kLongest)
    return std::chrono::steady_clock::time_point::max();
  return std::chrono::steady_clock::now() + left;
}

}  // namespace goldcrest::adapters
