#include "goldcrest/adapters/http_message.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <cstddef>

#include "goldcrest/adapters/json.h"
#include "goldcrest/types/digest.h"

namespace goldcrest::adapters {
namespace {

std::string DecodeQueryComponent(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+') {
      decoded.push_back(' ');
      continue;
    }
    const std::string decoded_byte = text[i] == '%' && i + 2 < text.size()
                                         ? FromHex(text.substr(i + 1, 2))
                                         : std::string();
    if (decoded_byte.empty()) {
      decoded.push_back(text[i]);
      continue;
    }
    decoded += decoded_byte;
    i += 2;
  }
  return decoded;
}

}  // namespace

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (boost::beast::iequals(key, name))
      return value;
  }
  return {};
}

std::string QueryParameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view parameter = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), parameter.size() + 1));
    const std::string_view key = parameter.substr(0, parameter.find('='));
    if (DecodeQueryComponent(key) != name)
      continue;
    return DecodeQueryComponent(
        parameter.substr(std::min(parameter.size(), key.size() + 1)));
  }
  return {};
}

std::string ResultBody(ResultCode code, std::string_view message) {
  const ResultCodeInfo& info = InfoOf(code);
  JsonWriter writer;
  writer.BeginObject()
      .BeginObject("result")
      .Member("code", ToNumber(code))
      .Member("name", info.name)
      .Member("outcome", ToString(info.outcome))
      .Member("message", message.empty() ? info.meaning : message)
      .EndObject()
      .EndObject();
  return writer.Take();
}

HttpResponse ResultResponse(ResultCode code, std::string_view message) {
  return {.status = InfoOf(code).http_status,
          .body = ResultBody(code, message)};
}

}  // namespace goldcrest::adapters
