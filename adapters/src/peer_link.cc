#include "peer_link.h"

#include <algorithm>
#include <array>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <utility>

#include "goldcrest/adapters/system_clock.h"
#include "goldcrest/messages/codec.h"

namespace goldcrest::adapters {
namespace {

constexpr std::int32_t kProtocolVersion = 1;
constexpr std::size_t kFrameLengthBytes = 4;
constexpr std::size_t kReadBufferBytes = 64U << 10U;
// A Hello is small. The limit bounds the memory that a peer can occupy before
// it has sent a valid Hello.
constexpr std::size_t kMaxHelloBytes = 64U << 10U;
// Maximum frames per gathered write: enough to fill TCP segments, few enough to
// stay below the buffer limit of one system call.
constexpr std::size_t kMaxFramesPerWrite = 64;

}  // namespace

std::string ToFrame(const messages::PeerMessage& message) {
  const std::string bytes = messages::Encode(message);
  std::string frame(kFrameLengthBytes, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                               static_cast<std::uint32_t>(bytes.size()));
  return frame += bytes;
}

PeerLink::PeerLink(Socket socket,
                   std::shared_ptr<PeerLinkShared> shared,
                   std::string expected)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      shared_(std::move(shared)),
      expected_(std::move(expected)) {}

void PeerLink::StartIncoming() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->closed_)
      return;
    self->started_ = SteadyClock::now();
    self->Begin();
    self->Tick();
  });
}

void PeerLink::StartOutgoing(const asio::ip::tcp::endpoint& address) {
  asio::post(socket_.get_executor(), [self = shared_from_this(), address] {
    if (self->closed_)
      return;
    self->started_ = SteadyClock::now();
    self->Tick();
    self->socket_.async_connect(address, [self](error_code error) {
      if (self->closed_)
        return;
      if (error) {
        self->Shut(ResultCode::kOk, "connect failed: " + error.message());
        return;
      }
      self->Begin();
      messages::PeerMessage hello;
      hello.__isset.hello = true;
      hello.hello.cluster = self->shared_->options.cluster;
      hello.hello.instance = self->shared_->options.self;
      hello.hello.version = kProtocolVersion;
      self->SendNow(hello);
    });
  });
}

void PeerLink::Begin() {
  connected_ = true;
  last_received_ = SteadyClock::now();
  error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  Wait();
}

bool PeerLink::Send(std::string frame) {
  const std::lock_guard lock(mutex_);
  if (!accepts_sends_)
    return false;
  const PeerTransportOptions& options = shared_->options;
  while (!queue_.empty() &&
         (queue_.size() >= options.max_queued_messages ||
          queued_bytes_ + frame.size() > options.max_queued_bytes)) {
    queued_bytes_ -= queue_.front().size();
    queue_.pop_front();
    ++shared_->dropped;
  }
  Queue(std::move(frame));
  return true;
}

// Requires mutex_.
void PeerLink::Queue(std::string frame) {
  queued_bytes_ += frame.size();
  queue_.push_back(std::move(frame));
  if (std::exchange(flush_pending_, true))
    return;
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->Flush(); });
}

void PeerLink::SendNow(const messages::PeerMessage& message) {
  const std::lock_guard lock(mutex_);
  Queue(ToFrame(message));
}

// Sends a ping or pong only if the queue is empty: queued messages prove
// liveness as well, and a peer that sends pings without reading must not fill
// the queue.
void PeerLink::SendWhenIdle(const messages::PeerMessage& message) {
  const std::lock_guard lock(mutex_);
  if (queue_.empty())
    Queue(ToFrame(message));
}

// flush_pending_ stays set during a write, so only one write runs at a time.
void PeerLink::Flush() {
  {
    const std::lock_guard lock(mutex_);
    writing_.clear();
    while (!queue_.empty() && writing_.size() < kMaxFramesPerWrite) {
      queued_bytes_ -= queue_.front().size();
      writing_.push_back(std::move(queue_.front()));
      queue_.pop_front();
    }
    if (writing_.empty() || closed_) {
      flush_pending_ = false;
      return;
    }
  }
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(writing_.size());
  for (const std::string& frame : writing_)
    buffers.push_back(asio::buffer(frame));
  asio::async_write(socket_, buffers,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      self->OnWritten(error);
                    });
}

void PeerLink::OnWritten(error_code error) {
  if (closed_)
    return;
  if (error)
    Shut(ResultCode::kOk, "write failed: " + error.message());
  else
    Flush();
}

void PeerLink::Wait() {
  socket_.async_wait(Socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       if (!error && !self->closed_)
                         self->OnReadable();
                     });
}

void PeerLink::OnReadable() {
  std::array<char, kReadBufferBytes> bytes;
  error_code error;
  const std::size_t size = socket_.read_some(asio::buffer(bytes), error);
  if (error == asio::error::would_block) {
    Wait();
    return;
  }
  if (error) {
    Shut(ResultCode::kOk, "closed by the peer: " + error.message());
    return;
  }
  last_received_ = SteadyClock::now();
  received_.append(bytes.data(), size);
  ReadFrames();
  if (!closed_)
    Wait();
}

