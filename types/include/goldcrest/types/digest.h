#ifndef GOLDCREST_TYPES_DIGEST_H_
#define GOLDCREST_TYPES_DIGEST_H_

#include <string>
#include <string_view>

namespace goldcrest {

//! SHA-256 of `text`: 32 bytes.
std::string Sha256(std::string_view text);

//! Lower-case hexadecimal form of `bytes`.
std::string ToHex(std::string_view bytes);

//! Bytes of a hexadecimal text; empty when `hex` is not valid hexadecimal.
std::string FromHex(std::string_view hex);

}  // namespace goldcrest

#endif  // GOLDCREST_TYPES_DIGEST_H_
