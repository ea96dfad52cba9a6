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
                   std::string expected_peer)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      shared_(std::move(shared)),
      expected_peer_(std::move(expected_peer)),
      number_(shared_->next_link++) {}

void PeerLink::StartIncoming() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->closed_)
      return;
    self->started_at_ = SteadyClock::now();
    self->OnConnected();
    self->ArmTimer();
  });
}

void PeerLink::StartOutgoing(const asio::ip::tcp::endpoint& address) {
  asio::post(socket_.get_executor(), [self = shared_from_this(), address] {
    if (self->closed_)
      return;
    self->started_at_ = SteadyClock::now();
    self->ArmTimer();
    self->socket_.async_connect(address, [self](error_code error) {
      if (self->closed_)
        return;
      if (error) {
        self->CloseOnStrand(ResultCode::kOk,
                            "connect failed: " + error.message());
        return;
      }
      self->OnConnected();
      messages::PeerMessage hello;
      hello.__isset.hello = true;
      hello.hello.cluster = self->shared_->options.cluster;
      hello.hello.instance = self->shared_->options.self;
      hello.hello.version = kProtocolVersion;
      self->EnqueueMessage(hello);
    });
  });
}

void PeerLink::OnConnected() {
  connected_ = true;
  last_received_ = SteadyClock::now();
  error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  WaitForReadable();
}

bool PeerLink::Send(std::string frame) {
  const std::lock_guard lock(mutex_);
  if (!accepts_sends_)
    return false;
  const PeerTransportOptions& options = shared_->options;
  if (options.ordered &&
      queued_bytes_ + frame.size() > options.max_queued_bytes) {
    accepts_sends_ = false;
    Close("send queue is full");
    return false;
  }
  while (!queue_.empty() &&
         (queue_.size() >= options.max_queued_messages ||
          queued_bytes_ + frame.size() > options.max_queued_bytes)) {
    queued_bytes_ -= queue_.front().size();
    queue_.pop_front();
    ++shared_->dropped_messages;
  }
  EnqueueFrame(std::move(frame));
  return true;
}

std::size_t PeerLink::QueuedBytes() {
  const std::lock_guard lock(mutex_);
  return queued_bytes_;
}

// Requires mutex_.
void PeerLink::EnqueueFrame(std::string frame) {
  queued_bytes_ += frame.size();
  queue_.push_back(std::move(frame));
  if (std::exchange(flush_pending_, true))
    return;
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->Flush(); });
}

void PeerLink::EnqueueMessage(const messages::PeerMessage& message) {
  const std::lock_guard lock(mutex_);
  EnqueueFrame(ToFrame(message));
}

// Sends a ping or pong only if the queue is empty: queued messages prove
// liveness as well, and a peer that sends pings without reading must not fill
// the queue.
void PeerLink::SendIfQueueEmpty(const messages::PeerMessage& message) {
  const std::lock_guard lock(mutex_);
  if (queue_.empty())
    EnqueueFrame(ToFrame(message));
}

// flush_pending_ stays set during a write, so only one write runs at a time.
void PeerLink::Flush() {
  {
    const std::lock_guard lock(mutex_);
    frames_in_write_.clear();
    while (!queue_.empty() && frames_in_write_.size() < kMaxFramesPerWrite) {
      queued_bytes_ -= queue_.front().size();
      frames_in_write_.push_back(std::move(queue_.front()));
      queue_.pop_front();
    }
    if (frames_in_write_.empty() || closed_) {
      flush_pending_ = false;
      return;
    }
  }
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(frames_in_write_.size());
  for (const std::string& frame : frames_in_write_)
    buffers.push_back(asio::buffer(frame));
  asio::async_write(socket_, buffers,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      self->OnWritten(error);
                    });
}

void PeerLink::RecordMemory() {
  std::size_t bytes = receive_buffer_.size();
  for (const std::string& frame : frames_in_write_)
    bytes += frame.size();
  {
    const std::lock_guard lock(mutex_);
    bytes += queued_bytes_;
  }
  if (closed_ || bytes < MemoryAccount::kMinBytes)
    bytes = 0;
  if (bytes == 0 && !memory_recorded_)
    return;
  memory_recorded_ = bytes > 0;
  shared_->memory.Set(number_, bytes, [weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->Close("holds most memory");
  });
}

void PeerLink::OnWritten(error_code error) {
  if (closed_)
    return;
  if (error)
    CloseOnStrand(ResultCode::kOk, "write failed: " + error.message());
  else
    Flush();
}

void PeerLink::WaitForReadable() {
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
    WaitForReadable();
    return;
  }
  if (error) {
    CloseOnStrand(ResultCode::kOk, "closed by the peer: " + error.message());
    return;
  }
  last_received_ = SteadyClock::now();
  receive_buffer_.append(bytes.data(), size);
  ReadFrames();
  if (closed_)
    return;
  RecordMemory();
  WaitForReadable();
}

