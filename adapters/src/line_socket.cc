#include "goldcrest/adapters/line_socket.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <cerrno>
#include <utility>

namespace goldcrest::adapters {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// A lone CR or LF is data.
constexpr std::string_view kLineEnd = "\r\n";

constexpr std::size_t kReadBufferBytes = std::size_t{16} << 10U;

// Sent bytes or keepalive probes that stay unacknowledged for this long end the
// connection: the peer's host lost power or is unreachable.
constexpr std::chrono::milliseconds kUnacknowledgedTimeout{4'000};
constexpr int kKeepaliveIdleSeconds = 3;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kKeepaliveProbeCount = 3;

constexpr std::chrono::steady_clock::time_point kNoLine{};

void SetOption(tcp::socket& socket, int name, int value) {
  // Errors are ignored: without the option the socket works, but a lost peer is
  // detected later.
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value,
               sizeof(value));
}

}  // namespace

LineSocket::LineSocket(asio::io_context& context, std::size_t max_line_bytes)
    : socket_(context), timer_(context), max_line_bytes_(max_line_bytes) {}

void LineSocket::Accept(tcp::socket socket, Hooks hooks) {
  socket_ = std::move(socket);
  hooks_ = std::move(hooks);
  open_ = true;
  OnConnected();
}

void LineSocket::Connect(const std::string& host,
                         std::uint16_t port,
                         std::chrono::milliseconds timeout,
                         std::string greeting,
                         Hooks hooks) {
  hooks_ = std::move(hooks);
  send_buffer_ = std::move(greeting);
  open_ = true;
  error_code error;
  const auto address = asio::ip::make_address(host, error);
  if (error)
    return PostFailure("invalid address: " + error.message());
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this()](error_code canceled) {
    if (!canceled && !self->connected_)
      self->Fail("connect timeout");
  });
  socket_.async_connect(tcp::endpoint(address, port),
                        [self = shared_from_this()](error_code failed) {
                          if (!self->open_)
                            return;
                          if (failed)
                            return self->Fail(failed.message());
                          self->timer_.cancel();
                          self->OnConnected();
                          self->Flush();
                        });
}

void LineSocket::OnConnected() {
  connected_ = true;
  error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.set_option(asio::socket_base::keep_alive(true), ignored);
  SetOption(socket_, TCP_USER_TIMEOUT,
            static_cast<int>(kUnacknowledgedTimeout.count()));
  SetOption(socket_, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  SetOption(socket_, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  SetOption(socket_, TCP_KEEPCNT, kKeepaliveProbeCount);
  WaitForReadable();
}

void LineSocket::WaitForReadable() {
  read_wait_pending_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       self->read_wait_pending_ = false;
                       if (!self->open_)
                         return;
                       if (error)
                         return self->Fail(error.message());
                       self->OnReadable();
                     });
}

bool LineSocket::HasUnreadInput() {
  if (!partial_line_.empty() || undelivered_bytes_ > 0)
    return true;
  char byte = 0;
  return connected_ && open_ && !closing_ &&
         ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void LineSocket::OnReadableWhileClosing() {
  char byte = 0;
  const auto count =
      ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0)
    return;  // The timer closes the connection.
  if (count < 0 && (errno == EAGAIN || errno == EINTR))
    return WaitForReadable();
  Fail("closed by the peer");
}

void LineSocket::OnReadable() {
  if (closing_)
    return OnReadableWhileClosing();
  if (!reading_)
    return;
  // Shared by all sockets of the thread, since it holds no data between calls.
  thread_local std::array<char, kReadBufferBytes> buffer;
  error_code error;
  const std::size_t count = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block)
    return WaitForReadable();
  if (error)
    return Fail(error.message());
  const auto self = shared_from_this();
  // The line end may have been cut.
  const std::size_t searched =
      partial_line_.empty() || may_hold_lines_ ? 0 : partial_line_.size() - 1;
  DeliverLines({buffer.data(), count}, searched);
  if (open_ && reading_ && !read_wait_pending_)
    WaitForReadable();
}

void LineSocket::SetReading(bool reading) {
  if (reading_ == reading)
    return;
  reading_ = reading;
  if (!reading)
    return;
  if (!partial_line_.empty())
    line_deadline_ = std::chrono::steady_clock::now() + line_timeout_;
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->ResumeReading(); });
}

void LineSocket::ResumeReading() {
  if (!open_ || closing_ || !connected_ || !reading_)
    return;
  if (!partial_line_.empty())
    DeliverLines({}, 0);
  if (open_ && !closing_ && reading_ && !read_wait_pending_)
    WaitForReadable();
}

void LineSocket::DeliverLines(std::string_view bytes, std::size_t searched) {
  // Passes lines from a copy, since a hook may run the read of another socket,
  // which overwrites the shared buffer.
  std::string text = std::exchange(partial_line_, {});
  if (text.size() + bytes.size() > text.capacity() &&
      text.size() >= kReadBufferBytes) {
    // Grows once to the longest line instead of doubling: what is not used of
    // so large a block takes no memory.
    std::string grown;
    grown.reserve(max_line_bytes_ + kLineEnd.size() + kReadBufferBytes);
    grown.append(text);
    text = std::move(grown);
  }
  text.append(bytes);
  std::size_t begin = 0;
  bool line_ended = true;
  while (open_ && !closing_ && reading_) {
    const std::size_t end = text.find(kLineEnd, std::max(begin, searched));
    line_ended = end != std::string::npos;
    const std::size_t length = (line_ended ? end : text.size()) - begin;
    if (length > max_line_bytes_) {
      undelivered_bytes_ = 0;
      return Fail("a line is too long");
    }
    if (!line_ended)
      break;
    const std::string_view line(text.data() + begin, end - begin);
    begin = end + kLineEnd.size();
    undelivered_bytes_ = text.size() - begin;
    hooks_.line(line);
  }
  undelivered_bytes_ = 0;
  may_hold_lines_ = line_ended;
  if (open_)
    KeepPartialLine(std::move(text), begin);
}

