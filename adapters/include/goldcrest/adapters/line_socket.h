#ifndef GOLDCREST_ADAPTERS_LINE_SOCKET_H_
#define GOLDCREST_ADAPTERS_LINE_SOCKET_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
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
    //! One line without its line end; may contain any byte, a lone CR or LF
    //! included. May close the socket.
    std::function<void(std::string_view)> line;
    //! Called once, with the cause for logs, unless Close() was called.
    std::function<void(const std::string&)> closed;
    //! Optional. A part of a long line has arrived, or the peer has taken
    //! queued bytes.
    std::function<void()> buffers_changed = {};
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

  //! Sends bytes, and queues what the peer does not take at once. A peer that
  //! leaves more than kMaxQueuedBytes unread is disconnected.
  void Write(std::string_view bytes);

  //! Stops reading and passing on lines, or goes on. What has been read already
  //! is passed on from the event loop after SetReading(true).
  void SetReading(bool reading);
  bool IsReading() const { return reading_; }

  //! An accepted connection is closed when a line is not complete this long
  //! after its first byte, or after reading has gone on.
  void SetLineTimeout(std::chrono::milliseconds timeout) {
    line_timeout_ = timeout;
  }

  //! Bytes that were received but not passed on.
  std::size_t HeldInput() const { return partial_line_.size(); }
  //! Bytes that wait to be sent.
  std::size_t HeldOutput() const { return send_buffer_.size(); }

  //! A partial line of fewer bytes is not reported.
  static constexpr std::size_t kMinReportedBytes = std::size_t{4} << 10U;

  //! True if the peer has sent bytes that were not passed on as lines yet: a
  //! part of a line, or bytes that have not been read.
  bool HasUnreadInput();

  //! Closes after the peer has received the queued bytes, and has closed or
  //! `peer_close_timeout` has passed since; or when it has taken nothing for 4
  //! s. Reads nothing any more: if bytes of the peer cross with the close, it
  //! resets the connection, which tells the peer that they were not taken.
  void CloseAfterWrites(std::chrono::milliseconds peer_close_timeout);

  //! Closes at once; no hook is called any more.
  void Close();

  static constexpr std::size_t kMaxQueuedBytes = std::size_t{4} << 20U;

 private:
  //! Sets the socket options and starts to read.
  void OnConnected();
  void WaitForReadable();
  void OnReadable();
  //! Passes on the lines of the partial line and `bytes`, of which none ends
  //! within the first `searched` bytes.
  void DeliverLines(std::string_view bytes, std::size_t searched);
  void KeepPartialLine(std::string text, std::size_t begin);
  void ResumeReading();
  void AwaitLineEnd();
  void OnReadableWhileClosing();
  void Flush();
  void AwaitPeerClose();
  //! Bytes that are queued here or in the kernel.
  std::size_t UndeliveredOutput();
  void Fail(const std::string& cause);
  void PostFailure(std::string cause);
  void CloseAndClearHooks();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::size_t max_line_bytes_;
  Hooks hooks_;
  std::string partial_line_;           // received without its line end
  std::size_t undelivered_bytes_ = 0;  // after the line that is passed on now
  std::string send_buffer_;
  bool open_ = false;
  bool connected_ = false;
  bool write_pending_ = false;
  bool reading_ = true;
  bool read_wait_pending_ = false;
  bool may_hold_lines_ = false;  // partial_line_, since reading has stopped
  bool line_timer_armed_ = false;
  std::chrono::milliseconds line_timeout_{};
  std::chrono::steady_clock::time_point line_deadline_;  // of partial_line_
  // After CloseAfterWrites().
  bool closing_ = false;
  std::chrono::milliseconds peer_close_timeout_{};
  std::size_t undelivered_output_ = 0;  // at the last progress
  std::chrono::steady_clock::time_point progress_at_;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_LINE_SOCKET_H_
