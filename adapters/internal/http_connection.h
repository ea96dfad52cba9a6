#ifndef GOLDCREST_ADAPTERS_INTERNAL_HTTP_CONNECTION_H_
#define GOLDCREST_ADAPTERS_INTERNAL_HTTP_CONNECTION_H_

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "goldcrest/adapters/http_server.h"
#include "memory_guard.h"
#include "net.h"

namespace goldcrest::adapters {

//! State shared by all connections of one server. Outlives them.
struct HttpServerShared {
  explicit HttpServerShared(std::size_t max_held_bytes)
      : memory(max_held_bytes) {}

  HttpServerOptions options;
  HttpServer::Handler handler;
  HttpServer::DisconnectHook on_disconnect;
  //! Removes a connection from the server's table.
  std::function<void(std::uint64_t connection)> remove_connection;
  MemoryGuard memory;
  std::atomic<bool> draining = false;
  std::atomic<std::size_t> requests_in_flight = 0;
};

//! One accepted connection. All members run on the socket's strand, except
//! those marked otherwise.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(std::uint64_t id,
                 Socket socket,
                 std::shared_ptr<HttpServerShared> shared);

  // From any thread.
  void Start();
  //! Sends an error response with `code` without reading a request, then
  //! closes.
  void Refuse(ResultCode code);
  void BeginDrain();
  void Abort();
  //! True, once, if the connection is between two requests.
  bool TakeIdle() { return idle_.exchange(false); }

 private:
  enum class State {
    kIdle,      // No byte of the next request has arrived.
    kReading,   // Part of a request has arrived.
    kHandling,  // The handler is processing the request.
    kWriting,
    kLingering,  // The response is written; received bytes are discarded.
    kClosed,
  };
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  class Responder;

  void BeginRequest();
  void WaitForReadable();
  void OnReadable();
  void ParseRequest();
  void SendContinue();
  void DispatchRequest();
  //! Writes the response to request `request_number`; ignored when that
  //! request has already ended.
  void OnResponse(std::uint64_t request_number, HttpResponse response);
  //! Sends an error response, then closes.
  void Reject(ResultCode code, std::string_view message);
  void WriteResponse(HttpResponse response);
  void OnWritten(error_code error);
  void Continue();
  void Linger();
  void SetDeadline(std::chrono::milliseconds timeout);
  void ArmTimer();
  void OnTimer();
  void OnDeadline();
  //! Tells the server what the connection holds.
  void RecordMemory();
  void ReportDisconnect();
  void EndRequest();
  void Close();

  const std::uint64_t id_;
  Socket socket_;
  SteadyTimer timer_;
  const std::shared_ptr<HttpServerShared> shared_;
  State state_ = State::kIdle;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  boost::beast::http::response<boost::beast::http::string_body> response_;
  std::string peer_address_;
  SteadyClock::time_point deadline_ = SteadyClock::time_point::max();
  SteadyClock::time_point timer_expiry_ = SteadyClock::time_point::max();
  std::uint64_t request_number_ = 0;  // of the current request
  bool wait_pending_ = false;
  bool header_done_ = false;
  bool continue_sent_ = false;
  bool received_eof_ = false;  // the client has stopped sending
  bool request_counted_ = false;
  bool disconnect_reported_ = false;
  bool close_after_write_ = false;
  bool memory_recorded_ = false;
  std::size_t handled_bytes_ = 0;  // body of the request that is handled
  std::atomic<bool> idle_ = false;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_INTERNAL_HTTP_CONNECTION_H_
