#ifndef GOLDCREST_ADAPTERS_TESTS_WAIT_H_
#define GOLDCREST_ADAPTERS_TESTS_WAIT_H_

#include <chrono>
#include <functional>
#include <thread>

namespace goldcrest::adapters {

//! Waits until `condition` holds, for at most 10 s.
inline bool WaitFor(const std::function<bool()>& condition) {
  const auto limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > limit)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_TESTS_WAIT_H_
