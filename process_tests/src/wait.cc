#include "wait.h"

#include <stdexcept>
#include <string>
#include <thread>

namespace goldcrest::process_tests {

bool Eventually(std::chrono::milliseconds bound,
                const std::function<bool()>& condition) {
  constexpr std::chrono::milliseconds interval{5};
  const auto deadline = std::chrono::steady_clock::now() + bound;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline)
      return false;
    std::this_thread::sleep_for(interval);
  }
  return true;
}

void Await(const char* what,
           std::chrono::milliseconds bound,
           const std::function<bool()>& condition) {
  if (!Eventually(bound, condition))
    throw std::runtime_error(std::string("timed out: ") + what);
}

}  // namespace goldcrest::process_tests
