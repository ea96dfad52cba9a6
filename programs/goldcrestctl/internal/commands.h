#ifndef GOLDCREST_CTL_COMMANDS_H_
#define GOLDCREST_CTL_COMMANDS_H_

#include <ostream>
#include <string>
#include <vector>

namespace goldcrest::ctl {

enum ExitCode : int {
  kExitOk = 0,
  kExitRefused = 1,
  kExitUsage = 2,
  kExitNoAnswer = 3,
};

//! Runs goldcrestctl with `arguments`, without the program's name.
int RunCommand(const std::vector<std::string>& arguments,
               std::ostream& out,
               std::ostream& err);

}  // namespace goldcrest::ctl

#endif  // GOLDCREST_CTL_COMMANDS_H_
