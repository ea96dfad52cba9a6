#include "bench/measure.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <limits>

namespace goldcrest::bench {
namespace {

constexpr int kRounds = 3;
constexpr double kRoundSeconds = 0.05;
constexpr int kCallsBetweenChecks = 16;

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
  double best = std::numeric_limits<double>::max();
  for (int round = 0; round < kRounds; ++round) {
    const double start = CpuSeconds();
    double spent = 0;
    long calls = 0;
    while (spent < kRoundSeconds) {
      for (int i = 0; i < kCallsBetweenChecks; ++i)
        call();
      calls += kCallsBetweenChecks;
      spent = CpuSeconds() - start;
    }
    best = std::min(best, spent * 1e6 / static_cast<double>(calls));
  }
  return best;
}

}  // namespace goldcrest::bench
