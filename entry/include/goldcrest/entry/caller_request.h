#ifndef GOLDCREST_ENTRY_CALLER_REQUEST_H_
#define GOLDCREST_ENTRY_CALLER_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "goldcrest/messages/messages.h"
#include "goldcrest/types/result_code.h"

namespace goldcrest::entry {

//! A caller's request after parsing. The key's text has been replaced by its
//! digest and is not kept.
struct CallerRequest {
  std::uint64_t id = 0;  //!< Unique within the instance.
  messages::Operation::type operation = messages::Operation::READ;
  std::string key_digest;  //!< 32 bytes; empty: no key shown.
  std::string group;
  std::string statement;
  std::string request_id;
  bool idempotent = false;
  std::string transaction;
  std::string session_token;
  std::chrono::milliseconds timeout{0};
  //! Tightens the bound of the access rule, never widens it.
  std::optional<std::chrono::milliseconds> max_age;
};

struct CallerAnswer {
  std::uint64_t id = 0;
  ResultCode code = ResultCode::kOk;
  std::string value;
  std::string message;
  std::string session_token;  //!< Empty: the caller keeps the one it has.
  std::string transaction;
  std::string served_by;
  //! Set where the request can succeed after that time.
  std::optional<std::chrono::milliseconds> retry_after;
  std::string customer;  //!< For counters; empty when unknown.
  std::string group;
};

}  // namespace goldcrest::entry

#endif  // GOLDCREST_ENTRY_CALLER_REQUEST_H_