void PeerLink::ReadFrames() {
  std::size_t position = 0;
  while (!closed_ && receive_buffer_.size() - position >= kFrameLengthBytes) {
    const std::size_t length =
        boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(
            receive_buffer_.data() + position));
    const std::size_t limit =
        up_ ? shared_->options.max_frame_bytes : kMaxHelloBytes;
    if (length > limit) {
      CloseOnStrand(ResultCode::kBodyTooLarge,
                    "frame too large: " + std::to_string(length) + " bytes");
      return;
    }
    if (receive_buffer_.size() - position - kFrameLengthBytes < length)
      break;
    if (!OnFrame(std::string_view(receive_buffer_)
                     .substr(position + kFrameLengthBytes, length)))
      return;
    position += kFrameLengthBytes + length;
  }
  receive_buffer_.erase(0, position);
  // Releases the memory of a large frame, so that an idle link does not keep
  // it.
  if (receive_buffer_.empty())
    receive_buffer_.shrink_to_fit();
}

// Returns false if the link was closed.
bool PeerLink::OnFrame(std::string_view bytes) {
  auto message = messages::DecodePeerMessage(bytes);
  if (!message) {
    CloseOnStrand(ResultCode::kMalformedRequest, "undecodable frame");
    return false;
  }
  if (!up_)
    return OnHello(*message);
  if (message->__isset.hello) {
    CloseOnStrand(ResultCode::kMalformedRequest, "unexpected second hello");
    return false;
  }
  if (message->__isset.pong)
    return true;
  if (message->__isset.ping) {
    messages::PeerMessage pong;
    pong.__set_pong(message->ping);
    SendIfQueueEmpty(pong);
    return true;
  }
  shared_->on_message(peer_, std::move(*message));
  return true;
}

bool PeerLink::OnHello(const messages::PeerMessage& message) {
  const messages::Hello& hello = message.hello;
  const PeerTransportOptions& options = shared_->options;
  std::string mismatch;
  if (!message.__isset.hello)
    mismatch = "first frame is not a hello";
  else if (hello.cluster != options.cluster)
    mismatch = "cluster is " + hello.cluster;
  else if (hello.version != kProtocolVersion)
    mismatch = "protocol version is " + std::to_string(hello.version);
  else if (hello.instance.instance.empty() ||
           hello.instance.instance == options.self.instance)
    mismatch = "instance is " + hello.instance.instance;
  else if (IsOutgoing() && hello.instance.instance != expected_peer_)
    mismatch =
        "instance is " + hello.instance.instance + ", not " + expected_peer_;
  if (!mismatch.empty()) {
    CloseOnStrand(ResultCode::kIdentityMismatch, mismatch);
    return false;
  }
  peer_ = hello.instance.instance;
  if (!IsOutgoing()) {
    messages::PeerMessage reply;
    reply.__isset.hello = true;
    reply.hello.cluster = options.cluster;
    reply.hello.instance = options.self;
    reply.hello.version = kProtocolVersion;
    EnqueueMessage(reply);
  }
  {
    const std::lock_guard lock(mutex_);
    accepts_sends_ = true;
  }
  up_ = true;
  shared_->on_up(shared_from_this());
  return true;
}

void PeerLink::ArmTimer() {
  const auto now = SteadyClock::now();
  const auto silence_deadline =
      connected_ ? last_received_ + shared_->options.silence_timeout
                 : started_at_ + shared_->options.connect_timeout;
  const auto next_ping = now + shared_->options.ping_interval;
  timer_.expires_at(silence_deadline > now
                        ? std::min(silence_deadline, next_ping)
                        : next_ping);
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && !self->closed_)
      self->OnTimer();
  });
}

void PeerLink::OnTimer() {
  const auto now = SteadyClock::now();
  const auto timeout = shared_->options.silence_timeout;
  if (!connected_ && now - started_at_ >= shared_->options.connect_timeout) {
    CloseOnStrand(ResultCode::kOk, "connect timeout");
    return;
  }
  if (connected_ && now - last_received_ >= timeout) {
    // After a pause of this process, the socket may hold received bytes that
    // the reactor has not reported yet.
    error_code error;
    if (socket_.available(error) == 0) {
      CloseOnStrand(ResultCode::kOk, up_ ? "silent" : "no hello");
      return;
    }
  }
  RecordMemory();
  if (up_) {
    messages::PeerMessage ping;
    ping.__set_ping(ToMicros(SystemClock::Now()));
    SendIfQueueEmpty(ping);
  }
  ArmTimer();
}

void PeerLink::Close(std::string cause) {
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), cause = std::move(cause)] {
               self->CloseOnStrand(ResultCode::kOk, cause);
             });
}

void PeerLink::CloseOnStrand(ResultCode code, std::string cause) {
  if (std::exchange(closed_, true))
    return;
  close_cause_ = std::move(cause);
  {
    const std::lock_guard lock(mutex_);
    accepts_sends_ = false;
    shared_->dropped_messages += queue_.size();
    queue_.clear();
    queued_bytes_ = 0;
  }
  if (code != ResultCode::kOk) {
    error_code ignored;
    const auto remote = socket_.remote_endpoint(ignored);
    shared_->logger->Warning("peer_link_rejected", code,
                             {{"peer", peer_.empty() ? expected_peer_ : peer_},
                              {"address", remote.address().to_string()},
                              {"cause", close_cause_}});
  }
  RecordMemory();
  CloseSocket(socket_);
  timer_.cancel();
  shared_->on_closed(shared_from_this());
}

}  // namespace goldcrest::adapters
