#include "goldcrest/types/digest.h"

#include <openssl/sha.h>

#include <cstddef>

namespace goldcrest {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

}  // namespace

std::string Sha256(std::string_view text) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         reinterpret_cast<unsigned char*>(digest.data()));
  return digest;
}

std::string ToHex(std::string_view bytes) {
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    hex.push_back(kHexDigits[byte >> 4U]);
    hex.push_back(kHexDigits[byte & 0xFU]);
  }
  return hex;
}

std::string FromHex(std::string_view hex) {
  if (hex.size() % 2 != 0)
    return {};
  std::string bytes;
  bytes.reserve(hex.size() / 2);
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    const std::size_t high = kHexDigits.find(hex[i]);
    const std::size_t low = kHexDigits.find(hex[i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos)
      return {};
    bytes.push_back(static_cast<char>(high * 16 + low));
  }
  return bytes;
}

}  // namespace goldcrest
