#ifndef GOLDCREST_PROCESS_TESTS_CHILD_PROCESS_H_
#define GOLDCREST_PROCESS_TESTS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace goldcrest::process_tests {

//! A child process of the test. The destructor kills and reaps it; the kernel
//! kills it when the thread that started it ends.
class ChildProcess {
 public:
  //! Appends standard output and standard error to `log`. Throws
  //! std::system_error when the process can't be started.
  ChildProcess(const std::vector<std::string>& command,
               const std::filesystem::path& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  //! Does nothing once the process has been reaped.
  void Signal(int signal) const;

  //! Sends SIGKILL and reaps the process.
  void Kill();

  //! Exit status, or 128 + signal; nullopt if the process still runs after
  //! `timeout`.
  std::optional<int> WaitForExit(std::chrono::milliseconds timeout);

  bool IsRunning();

 private:
  void Reap(int flags);

  pid_t pid_ = -1;
  std::optional<int> status_;
};

//! Whether this process has a child that has not been reaped.
bool HasUnreapedChildren();

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_CHILD_PROCESS_H_
