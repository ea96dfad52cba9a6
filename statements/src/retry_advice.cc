#include "goldcrest/statements/retry_advice.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace goldcrest::statements {
namespace {

// An earlier retry would reach the entry before anything has changed: endpoints
// and shares change within a round trip to another availability zone.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);

// Callers retry twice. Without a forecast, the second retry has to fall into
// the useful time as well.
constexpr int kRetries = 2;

// Time told when the useful time has passed, as parts of its length.
constexpr int kLateEarliestDivisor = 10;
constexpr int kLateLatestDivisor = 4;

}  // namespace

Duration RetryAdvisor::Advise(Time now,
                              const std::string& resource,
                              const RetrySituation& situation) {
  std::erase_if(next_slot_,
                [now](const auto& item) { return item.second <= now; });
  const auto tell = [now](Time time) {
    const Duration after = std::max(time - now, kMinRetryAfter);
    return Duration(std::chrono::floor<std::chrono::milliseconds>(after));
  };
  const auto spread = [this](Time first, Time last) {
    const auto width = static_cast<double>((last - first).count());
    return first + Duration(std::llround(width * NextFraction()));
  };
  const Time latest = situation.useful_end - situation.service;
  const Time earliest = now + kMinRetryAfter;
  const Time first = std::max(earliest, situation.capacity_at);
  if (first <= latest) {
    const auto taken = next_slot_.find(resource);
    const Time slot =
        taken == next_slot_.end() ? first : std::max(first, taken->second);
    // More callers may have been told to return than can be served in time.
    // Some of them will not.
    if (slot > latest)
      return tell(spread(first, latest));
    next_slot_[resource] = slot + situation.interval;
    return tell(slot);
  }
  if (earliest <= latest) {
    const Duration left = latest - now;
    return tell(std::max(
        earliest, spread(now + left / (2 * kRetries), now + left / kRetries)));
  }
  const Duration useful = situation.useful_end - situation.arrival;
  return tell(spread(now + useful / kLateEarliestDivisor,
                     now + useful / kLateLatestDivisor));
}

// Successive values lie far from each other, so that a few callers are spread
// as evenly as many.
double RetryAdvisor::NextFraction() {
  const double golden_ratio = 0.6180339887498949;
  const double value = static_cast<double>(++spread_) * golden_ratio;
  return value - std::floor(value);
}

}  // namespace goldcrest::statements
