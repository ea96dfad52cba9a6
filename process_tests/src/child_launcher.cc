#include <sys/prctl.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <string>

// Usage: goldcrest_child_launcher PARENT_PID PROGRAM [ARGUMENT...]
// Runs PROGRAM in this process, which is killed when its parent ends.
// posix_spawn can't set that itself.
int main(int argc, char** argv) {
  constexpr int failed = 127;
  if (argc < 3 || prctl(PR_SET_PDEATHSIG, SIGKILL) != 0)
    return failed;
  // A parent that ended before the call above sends no signal.
  if (std::to_string(getppid()) != argv[1])
    return failed;
  execv(argv[2], argv + 2);
  return failed;
}
