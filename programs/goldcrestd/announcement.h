#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_ANNOUNCEMENT_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_ANNOUNCEMENT_H_

#include <optional>
#include <string>
#include <string_view>

#include "goldcrest/messages/messages.h"

namespace goldcrest {

//! Reads the body of POST /v1/announce; nullopt when it is not valid.
std::optional<messages::Announcement> ParseAnnouncement(
    const std::string& body);

//! True when `signature` is the hexadecimal HMAC-SHA256 of `body` under
//! `secret`. An empty secret signs nothing.
bool IsSigned(const std::string& secret,
              const std::string& body,
              std::string_view signature);

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_ANNOUNCEMENT_H_
