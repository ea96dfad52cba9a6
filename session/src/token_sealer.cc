#include "goldcrest/session/token_sealer.h"

#include <algorithm>
#include <boost/leaf/error.hpp>

#include "internal/authenticated_cipher.h"
#include "internal/base64_url.h"
#include "internal/mark_codec.h"

namespace goldcrest::session {
namespace {

// First byte of a token. It is authenticated as the header of the cipher.
constexpr std::string_view kTokenVersion("\x01", 1);

TokenSealer::Secret ToSecret(std::string_view bytes) {
  TokenSealer::Secret secret{};
  std::copy_n(bytes.begin(), secret.size(), secret.begin());
  return secret;
}

bool AreNamesWithinLimit(const Marks& marks) {
  return marks.customer.size() <= TokenSealer::kMaxNameBytes &&
         std::all_of(marks.groups.begin(), marks.groups.end(),
                     [](const auto& entry) {
                       return entry.first.size() <= TokenSealer::kMaxNameBytes;
                     });
}

}  // namespace

TokenSealer::TokenSealer(const Secret& current,
                         const std::optional<Secret>& previous)
    : current_(current), previous_(previous) {}

std::optional<TokenSealer> TokenSealer::FromBytes(std::string_view secrets) {
  if (secrets.size() == kSecretBytes)
    return TokenSealer(ToSecret(secrets));
  if (secrets.size() != 2 * kSecretBytes)
    return std::nullopt;
  return TokenSealer(ToSecret(secrets), ToSecret(secrets.substr(kSecretBytes)));
}

boost::leaf::result<std::string> TokenSealer::Seal(const Marks& marks,
                                                   Nonce nonce) const {
  if (marks.groups.size() > kMaxGroups)
    return boost::leaf::new_error(SealError::kTooManyGroups);
  if (!AreNamesWithinLimit(marks))
    return boost::leaf::new_error(SealError::kNameTooLong);
  const std::optional<std::string> sealed =
      Encrypt(current_, nonce, kTokenVersion, EncodeMarks(marks));
  if (!sealed)
    return boost::leaf::new_error(SealError::kCryptoFailed);
  std::string bytes(kTokenVersion);
  bytes.append(nonce.begin(), nonce.end());
  bytes.append(*sealed);
  return EncodeBase64Url(bytes);
}

std::optional<Marks> TokenSealer::Open(std::string_view token) const {
  if (token.size() > kMaxTokenBytes)
    return std::nullopt;
  const std::optional<std::string> bytes = DecodeBase64Url(token);
  if (!bytes ||
      bytes->size() < kTokenVersion.size() + kNonceBytes + kTagBytes ||
      !bytes->starts_with(kTokenVersion)) {
    return std::nullopt;
  }
  std::array<std::uint8_t, kNonceBytes> nonce{};
  std::copy_n(bytes->begin() + kTokenVersion.size(), nonce.size(),
              nonce.begin());
  const std::string_view sealed =
      std::string_view(*bytes).substr(kTokenVersion.size() + kNonceBytes);
  std::optional<std::string> plain =
      Decrypt(current_, nonce, kTokenVersion, sealed);
  if (!plain && previous_)
    plain = Decrypt(*previous_, nonce, kTokenVersion, sealed);
  if (!plain)
    return std::nullopt;
  return DecodeMarks(*plain);
}

}  // namespace goldcrest::session
