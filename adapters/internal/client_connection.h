#ifndef GOLDCREST_ADAPTERS_INTERNAL_CLIENT_CONNECTION_H_
#define GOLDCREST_ADAPTERS_INTERNAL_CLIENT_CONNECTION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "goldcrest/adapters/http_client.h"
#include "net.h"

namespace goldcrest::adapters {

//! One outgoing connection, for one call at a time. All members run on the
//! strand passed to the constructor.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  //! `reusable` is true when the connection may take another call.
  using DoneCallback = std::function<void(HttpResult result, bool reusable)>;

  ClientConnection(const Strand& strand,
                   std::uint64_t epoch,
                   std::size_t max_body_bytes);

  void Connect(const asio::ip::tcp::endpoint& address,
               std::chrono::milliseconds timeout,
               std::function<void(error_code)> done);

  //! False when the peer has closed the idle connection or sent something.
  bool IsUsable();

  //! Calls `on_broken` when the peer closes the connection or sends something
  //! while it is idle.
  void WatchIdle(std::function<void()> on_broken);

  void RunCall(HttpCall call, DoneCallback done);

  //! Ends a running call or a running Connect() with an error.
  void Close();

  std::uint64_t Epoch() const { return epoch_; }
  //! Calls that ended with a complete response.
  std::uint64_t AnsweredCalls() const { return answered_calls_; }
  SteadyClock::time_point LastReceived() const { return last_received_; }

 private:
  enum class State { kConnecting, kIdle, kWriting, kReading, kClosed };
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void OnWritten(error_code error, std::size_t size);
  void WaitForReadable();
  void OnReadable();
  void ParseResponse();
  void OnDeadline();
  void FailCall(HttpDelivery delivery, std::string error);
  void FinishCall(HttpResult result, bool reusable);

  Socket socket_;
  SteadyTimer timer_;
  const std::uint64_t epoch_;
  const std::size_t max_body_bytes_;
  State state_ = State::kConnecting;
  std::function<void(error_code)> on_connected_;
  std::function<void()> on_broken_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  DoneCallback on_done_;
  std::string close_cause_;
  std::uint64_t answered_calls_ = 0;
  std::uint64_t started_calls_ = 0;
  SteadyClock::time_point last_received_;
  bool wait_pending_ = false;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_INTERNAL_CLIENT_CONNECTION_H_
