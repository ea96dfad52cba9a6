#ifndef GOLDCREST_CTL_CHECK_REPORT_H_
#define GOLDCREST_CTL_CHECK_REPORT_H_

#include <string>
#include <vector>

namespace goldcrest::ctl {

struct Finding {
  std::string place;    //!< May be empty.
  std::string problem;  //!< Such as "is missing".
  std::string instead;  //!< What to write instead; empty if `problem` says it.
};

//! What `goldcrestctl check` reports.
struct CheckReport {
  std::vector<Finding> errors;       //!< The daemons refuse the file.
  std::vector<Finding> warnings;     //!< It has parts without effect.
  std::vector<std::string> changes;  //!< From what is in force.

  //! 0 clean, 1 with warnings, 2 with errors.
  int ExitCode() const;
};

std::string ToText(const CheckReport& report);
std::string ToJson(const CheckReport& report);

}  // namespace goldcrest::ctl

#endif  // GOLDCREST_CTL_CHECK_REPORT_H_
