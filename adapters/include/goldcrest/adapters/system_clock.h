#ifndef GOLDCREST_ADAPTERS_SYSTEM_CLOCK_H_
#define GOLDCREST_ADAPTERS_SYSTEM_CLOCK_H_

#include <chrono>

#include "goldcrest/types/time.h"

namespace goldcrest::adapters {

//! The system's clocks. Time is CLOCK_BOOTTIME in microseconds: it never
//! decreases, and it includes time during which the instance was suspended.
class SystemClock {
 public:
  static Time Now();

  //! Unix time, for logs and the journal only: it may jump.
  static std::chrono::milliseconds WallNow();

  static std::chrono::steady_clock::time_point ToSteady(Time time);
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_SYSTEM_CLOCK_H_
