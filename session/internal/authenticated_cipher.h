#ifndef GOLDCREST_SESSION_AUTHENTICATED_CIPHER_H_
#define GOLDCREST_SESSION_AUTHENTICATED_CIPHER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "goldcrest/session/token_sealer.h"

namespace goldcrest::session {

inline constexpr std::size_t kTagBytes = 16;

//! Encrypts with AES-256-GCM. `header` is authenticated but not encrypted.
//! Returns the ciphertext followed by the tag; nullopt when OpenSSL fails.
std::optional<std::string> Encrypt(const TokenSealer::Secret& secret,
                                   TokenSealer::Nonce nonce,
                                   std::string_view header,
                                   std::string_view plain);

//! Returns the plaintext; nullopt unless the tag authenticates all inputs.
std::optional<std::string> Decrypt(const TokenSealer::Secret& secret,
                                   TokenSealer::Nonce nonce,
                                   std::string_view header,
                                   std::string_view sealed);

}  // namespace goldcrest::session

#endif  // GOLDCREST_SESSION_AUTHENTICATED_CIPHER_H_
