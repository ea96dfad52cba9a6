#include "internal/base64_url.h"

#include <openssl/evp.h>

#include <algorithm>
#include <cstddef>

namespace goldcrest::session {
namespace {

constexpr std::size_t kBlockBytes = 3;
constexpr std::size_t kBlockCharacters = 4;

}  // namespace

std::string EncodeBase64Url(std::string_view bytes) {
  const std::size_t blocks = (bytes.size() + kBlockBytes - 1) / kBlockBytes;
  // EVP_EncodeBlock adds a final zero byte.
  std::string text(blocks * kBlockCharacters + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  while (!text.empty() && text.back() == '=')
    text.pop_back();
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

std::optional<std::string> DecodeBase64Url(std::string_view text) {
  std::string padded(text);
  std::replace(padded.begin(), padded.end(), '-', '+');
  std::replace(padded.begin(), padded.end(), '_', '/');
  std::size_t padding = 0;
  while (padded.size() % kBlockCharacters != 0) {
    padded.push_back('=');
    ++padding;
  }
  std::string bytes(padded.size() / kBlockCharacters * kBlockBytes, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(padded.data()),
                      static_cast<int>(padded.size()));
  if (size < static_cast<int>(padding) || padding >= kBlockBytes)
    return std::nullopt;
  bytes.resize(static_cast<std::size_t>(size) - padding);
  // EVP_DecodeBlock skips blanks and ignores the unused low bits of the last
  // character. Encoding the result again detects such variants of a text.
  if (EncodeBase64Url(bytes) != text)
    return std::nullopt;
  return bytes;
}

}  // namespace goldcrest::session
