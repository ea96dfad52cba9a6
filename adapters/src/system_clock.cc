#include "goldcrest/adapters/system_clock.h"

namespace goldcrest::adapters {
namespace {

// Later times, such as kNever, would overflow in nanoseconds.
constexpr Time kLast(
    std::chrono::floor<Duration>(std::chrono::steady_clock::duration::max()));

}  // namespace

Time SystemClock::Now() {
  return Time(std::chrono::floor<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

std::chrono::milliseconds SystemClock::WallNow() {
  return std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

std::chrono::steady_clock::time_point SystemClock::ToSteady(Time time) {
  if (time >= kLast)
    return std::chrono::steady_clock::time_point::max();
  return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

}  // namespace goldcrest::adapters
