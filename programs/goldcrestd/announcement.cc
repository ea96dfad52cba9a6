#include "programs/goldcrestd/announcement.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

#include "goldcrest/adapters/json.h"
#include "goldcrest/types/digest.h"

namespace goldcrest {
namespace {

using adapters::JsonObject;

constexpr std::size_t kMaxNameBytes = 63;

std::string HexHmac(const std::string& secret, const std::string& body) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(body.data()), body.size(),
       digest.data(), &size);
  return ToHex({reinterpret_cast<const char*>(digest.data()), size});
}

}  // namespace

std::optional<messages::Announcement> ParseAnnouncement(
    const std::string& body) {
  JsonObject json = JsonObject::Parse(body);
  messages::Announcement announcement;
  announcement.sequence = json.RequiredInteger("sequence", 0, INT64_MAX);
  announcement.term = json.OptionalInteger("term", 0, INT64_MAX).value_or(0);
  announcement.position =
      json.OptionalInteger("position", 0, INT64_MAX).value_or(0);
  auto info = json.OptionalObject("info");
  if (!info)
    return std::nullopt;
  messages::EndpointInfo& endpoint = announcement.info;
  endpoint.endpoint = info->RequiredString("endpoint", kMaxNameBytes);
  endpoint.group = info->RequiredString("group", kMaxNameBytes);
  endpoint.zone = info->RequiredString("zone", kMaxNameBytes);
  endpoint.host = info->RequiredString("host", kMaxNameBytes);
  endpoint.port =
      static_cast<std::int32_t>(info->RequiredInteger("port", 1, 65'535));
  endpoint.slots =
      static_cast<std::int32_t>(info->RequiredInteger("slots", 1, 10'000));
  endpoint.connections = static_cast<std::int32_t>(
      info->RequiredInteger("connections", 1, 100'000));
  endpoint.incarnation = info->RequiredInteger("incarnation", 0, INT64_MAX);
  endpoint.leaving = info->OptionalBool("leaving").value_or(false);
  if (!json.Finish(adapters::UnknownFields::kIgnore).empty())
    return std::nullopt;
  return announcement;
}

bool HasValidSignature(const std::string& secret,
                       const std::string& body,
                       std::string_view signature) {
  const std::string expected = HexHmac(secret, body);
  return !secret.empty() && signature.size() == expected.size() &&
         CRYPTO_memcmp(signature.data(), expected.data(), expected.size()) == 0;
}

}  // namespace goldcrest
