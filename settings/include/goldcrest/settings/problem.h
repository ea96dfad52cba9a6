#ifndef GOLDCREST_SETTINGS_PROBLEM_H_
#define GOLDCREST_SETTINGS_PROBLEM_H_

#include <cstdint>
#include <string>

#include "goldcrest/types/result_code.h"

namespace goldcrest::settings {

//! One fault in a settings file.
struct Problem {
  std::string file;
  std::uint32_t line = 0;  //!< For a missing key, the line of its table.
  std::string key;         //!< Full name, such as entry.workers.
  ResultCode code = ResultCode::kSettingsUnreadable;
  std::string expected;
};

//! "file:line:key: expected ... (803 settings_out_of_range)"
std::string ToString(const Problem& problem);

}  // namespace goldcrest::settings

#endif  // GOLDCREST_SETTINGS_PROBLEM_H_