void LineSocket::KeepPartialLine(std::string text, std::size_t begin) {
  const bool begun = begin > 0 || line_deadline_ == kNoLine;
  partial_line_ = begin > 0 ? text.substr(begin) : std::move(text);
  if (partial_line_.empty()) {
    line_deadline_ = kNoLine;
    return;
  }
  if (line_timeout_.count() > 0 && !closing_) {
    if (begun)
      line_deadline_ = std::chrono::steady_clock::now() + line_timeout_;
    if (!line_timer_armed_)
      AwaitLineEnd();
  }
  if (hooks_.buffers_changed && partial_line_.size() >= kMinReportedBytes)
    hooks_.buffers_changed();
}

void LineSocket::AwaitLineEnd() {
  line_timer_armed_ = true;
  timer_.expires_at(line_deadline_);
  timer_.async_wait([self = shared_from_this()](error_code canceled) {
    self->line_timer_armed_ = false;
    if (canceled || !self->open_ || self->closing_ ||
        self->partial_line_.empty())
      return;
    const auto now = std::chrono::steady_clock::now();
    if (!self->reading_)
      self->line_deadline_ = now + self->line_timeout_;
    if (now >= self->line_deadline_)
      return self->Fail("a line is not complete in time");
    self->AwaitLineEnd();
  });
}

void LineSocket::Write(std::string_view bytes) {
  if (!open_ || closing_)
    return;
  if (connected_ && !write_pending_ && send_buffer_.empty()) {
    error_code error;
    const std::size_t count = socket_.write_some(asio::buffer(bytes), error);
    if (error && error != asio::error::would_block)
      return PostFailure(error.message());
    bytes.remove_prefix(error ? 0 : count);
    if (bytes.empty())
      return;
  }
  send_buffer_.append(bytes);
  if (connected_ && !write_pending_)
    Flush();
  if (send_buffer_.size() > kMaxQueuedBytes)
    PostFailure("the peer does not read");
}

void LineSocket::Flush() {
  while (open_ && !send_buffer_.empty()) {
    error_code error;
    const std::size_t count =
        socket_.write_some(asio::buffer(send_buffer_), error);
    if (error == asio::error::would_block) {
      write_pending_ = true;
      socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](
                                                      error_code failed) {
        self->write_pending_ = false;
        if (!self->open_)
          return;
        if (failed)
          return self->Fail(failed.message());
        self->Flush();
        if (self->open_ && !self->closing_ && self->hooks_.buffers_changed)
          self->hooks_.buffers_changed();
      });
      return;
    }
    if (error)
      return PostFailure(error.message());
    send_buffer_.erase(0, count);
  }
  if (send_buffer_.empty())
    send_buffer_.shrink_to_fit();
  if (!open_ || !closing_ || !send_buffer_.empty())
    return;
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void LineSocket::CloseAfterWrites(
    std::chrono::milliseconds peer_close_timeout) {
  if (!open_ || closing_)
    return;
  closing_ = true;
  peer_close_timeout_ = peer_close_timeout;
  if (!write_pending_)
    Flush();
  if (!open_)
    return;
  // Sees the close of the peer.
  if (connected_ && !read_wait_pending_)
    WaitForReadable();
  undelivered_output_ = UndeliveredOutput();
  progress_at_ = std::chrono::steady_clock::now();
  AwaitPeerClose();
}

void LineSocket::AwaitPeerClose() {
  timer_.expires_after(peer_close_timeout_);
  timer_.async_wait([self = shared_from_this()](error_code canceled) {
    if (canceled || !self->open_)
      return;
    const std::size_t undelivered = self->UndeliveredOutput();
    const auto now = std::chrono::steady_clock::now();
    const bool progress = undelivered < self->undelivered_output_;
    if (progress)
      self->progress_at_ = now;
    self->undelivered_output_ = undelivered;
    const bool waits_for_peer =
        undelivered > 0 && now - self->progress_at_ < kUnacknowledgedTimeout;
    if (!progress && !waits_for_peer)
      return self->Close();
    self->AwaitPeerClose();
  });
}

std::size_t LineSocket::UndeliveredOutput() {
  int bytes = 0;
  // Where the kernel does not tell, only the queue counts.
  if (::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) != 0)
    bytes = 0;
  return send_buffer_.size() + static_cast<std::size_t>(std::max(bytes, 0));
}

void LineSocket::Fail(const std::string& cause) {
  if (!open_)
    return;
  const auto closed = hooks_.closed;
  CloseAndClearHooks();
  if (closed)
    closed(cause);
}

// Calls the hook from the event loop, since the hook may destroy objects that
// the caller still uses.
void LineSocket::PostFailure(std::string cause) {
  send_buffer_.clear();
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), cause = std::move(cause)] {
               self->Fail(cause);
             });
}

void LineSocket::Close() {
  if (open_)
    CloseAndClearHooks();
}

void LineSocket::CloseAndClearHooks() {
  open_ = false;
  timer_.cancel();
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  // The hooks may own this socket, so they are destroyed after the running hook
  // has returned.
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->hooks_ = {}; });
}

}  // namespace goldcrest::adapters
