#ifndef GOLDCREST_SESSION_TOKEN_SEALER_H_
#define GOLDCREST_SESSION_TOKEN_SEALER_H_

#include <array>
#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "goldcrest/session/marks.h"

namespace goldcrest::session {

//! Why marks can't be sealed; the error object of TokenSealer::Seal().
enum class SealError : std::uint8_t {
  kTooManyGroups,
  kNameTooLong,
  kCryptoFailed,
};

//! Encrypts and authenticates session marks into tokens that callers can
//! neither read nor change (AES-256-GCM).
class TokenSealer {
 public:
  static constexpr std::size_t kSecretBytes = 32;
  static constexpr std::size_t kNonceBytes = 12;
  static constexpr std::size_t kMaxGroups = 64;
  static constexpr std::size_t kMaxNameBytes = 63;
  //! Upper bound of a token's length; HTTP header limits must allow for it.
  static constexpr std::size_t kMaxTokenBytes = 8192;

  using Secret = std::array<std::uint8_t, kSecretBytes>;
  using Nonce = std::span<const std::uint8_t, kNonceBytes>;

  //! Seals with `current` and opens with either secret, so that tokens remain
  //! valid after one rotation of the secret.
  explicit TokenSealer(const Secret& current,
                       const std::optional<Secret>& previous = std::nullopt);

  //! Takes 32 bytes (the current secret) or 64 bytes (the current secret, then
  //! the previous one). Returns nullopt for any other size.
  static std::optional<TokenSealer> FromBytes(std::string_view secrets);

  //! Returns URL-safe text. `nonce` must never repeat under one secret, on any
  //! instance: a repeated nonce breaks AES-GCM. On failure the error carries a
  //! SealError; marks are never dropped to make a token fit.
  boost::leaf::result<std::string> Seal(const Marks& marks, Nonce nonce) const;

  //! Returns nullopt unless the token is exactly one that was sealed with a
  //! secret of this sealer.
  std::optional<Marks> Open(std::string_view token) const;

 private:
  Secret current_;
  std::optional<Secret> previous_;
};

}  // namespace goldcrest::session

#endif  // GOLDCREST_SESSION_TOKEN_SEALER_H_
