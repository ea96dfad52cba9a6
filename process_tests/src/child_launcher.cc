#include <sys/prctl.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <string>

// Usage: goldcrest_child_launcher PARENT_PID PROGRAM [ARGUMENT...]
// Replaces itself with PROGRAM, which the kernel kills when the parent ends. A
// separate launcher is needed because posix_spawn can't set PR_SET_PDEATHSIG.
int main(int argc, char** argv) {
  constexpr int failed = 127;
  if (argc < 3 || prctl(PR_SET_PDEATHSIG, SIGKILL) != 0)
    return failed;
  // If the parent ended before the call to prctl, no signal is sent.
  if (std::to_string(getppid()) != argv[1])
    return failed;
  execv(argv[2], argv + 2);
  return failed;
}
