#ifndef GOLDCREST_PROCESS_TESTS_WAIT_H_
#define GOLDCREST_PROCESS_TESTS_WAIT_H_

#include <chrono>
#include <functional>

namespace goldcrest::process_tests {

//! Polls `condition` until it holds; false if it doesn't within `bound`.
bool Eventually(std::chrono::milliseconds bound,
                const std::function<bool()>& condition);

//! Eventually() that throws std::runtime_error with `what`.
void Await(const char* what,
           std::chrono::milliseconds bound,
           const std::function<bool()>& condition);

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_WAIT_H_
