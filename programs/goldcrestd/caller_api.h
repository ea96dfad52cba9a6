#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_CALLER_API_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_CALLER_API_H_

#include <variant>

#include "goldcrest/adapters/http_message.h"
#include "goldcrest/entry/caller_request.h"

namespace goldcrest {

//! Parses a caller's HTTP request; returns the error response if it is invalid.
//! The result holds the SHA-256 digest of the caller's key, never the key.
std::variant<entry::CallerRequest, adapters::HttpResponse> ParseCallerRequest(
    const adapters::HttpRequest& http);

adapters::HttpResponse ToHttp(const entry::CallerAnswer& answer);

//! The token of the "Authorization: Bearer TOKEN" header; empty if the header
//! is missing or has another scheme.
std::string BearerToken(const adapters::HttpRequest& http);

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_CALLER_API_H_
