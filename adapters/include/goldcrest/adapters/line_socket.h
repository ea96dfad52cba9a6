#ifndef GOLDCREST_ADAPTERS_LINE_SOCKET_H_
#define GOLDCREST_ADAPTERS_LINE_SOCKET_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "goldcrest/types/time.h"

namespace goldcrest::adapters {

//! A TCP connection that carries lines terminated by CR LF. Holds a read buffer
//! only while a line is received in part. Must be used only on the thread that
//! runs the io_context; hooks run there too.
class LineSocket : public std::enable_shared_from_this<LineSocket> {
 public:
  struct Hooks {
    //! One line without its end. May close the socket.
    std::function<void(std::string_view)> line;
    //! Called once, unless Close() was called. The cause, for logs.
    std::function<void(const std::string&)> closed;
  };

  LineSocket(boost::asio::io_context& context, std::size_t max_line_bytes);

  //! Takes over an accepted connection.
  void Accept(boost::asio::ip::tcp::socket socket, Hooks hooks);

  //! Connects and then writes `greeting`. Ends with the hook `closed` when
  //! there is no connection after `timeout`.
  void Connect(const std::string& host,
               std::uint16_t port,
               std::chrono::milliseconds timeout,
               std::string greeting,
               Hooks hooks);

  //! Queues bytes. A peer that leaves more than kMaxQueuedBytes unread is
  //! disconnected.
  void Write(std::string_view bytes);

  //! Closes after the queued bytes are written, and after the peer has closed
  //! or `linger` has passed, so that it gets them.
  void CloseAfterWrites(std::chrono::milliseconds linger);

  //! Closes at once; no hook is called any more.
  void Close();

  static constexpr std::size_t kMaxQueuedBytes = std::size_t{4} << 20U;

 private:
  void Start();
  void AwaitRead();
  void OnReadable();
  void Consume(std::string_view bytes);
  void Flush();
  void Fail(const std::string& cause);
  void FailLater(std::string cause);
  void Release();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::size_t max_line_bytes_;
  Hooks hooks_;
  std::string partial_;  // a line that has not ended
  std::string queued_;
  bool open_ = false;
  bool connected_ = false;
  bool writing_ = false;
  bool closing_ = false;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_LINE_SOCKET_H_
