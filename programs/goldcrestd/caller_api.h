#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_CALLER_API_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_CALLER_API_H_

#include <variant>

#include "goldcrest/adapters/http_message.h"
#include "goldcrest/entry/caller_request.h"

namespace goldcrest {

//! Reads a caller's HTTP request; the response is a refusal. The key is
//! replaced by its digest here and goes no further.
std::variant<entry::CallerRequest, adapters::HttpResponse> ParseCallerRequest(
    const adapters::HttpRequest& http);

adapters::HttpResponse ToHttp(const entry::CallerAnswer& answer);

//! The token of an "Authorization: Bearer TOKEN" header; empty without one.
std::string BearerToken(const adapters::HttpRequest& http);

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_CALLER_API_H_
