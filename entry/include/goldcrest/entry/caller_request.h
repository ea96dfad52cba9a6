#ifndef GOLDCREST_ENTRY_CALLER_REQUEST_H_
#define GOLDCREST_ENTRY_CALLER_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "goldcrest/messages/messages.h"
#include "goldcrest/types/result_code.h"

namespace goldcrest::entry {

//! A parsed request of a caller. It holds a digest of the caller's key instead
//! of the key.
struct CallerRequest {
  std::uint64_t id = 0;  //!< Unique within the instance.
  messages::Operation::type operation = messages::Operation::READ;
  std::string key_digest;  //!< 32 bytes; empty: request without a key.
  std::string group;
  std::string statement;
  std::string request_id;
  bool idempotent = false;
  std::string transaction;
  std::string session_token;
  std::chrono::milliseconds timeout{0};
  //! Lowers the maximum age that the access rule sets; never raises it.
  std::optional<std::chrono::milliseconds> max_age;
};

struct CallerAnswer {
  std::uint64_t id = 0;
  ResultCode code = ResultCode::kOk;
  std::string value;
  std::string message;
  std::string session_token;  //!< Empty: the caller keeps its current token.
  std::string transaction;
  std::string served_by;
  //! Set if a retry after this time can succeed.
  std::optional<std::chrono::milliseconds> retry_after;
  std::string customer;  //!< For metrics; empty if unknown.
  std::string group;
};

}  // namespace goldcrest::entry

#endif  // GOLDCREST_ENTRY_CALLER_REQUEST_H_
