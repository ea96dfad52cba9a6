#ifndef GOLDCREST_TYPES_TIME_H_
#define GOLDCREST_TYPES_TIME_H_

#include <chrono>
#include <cstdint>

namespace goldcrest {

using Duration = std::chrono::microseconds;

//! A clock that never goes back. The core does not read it: it is given the
//! time with each event. Adapters map the system's steady clock to it.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // The standard's requirements for clocks fix this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

//! Microseconds since an arbitrary start. Times of different processes can't be
//! compared.
using Time = MonotonicClock::time_point;

inline constexpr Time kNever = Time::max();

constexpr Time TimeFromMicros(std::int64_t micros) {
  return Time(Duration(micros));
}

constexpr std::int64_t ToMicros(Time time) {
  return time.time_since_epoch().count();
}

}  // namespace goldcrest

#endif  // GOLDCREST_TYPES_TIME_H_
