#ifndef GOLDCREST_PROCESS_TESTS_WAIT_H_
#define GOLDCREST_PROCESS_TESTS_WAIT_H_

#include <chrono>
#include <functional>

namespace goldcrest::process_tests {

//! Polls `condition` until it is true; false if `timeout` passes first.
bool WaitUntil(std::chrono::milliseconds timeout,
               const std::function<bool()>& condition);

//! Like WaitUntil(), but throws std::runtime_error on a timeout. `what` names
//! the awaited event in its message.
void WaitUntilOrThrow(const char* what,
                      std::chrono::milliseconds timeout,
                      const std::function<bool()>& condition);

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_WAIT_H_
