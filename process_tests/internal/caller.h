#ifndef GOLDCREST_PROCESS_TESTS_CALLER_H_
#define GOLDCREST_PROCESS_TESTS_CALLER_H_

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "goldcrest/settings/http_client.h"

namespace goldcrest::process_tests {

//! Reply of a daemon to an HTTP request.
struct Reply {
  bool sent = false;  //!< Whether the daemon may have received the request.
  int status = 0;     //!< HTTP status; 0 without a complete response.
  int code = -1;      //!< Result code; -1 without a complete response.
  std::string outcome;
  boost::json::object body;
  std::map<std::string, std::string> headers;

  //! String member of the body; empty if there is none.
  std::string Text(std::string_view member) const;
  std::optional<std::int64_t> Number(std::string_view member) const;
  //! Whether the result code is 0.
  bool Succeeded() const { return code == 0; }
};

//! Client of the caller ports, with one session and one keep-alive connection
//! per port.
class Caller {
 public:
  explicit Caller(std::string key) : key_(std::move(key)) {}

  Reply Post(std::uint16_t port,
             const std::string& path,
             const boost::json::object& body);

  //! The following functions send statements to the group "bookings". A write
  //! outside a transaction gets a new request id if `request_id` is empty.
  Reply Write(std::uint16_t port,
              const std::string& statement,
              const std::string& request_id = "",
              const std::string& transaction = "");
  Reply Read(std::uint16_t port,
             const std::string& key,
             const std::string& transaction = "");
  Reply Begin(std::uint16_t port);
  Reply Commit(std::uint16_t port, const std::string& transaction);
  Reply Rollback(std::uint16_t port, const std::string& transaction);

  const std::string& session() const { return session_; }

 private:
  std::string NextRequestId();

  std::string key_;
  std::string session_;
  std::uint64_t last_request_number_ = 0;
  std::map<std::uint16_t, std::unique_ptr<settings::HttpClient>> clients_;
};

//! Reads the body of `answer` as JSON; `sent` is copied to the reply.
Reply ParseReply(const std::optional<settings::HttpAnswer>& answer, bool sent);

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_CALLER_H_
