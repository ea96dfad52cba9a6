#ifndef GOLDCREST_POLICY_PROBLEM_H_
#define GOLDCREST_POLICY_PROBLEM_H_

#include <string>

#include "goldcrest/types/result_code.h"

namespace goldcrest::policy {

//! The reason for which a change is refused.
struct Problem {
  ResultCode code = ResultCode::kInvalidObject;
  std::string message;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_PROBLEM_H_
