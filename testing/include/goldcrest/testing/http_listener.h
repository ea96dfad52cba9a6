#ifndef GOLDCREST_TESTING_HTTP_LISTENER_H_
#define GOLDCREST_TESTING_HTTP_LISTENER_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace goldcrest::testing {

struct HttpRequest {
  std::uint64_t connection = 0;  //!< Id within the listener, from 1.
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

struct HttpReply {
  int status = 200;
  std::string body;
  bool close = false;  //!< Close the connection after the response.
  bool drop = false;   //!< Close the connection without a response.
};

//! HTTP server with one thread per connection.
class HttpListener {
 public:
  struct Options {
    std::string host;
    std::uint16_t port = 0;
    int max_connections = 0;  //!< Further connections are closed at once.
    std::chrono::milliseconds open_delay{0};  //!< Before serving a connection.
    std::chrono::milliseconds idle_timeout{0};  //!< Closes idle connections.
  };
  //! Called from the connection threads.
  struct Hooks {
    std::function<void(std::uint64_t connection)> on_open;
    std::function<HttpReply(const HttpRequest&)> on_request;
    std::function<void(std::uint64_t connection)> on_close;
  };

  //! Throws boost::system::system_error when it can't listen.
  HttpListener(Options options, Hooks hooks);
  //! Closes all connections and waits for their threads.
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  std::uint16_t port() const { return port_; }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void AcceptConnections();
  void ServeConnection(Socket socket, std::uint64_t connection);
  //! Reads one request and responds; returns false when the connection is to be
  //! closed.
  bool ServeRequest(Socket& socket, std::uint64_t connection);

  const Options options_;
  const Hooks hooks_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  std::condition_variable connection_closed_;
  bool stopping_ = false;
  std::map<std::uint64_t, int>
      open_sockets_;  // connection id to file descriptor
  std::uint64_t next_connection_ = 1;
  std::thread acceptor_thread_;
};

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_HTTP_LISTENER_H_
