#ifndef GOLDCREST_ADAPTERS_HTTP_SERVER_H_
#define GOLDCREST_ADAPTERS_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

#include "goldcrest/adapters/http_message.h"

namespace boost::asio {
class io_context;
}

namespace goldcrest::adapters {

struct HttpServerOptions {
  std::string host = "127.0.0.1";  //!< IP number.
  std::uint16_t port = 0;          //!< 0: any free port.
  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_connections = 10'000;
  //! At max_connections, closes one that is between two requests to make room
  //! for the next one.
  bool replace_idle_connections = false;
  //! Maximum of open connections beyond max_connections, which only get the
  //! response that there are too many. Each uses a file descriptor.
  std::size_t max_refused_connections = 256;
  //! Of requests and responses that are held for all connections; beyond it,
  //! the connection that holds most is closed.
  std::size_t max_held_bytes = std::numeric_limits<std::size_t>::max();
  //! From the first byte of a request to the end of its header.
  std::chrono::milliseconds header_timeout{5'000};
  //! From the end of the header to the end of the body.
  std::chrono::milliseconds body_timeout{10'000};
  //! Between requests.
  std::chrono::milliseconds idle_timeout{60'000};
  //! For writing a response to the client.
  std::chrono::milliseconds write_timeout{10'000};
  //! How long a connection must have been idle to be closed in a drain.
  std::chrono::milliseconds drain_idle{500};
};

//! HTTP/1.1 server with keep-alive. Requests of one connection are handled one
//! after another, with responses in that order. Safe from any thread.
class HttpServer {
 public:
  //! Sends the response. May be called from any thread, after the handler has
  //! returned, and after the client has gone; calls after the first have no
  //! effect. When every copy is destroyed without a call, the response is
  //! kOutcomeUnknown. Must not outlive the io_context.
  using Respond = std::function<void(HttpResponse)>;
  //! Runs on a worker thread; must not block.
  using Handler = std::function<void(HttpRequest, Respond)>;
  //! Called once for each connection that ends: when it is closed or, before
  //! that, when the client stops sending. A client that has only stopped
  //! sending still gets its response.
  using DisconnectHook = std::function<void(std::uint64_t connection)>;

  //! Throws std::system_error when the address can't be bound.
  HttpServer(boost::asio::io_context& context,
             HttpServerOptions options,
             Handler handler,
             DisconnectHook on_disconnect = {});
  //! Calls Close(). Handlers may still run until the io_context is stopped.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  //! Begins to accept connections. The port is bound, and connections wait in
  //! the backlog, from construction on.
  void Start();

  std::uint16_t Port() const;

  //! Closes the listener. Connections that have been accepted continue.
  void StopAccepting();

  //! From now on responses carry "Connection: close", and idle connections are
  //! closed after `drain_idle`.
  void BeginDrain();

  //! Closes the listener and all connections at once, even during a request.
  void Close();

  std::size_t OpenConnections() const;

  //! Requests whose first byte has arrived and whose response has not been
  //! written.
  std::size_t RequestsInFlight() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_HTTP_SERVER_H_
