#ifndef GOLDCREST_BENCH_MEASURE_H_
#define GOLDCREST_BENCH_MEASURE_H_

#include <cstddef>
#include <functional>

namespace goldcrest::bench {

//! Processor time of this process in seconds. Wall time would include what
//! other processes of the machine take.
double CpuSeconds();

//! Bytes of the heap in use.
std::size_t HeapBytes();

//! Processor time of one call in microseconds: the best of three rounds of at
//! least 50 ms each.
double MicrosPerCall(const std::function<void()>& call);

}  // namespace goldcrest::bench

#endif  // GOLDCREST_BENCH_MEASURE_H_
