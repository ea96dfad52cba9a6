#include "bench/measure.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <limits>

namespace goldcrest::bench {
namespace {

constexpr int kRounds = 3;
constexpr double kMinRoundSeconds = 0.05;
constexpr int kCallsPerClockRead = 16;

}  // namespace

double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double MicrosPerCall(const std::function<void()>& call) {
  double best_micros = std::numeric_limits<double>::max();
  for (int round = 0; round < kRounds; ++round) {
    const double start = CpuSeconds();
    double elapsed = 0;
    long calls = 0;
    while (elapsed < kMinRoundSeconds) {
      for (int i = 0; i < kCallsPerClockRead; ++i)
        call();
      calls += kCallsPerClockRead;
      elapsed = CpuSeconds() - start;
    }
    best_micros =
        std::min(best_micros, elapsed * 1e6 / static_cast<double>(calls));
  }
  return best_micros;
}

}  // namespace goldcrest::bench
