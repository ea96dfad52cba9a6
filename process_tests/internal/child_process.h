#ifndef GOLDCREST_PROCESS_TESTS_CHILD_PROCESS_H_
#define GOLDCREST_PROCESS_TESTS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace goldcrest::process_tests {

//! A child of the test. It is killed and reaped by the destructor, and by the
//! kernel when the thread that started it ends.
class ChildProcess {
 public:
  //! Appends standard output and standard error to `log`. Throws
  //! std::system_error when the process can't be started.
  ChildProcess(const std::vector<std::string>& command,
               const std::filesystem::path& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal) const;

  //! Sends SIGKILL and reaps the process.
  void Kill();

  //! Exit status, or 128 + signal; nullopt if it still runs after `timeout`.
  std::optional<int> WaitForExit(std::chrono::milliseconds timeout);

  bool Running();

 private:
  void Reap(int flags);

  pid_t pid_ = -1;
  std::optional<int> status_;
};

//! Whether this process has a child that has not been reaped.
bool HasChildren();

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_CHILD_PROCESS_H_
