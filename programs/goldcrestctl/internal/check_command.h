#ifndef GOLDCREST_CTL_CHECK_COMMAND_H_
#define GOLDCREST_CTL_CHECK_COMMAND_H_

#include <chrono>
#include <functional>
#include <optional>
#include <ostream>
#include <string>

#include "goldcrest/settings/daemon_settings.h"
#include "object_file.h"

namespace goldcrest::ctl {

struct CheckOptions {
  std::string file;
  std::string format;  //!< "text" or "json".
  // What is in force; at most one of them is given.
  std::optional<std::string> against_file;
  std::optional<settings::Address> against_server;
  std::chrono::milliseconds timeout{};
  //! The objects in force at a daemon. Without an answer, prints the error and
  //! returns nullopt.
  std::function<std::optional<ObjectFile>(const settings::Address&)>
      fetch_objects;
};

//! Checks a file before it is sent and prints the report. The kind of file
//! shows in its text: a JSON object is a document of the platform, TOML with
//! objects an object file, other TOML the settings of a daemon. Returns the
//! exit code: 0 clean, 1 warnings, 2 errors, 3 without an answer of the server.
int RunCheck(const CheckOptions& options, std::ostream& out, std::ostream& err);

}  // namespace goldcrest::ctl

#endif  // GOLDCREST_CTL_CHECK_COMMAND_H_
