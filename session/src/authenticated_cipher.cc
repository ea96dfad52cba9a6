#include "internal/authenticated_cipher.h"

#include <openssl/evp.h>

#include <cstdint>
#include <memory>

namespace goldcrest::session {
namespace {

struct ContextDeleter {
  void operator()(EVP_CIPHER_CTX* context) const {
    EVP_CIPHER_CTX_free(context);
  }
};

using Context = std::unique_ptr<EVP_CIPHER_CTX, ContextDeleter>;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

unsigned char* Bytes(std::string& text) {
  return reinterpret_cast<unsigned char*>(text.data());
}

int Size(std::string_view text) {
  return static_cast<int>(text.size());
}

}  // namespace

// Encrypt() and Decrypt() rely on the nonce having GCM's default size of 12
// bytes.
std::optional<std::string> Encrypt(const TokenSealer::Secret& secret,
                                   TokenSealer::Nonce nonce,
                                   std::string_view header,
                                   std::string_view plain) {
  const Context context(EVP_CIPHER_CTX_new());
  std::string sealed(plain.size(), '\0');
  std::string tag(kTagBytes, '\0');
  int size = 0;
  if (!context ||
      EVP_EncryptInit_ex(context.get(), EVP_aes_256_gcm(), nullptr,
                         secret.data(), nonce.data()) != 1 ||
      EVP_EncryptUpdate(context.get(), nullptr, &size, Bytes(header),
                        Size(header)) != 1 ||
      EVP_EncryptUpdate(context.get(), Bytes(sealed), &size, Bytes(plain),
                        Size(plain)) != 1 ||
      EVP_EncryptFinal_ex(context.get(), Bytes(tag), &size) != 1 ||
      EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_GCM_GET_TAG, kTagBytes,
                          tag.data()) != 1) {
    return std::nullopt;
  }
  return sealed + tag;
}

std::optional<std::string> Decrypt(const TokenSealer::Secret& secret,
                                   TokenSealer::Nonce nonce,
                                   std::string_view header,
                                   std::string_view sealed) {
  if (sealed.size() < kTagBytes)
    return std::nullopt;
  const std::string_view text = sealed.substr(0, sealed.size() - kTagBytes);
  std::string tag(sealed.substr(text.size()));
  const Context context(EVP_CIPHER_CTX_new());
  std::string plain(text.size(), '\0');
  int size = 0;
  if (!context ||
      EVP_DecryptInit_ex(context.get(), EVP_aes_256_gcm(), nullptr,
                         secret.data(), nonce.data()) != 1 ||
      EVP_DecryptUpdate(context.get(), nullptr, &size, Bytes(header),
                        Size(header)) != 1 ||
      EVP_DecryptUpdate(context.get(), Bytes(plain), &size, Bytes(text),
                        Size(text)) != 1 ||
      EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_GCM_SET_TAG, kTagBytes,
                          tag.data()) != 1) {
    return std::nullopt;
  }
  // The tag is verified here; until then the plaintext is not authenticated.
  std::uint8_t unused = 0;
  if (EVP_DecryptFinal_ex(context.get(), &unused, &size) != 1)
    return std::nullopt;
  return plain;
}

}  // namespace goldcrest::session
