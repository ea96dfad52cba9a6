#ifndef GOLDCREST_BENCH_MEASURE_H_
#define GOLDCREST_BENCH_MEASURE_H_

#include <cstddef>
#include <functional>

namespace goldcrest::bench {

//! Processor time of this process in seconds. Unlike wall time, it excludes the
//! time taken by other processes on the instance.
double CpuSeconds();

//! Heap memory in use, in bytes.
std::size_t HeapBytes();

//! Processor time of one call in microseconds: the lowest mean of three rounds
//! of at least 50 ms each.
double MicrosPerCall(const std::function<void()>& call);

}  // namespace goldcrest::bench

#endif  // GOLDCREST_BENCH_MEASURE_H_
