#ifndef GOLDCREST_CTL_DOCUMENT_CHECK_H_
#define GOLDCREST_CTL_DOCUMENT_CHECK_H_

#include <chrono>
#include <optional>
#include <string>

#include "check_report.h"
#include "goldcrest/settings/daemon_settings.h"

namespace goldcrest::ctl {

//! Checks a document of the platform as the controllers do, and compares it
//! with the one in force if that is given.
CheckReport CheckDocument(const std::string& document,
                          const std::optional<std::string>& in_force);

//! The document in force at a controller, which may send the tool on to the
//! leader; nullopt when there is no answer within `timeout` or no document.
std::optional<std::string> FetchDocument(settings::Address server,
                                         std::chrono::milliseconds timeout);

}  // namespace goldcrest::ctl

#endif  // GOLDCREST_CTL_DOCUMENT_CHECK_H_
