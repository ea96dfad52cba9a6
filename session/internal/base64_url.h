#ifndef GOLDCREST_SESSION_BASE64_URL_H_
#define GOLDCREST_SESSION_BASE64_URL_H_

#include <optional>
#include <string>
#include <string_view>

namespace goldcrest::session {

//! URL-safe Base64 without padding (RFC 4648, section 5).
std::string EncodeBase64Url(std::string_view bytes);

//! Returns nullopt unless `text` is exactly what EncodeBase64Url returns for
//! some bytes, so that no two texts decode to the same bytes.
std::optional<std::string> DecodeBase64Url(std::string_view text);

}  // namespace goldcrest::session

#endif  // GOLDCREST_SESSION_BASE64_URL_H_
