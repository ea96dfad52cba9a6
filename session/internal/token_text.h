#ifndef GOLDCREST_SESSION_TOKEN_TEXT_H_
#define GOLDCREST_SESSION_TOKEN_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

namespace goldcrest::session {

//! URL-safe Base64 without padding (RFC 4648, section 5).
std::string ToTokenText(std::string_view bytes);

//! nullopt unless `text` is exactly what ToTokenText gives for some bytes, so
//! that no two texts stand for the same bytes.
std::optional<std::string> FromTokenText(std::string_view text);

}  // namespace goldcrest::session

#endif  // GOLDCREST_SESSION_TOKEN_TEXT_H_
