#ifndef GOLDCREST_SETTINGS_HTTP_CLIENT_H_
#define GOLDCREST_SETTINGS_HTTP_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace goldcrest::settings {

struct HttpCall {
  std::string method = "GET";
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;
};

struct HttpAnswer {
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;  //!< Names in lower case.
};

//! Blocking HTTP/1.1 client with one connection to one server. Used where no
//! event loop runs: the operator's tool and the stand-in database.
class HttpClient {
 public:
  HttpClient(std::string host, std::uint16_t port);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  //! Opens the connection if there is none. Returns nullopt when no complete
  //! answer arrives within `timeout`, and closes the connection, so that a late
  //! answer is not taken for the answer to the next call.
  std::optional<HttpAnswer> Call(const HttpCall& call,
                                 std::chrono::milliseconds timeout);

  void Close();

  //! Whether the last call had a connection: the server may then have received
  //! the request even if no answer arrived.
  bool last_call_sent() const { return last_call_sent_; }

 private:
  class Connection;

  std::string host_;
  std::uint16_t port_;
  std::unique_ptr<Connection> connection_;
  bool last_call_sent_ = false;
};

}  // namespace goldcrest::settings

#endif  // GOLDCREST_SETTINGS_HTTP_CLIENT_H_
