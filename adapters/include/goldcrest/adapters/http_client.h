#ifndef GOLDCREST_ADAPTERS_HTTP_CLIENT_H_
#define GOLDCREST_ADAPTERS_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "goldcrest/adapters/http_message.h"
#include "goldcrest/types/time.h"

namespace boost::asio {
class io_context;
}

namespace goldcrest::adapters {

struct HttpClientOptions {
  std::string host;  //!< IP number.
  std::uint16_t port = 0;
  std::size_t max_connections = 8;
  //! Calls and requests for a pinned connection that may wait for a
  //! connection.
  std::size_t max_waiting = 1'024;
  std::size_t max_body_bytes = 8 << 20;
  std::chrono::milliseconds connect_timeout{1'000};
  //! An idle connection is closed after this time.
  std::chrono::milliseconds idle_timeout{5'000};
};

struct HttpCall {
  std::string method = "POST";
  std::string path;  //!< With the query, if any.
  std::string body;  //!< JSON; no body and no content type when empty.
  HttpHeaders headers;
  Time deadline;  //!< On SystemClock.
};

//! What is known about a call when it ends.
enum class HttpDelivery {
  kAnswered,  //!< A complete response was received.
  kNotSent,   //!< No byte of the request was sent.
  kUnknown,   //!< Bytes may have been sent; no complete response was received.
};

struct HttpResult {
  HttpDelivery delivery = HttpDelivery::kNotSent;
  int status = 0;           //!< When kAnswered.
  std::string body;         //!< When kAnswered.
  std::string error;        //!< Otherwise: the cause, for logs.
  std::uint64_t epoch = 0;  //!< Connection number; 0: none used.
};

//! Called exactly once, on a worker thread; must not block.
using HttpCallback = std::function<void(HttpResult)>;

//! A connection taken out of the pool, for the calls of one transaction. Counts
//! towards the maximum until it is released or closed. Safe from any thread.
class PinnedConnection {
 public:
  //! Closes the connection unless it was released.
  virtual ~PinnedConnection() = default;

  //! Calls run one after another in the order of these calls. After a call that
  //! got no complete response the connection is closed, and later calls end
  //! with kNotSent.
  virtual void Call(HttpCall call, HttpCallback callback) = 0;

  //! Returns the connection to the pool; closes it if a call is running.
  virtual void Release() = 0;

  //! Closes the connection; a running call ends with kUnknown, or with kNotSent
  //! when none of its bytes was sent.
  virtual void Close() = 0;

  virtual std::uint64_t Epoch() const = 0;
};

//! Called with null and the cause when there is no connection by the deadline.
using PinnedCallback =
    std::function<void(std::shared_ptr<PinnedConnection>, std::string error)>;

//! HTTP/1.1 connection pool to one address. One call at a time uses a
//! connection. A timeout, a disconnect or unexpected bytes close it, so a late
//! response is never delivered to another call. Safe from any thread.
class HttpClient {
 public:
  HttpClient(boost::asio::io_context& context, HttpClientOptions options);
  //! Calls Close().
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Call(HttpCall call, HttpCallback callback);

  void OpenPinned(Time deadline, PinnedCallback callback);

  //! A lower maximum closes idle connections at once and others after their
  //! call.
  void SetMaxConnections(std::size_t maximum);

  //! Connections that are open or being opened.
  std::size_t OpenConnections() const;

  //! Ends all calls and closes all connections, pinned ones too. Calls made
  //! later end with kNotSent.
  void Close();

  class Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

using EndpointClient = HttpClient;

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_HTTP_CLIENT_H_
