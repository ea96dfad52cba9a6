#ifndef GOLDCREST_ADAPTERS_HTTP_MESSAGE_H_
#define GOLDCREST_ADAPTERS_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "goldcrest/types/result_code.h"

namespace goldcrest::adapters {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

//! The first value of header `name`, compared without regard to case; empty
//! when it is absent.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

//! The decoded value of parameter `name` in a query such as "a=1&b=x%20y";
//! empty when it is absent.
std::string QueryParameter(std::string_view query, std::string_view name);

//! A complete request, as received.
struct HttpRequest {
  std::string method;
  std::string path;   //!< Without the query, not decoded.
  std::string query;  //!< After the "?", not decoded.
  HttpHeaders headers;
  std::string body;
  std::uint64_t connection = 0;  //!< Unique within one HttpServer.
  std::string peer_address;      //!< IP number of the client.

  std::string_view Header(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  std::string content_type = "application/json";
  bool close = false;  //!< Close the connection after this response.
};

//! {"result":{"code":..,"name":..,"outcome":..,"message":..}}. An empty
//! `message` is replaced by the meaning listed with the code.
std::string ResultBody(ResultCode code, std::string_view message = {});

//! A response with the code's HTTP status and ResultBody().
HttpResponse ResultResponse(ResultCode code, std::string_view message = {});

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_HTTP_MESSAGE_H_
