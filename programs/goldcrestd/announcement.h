#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_ANNOUNCEMENT_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_ANNOUNCEMENT_H_

#include <optional>
#include <string>
#include <string_view>

#include "goldcrest/messages/messages.h"

namespace goldcrest {

//! Parses the body of POST /v1/announce; nullopt if it is invalid.
std::optional<messages::Announcement> ParseAnnouncement(
    const std::string& body);

//! True if `signature` is the hexadecimal HMAC-SHA256 of `body` with the key
//! `secret`. Always false if `secret` is empty.
bool HasValidSignature(const std::string& secret,
                       const std::string& body,
                       std::string_view signature);

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_ANNOUNCEMENT_H_
