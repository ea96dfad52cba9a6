#include "wait.h"

#include <stdexcept>
#include <string>
#include <thread>

namespace goldcrest::process_tests {

bool WaitUntil(std::chrono::milliseconds timeout,
               const std::function<bool()>& condition) {
  constexpr std::chrono::milliseconds interval{5};
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline)
      return false;
    std::this_thread::sleep_for(interval);
  }
  return true;
}

void WaitUntilOrThrow(const char* what,
                      std::chrono::milliseconds timeout,
                      const std::function<bool()>& condition) {
  if (!WaitUntil(timeout, condition))
    throw std::runtime_error(std::string("timed out waiting for ") + what);
}

}  // namespace goldcrest::process_tests
