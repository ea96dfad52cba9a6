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

//! What came back from a daemon.
struct Reply {
  bool sent = false;  //!< The daemon may have got the request.
  int status = 0;     //!< HTTP status; 0 without a whole answer.
  int code = -1;      //!< Result code; -1 without a whole answer.
  std::string outcome;
  boost::json::object body;
  std::map<std::string, std::string> headers;

  std::string Text(std::string_view member) const;
  std::optional<std::int64_t> Number(std::string_view member) const;
  bool Done() const { return code == 0; }
};

//! A caller with one session and one keep-alive connection to each port.
class Caller {
 public:
  explicit Caller(std::string key) : key_(std::move(key)) {}

  Reply Post(std::uint16_t port,
             const std::string& path,
             const boost::json::object& body);

  //! Statements on the group "bookings". A write gets a request id of its own
  //! unless one is given.
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
  std::uint64_t requests_ = 0;
  std::map<std::uint16_t, std::unique_ptr<settings::HttpClient>> clients_;
};

Reply ToReply(const std::optional<settings::HttpAnswer>& answer, bool sent);

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_CALLER_H_