void PeerLink::ReadFrames() {
  std::size_t position = 0;
  while (!closed_ && received_.size() - position >= kFrameLengthBytes) {
    const std::size_t length = boost::endian::load_big_u32(
        reinterpret_cast<const unsigned char*>(received_.data() + position));
    const std::size_t limit =
        up_ ? shared_->options.max_frame_bytes : kMaxHelloBytes;
    if (length > limit) {
      Shut(ResultCode::kBodyTooLarge,
           "frame of " + std::to_string(length) + " bytes");
      return;
    }
    if (received_.size() - position - kFrameLengthBytes < length)
      break;
    if (!OnFrame(std::string_view(received_).substr(
            position + kFrameLengthBytes, length)))
      return;
    position += kFrameLengthBytes + length;
  }
  received_.erase(0, position);
  // Releases the memory of a large frame, so that an idle link does not keep
  // it.
  if (received_.empty())
    received_.shrink_to_fit();
}

// Returns false if the link was closed.
bool PeerLink::OnFrame(std::string_view bytes) {
  auto message = messages::DecodePeerMessage(bytes);
  if (!message) {
    Shut(ResultCode::kMalformedRequest, "undecodable frame");
    return false;
  }
  if (!up_)
    return OnHello(*message);
  if (message->__isset.hello) {
    Shut(ResultCode::kMalformedRequest, "second hello");
    return false;
  }
  if (message->__isset.pong)
    return true;
  if (message->__isset.ping) {
    messages::PeerMessage pong;
    pong.__set_pong(message->ping);
    SendWhenIdle(pong);
    return true;
  }
  shared_->on_message(peer_, std::move(*message));
  return true;
}

bool PeerLink::OnHello(const messages::PeerMessage& message) {
  const messages::Hello& hello = message.hello;
  const PeerTransportOptions& options = shared_->options;
  std::string fault;
  if (!message.__isset.hello)
    fault = "first frame is no hello";
  else if (hello.cluster != options.cluster)
    fault = "cluster is " + hello.cluster;
  else if (hello.version != kProtocolVersion)
    fault = "protocol version is " + std::to_string(hello.version);
  else if (hello.instance.instance.empty() ||
           hello.instance.instance == options.self.instance)
    fault = "instance is " + hello.instance.instance;
  else if (IsOutgoing() && hello.instance.instance != expected_)
    fault = "instance is " + hello.instance.instance + ", not " + expected_;
  if (!fault.empty()) {
    Shut(ResultCode::kIdentityMismatch, fault);
    return false;
  }
  peer_ = hello.instance.instance;
  if (!IsOutgoing()) {
    messages::PeerMessage answer;
    answer.__isset.hello = true;
    answer.hello.cluster = options.cluster;
    answer.hello.instance = options.self;
    answer.hello.version = kProtocolVersion;
    SendNow(answer);
  }
  {
    const std::lock_guard lock(mutex_);
    accepts_sends_ = true;
  }
  up_ = true;
  shared_->on_up(shared_from_this());
  return true;
}

void PeerLink::Tick() {
  const auto now = SteadyClock::now();
  const auto silent = up_ ? last_received_ + shared_->options.silence_timeout
                          : started_ + shared_->options.hello_timeout;
  const auto ping = now + shared_->options.ping_interval;
  timer_.expires_at(silent > now ? std::min(silent, ping) : ping);
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && !self->closed_)
      self->OnTick();
  });
}

void PeerLink::OnTick() {
  const auto now = SteadyClock::now();
  const auto timeout = shared_->options.silence_timeout;
  if (!up_ && now - started_ >= shared_->options.hello_timeout) {
    Shut(ResultCode::kOk, "no hello in time");
    return;
  }
  if (up_ && now - last_received_ >= timeout) {
    // After a pause of this process, the socket may hold received bytes that
    // the reactor has not reported yet.
    error_code error;
    if (socket_.available(error) == 0) {
      Shut(ResultCode::kOk, "silent");
      return;
    }
  }
  if (up_) {
    messages::PeerMessage ping;
    ping.__set_ping(ToMicros(SystemClock::Now()));
    SendWhenIdle(ping);
  }
  Tick();
}

void PeerLink::Close(std::string cause) {
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), cause = std::move(cause)] {
               self->Shut(ResultCode::kOk, cause);
             });
}

void PeerLink::Shut(ResultCode code, std::string cause) {
  if (std::exchange(closed_, true))
    return;
  close_cause_ = std::move(cause);
  {
    const std::lock_guard lock(mutex_);
    accepts_sends_ = false;
    shared_->dropped += queue_.size();
    queue_.clear();
    queued_bytes_ = 0;
  }
  if (code != ResultCode::kOk) {
    error_code ignored;
    const auto remote = socket_.remote_endpoint(ignored);
    shared_->logger->Warning("peer_link_rejected", code,
                             {{"peer", peer_.empty() ? expected_ : peer_},
                              {"address", remote.address().to_string()},
                              {"cause", close_cause_}});
  }
  CloseSocket(socket_);
  timer_.cancel();
  shared_->on_closed(shared_from_this());
}

}  // namespace goldcrest::adapters
