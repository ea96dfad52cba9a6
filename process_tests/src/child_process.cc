#include "child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

#include "wait.h"

namespace goldcrest::process_tests {
namespace {

// Shells report the exit status of a process that a signal ended the same way.
constexpr int kSignalStatusBase = 128;

int ToExitStatus(int wait_status) {
  return WIFEXITED(wait_status) ? WEXITSTATUS(wait_status)
                                : kSignalStatusBase + WTERMSIG(wait_status);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::filesystem::path& log) {
  std::vector<std::string> full_command = {GOLDCREST_LAUNCHER,
                                           std::to_string(getpid())};
  full_command.insert(full_command.end(), command.begin(), command.end());
  std::vector<char*> arguments;
  arguments.reserve(full_command.size() + 1);
  for (std::string& argument : full_command)
    arguments.push_back(argument.data());
  arguments.push_back(nullptr);

  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int mode = 0600;
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, mode);
  posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  const int error = posix_spawn(&pid_, arguments[0], &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0)
    throw std::system_error(error, std::generic_category(), command.front());
}

ChildProcess::~ChildProcess() {
  Kill();
}

void ChildProcess::Signal(int signal) const {
  // The kernel may have reused the id of a reaped process.
  if (!status_)
    kill(pid_, signal);
}

void ChildProcess::Kill() {
  Signal(SIGKILL);
  Reap(0);
}

std::optional<int> ChildProcess::WaitForExit(
    std::chrono::milliseconds timeout) {
  WaitUntil(timeout, [this] { return !IsRunning(); });
  return status_;
}

bool ChildProcess::IsRunning() {
  Reap(WNOHANG);
  return !status_;
}

void ChildProcess::Reap(int flags) {
  int wait_status = 0;
  while (!status_) {
    const pid_t reaped = waitpid(pid_, &wait_status, flags);
    if (reaped == pid_)
      status_ = ToExitStatus(wait_status);
    else if (reaped == 0 || errno != EINTR)
      return;
  }
}

bool HasUnreapedChildren() {
  siginfo_t info = {};
  return waitid(P_ALL, 0, &info, WEXITED | WNOHANG | WNOWAIT) == 0;
}

}  // namespace goldcrest::process_tests
