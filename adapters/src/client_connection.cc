#include "client_connection.h"

#include <boost/beast/http/write.hpp>
#include <utility>

#include "goldcrest/adapters/system_clock.h"

namespace goldcrest::adapters {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kReadBufferBytes = 16U << 10U;

}  // namespace

ClientConnection::ClientConnection(const Strand& strand,
                                   std::uint64_t epoch,
                                   std::size_t max_body_bytes)
    : socket_(strand),
      timer_(strand),
      epoch_(epoch),
      max_body_bytes_(max_body_bytes) {}

void ClientConnection::Connect(const asio::ip::tcp::endpoint& address,
                               std::chrono::milliseconds timeout,
                               std::function<void(error_code)> done) {
  on_connected_ = std::move(done);
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && self->state_ == State::kConnecting)
      self->Close();
  });
  socket_.async_connect(address, [self = shared_from_this()](error_code error) {
    self->timer_.cancel();
    if (self->state_ == State::kClosed && !error)
      error = asio::error::timed_out;
    if (!error) {
      self->state_ = State::kIdle;
      self->last_received_ = SteadyClock::now();
      self->socket_.non_blocking(true, error);
      error_code ignored;
      self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    if (error)
      self->Close();
    std::exchange(self->on_connected_, nullptr)(error);
  });
}

bool ClientConnection::IsUsable() {
  if (state_ != State::kIdle)
    return false;
  char byte = 0;
  error_code error;
  socket_.receive(asio::buffer(&byte, 1), Socket::message_peek, error);
  return error == asio::error::would_block;
}

void ClientConnection::WatchIdle(std::function<void()> on_broken) {
  on_broken_ = std::move(on_broken);
  WaitForReadable();
}

void ClientConnection::RunCall(HttpCall call, DoneCallback done) {
  state_ = State::kWriting;
  on_done_ = std::move(done);
  const std::uint64_t number = ++started_calls_;
  error_code error;
  const auto peer = socket_.remote_endpoint(error);
  request_ = {};
  request_.version(11);
  request_.method_string(call.method);
  request_.target(call.path);
  request_.set(http::field::host,
               peer.address().to_string() + ":" + std::to_string(peer.port()));
  if (!call.body.empty())
    request_.set(http::field::content_type, "application/json");
  for (const auto& [name, value] : call.headers)
    request_.insert(name, value);
  request_.body() = std::move(call.body);
  request_.prepare_payload();
  parser_.emplace();
  parser_->body_limit(max_body_bytes_);
  buffer_.clear();
  timer_.expires_at(SystemClock::ToSteady(call.deadline));
  timer_.async_wait([self = shared_from_this(), number](error_code cancelled) {
    // A completed wait can't be cancelled. The call number detects a handler of
    // an earlier call.
    if (!cancelled && number == self->started_calls_)
      self->OnDeadline();
  });
  http::async_write(
      socket_, request_,
      [self = shared_from_this()](error_code write_error, std::size_t size) {
        self->OnWritten(write_error, size);
      });
}

void ClientConnection::OnWritten(error_code error, std::size_t size) {
  // A failed or cancelled write reports how many bytes the kernel accepted. The
  // request was not sent only if that number is 0.
  if (!error && state_ == State::kWriting) {
    state_ = State::kReading;
    WaitForReadable();
    return;
  }
  if (!on_done_)
    return;
  const std::string cause =
      close_cause_.empty() ? "write failed: " + error.message() : close_cause_;
  FailCall(size == 0 ? HttpDelivery::kNotSent : HttpDelivery::kUnknown, cause);
}

void ClientConnection::WaitForReadable() {
  if (wait_pending_)
    return;
  wait_pending_ = true;
  socket_.async_wait(Socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       self->wait_pending_ = false;
                       if (!error)
                         self->OnReadable();
                     });
}

void ClientConnection::OnReadable() {
  if (state_ == State::kIdle) {
    if (IsUsable())
      WaitForReadable();
    else if (on_broken_)
      on_broken_();
    return;
  }
  if (state_ != State::kReading)
    return;
  error_code error;
  buffer_.commit(socket_.read_some(buffer_.prepare(kReadBufferBytes), error));
  if (error == asio::error::would_block) {
    WaitForReadable();
    return;
  }
  if (error) {
    FailCall(HttpDelivery::kUnknown, "incomplete response: " + error.message());
    return;
  }
  last_received_ = SteadyClock::now();
  ParseResponse();
}

void ClientConnection::ParseResponse() {
  error_code error;
  while (buffer_.size() > 0 && !parser_->is_done()) {
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error == http::error::need_more)
      break;
    if (error) {
      FailCall(HttpDelivery::kUnknown, "invalid response: " + error.message());
      return;
    }
  }
  if (!parser_->is_done()) {
    WaitForReadable();
    return;
  }
  if (parser_->get().result_int() < 200) {
    FailCall(HttpDelivery::kUnknown, "unexpected interim response");
    return;
  }
  const bool reusable = parser_->keep_alive() && buffer_.size() == 0;
  auto message = parser_->release();
  ++answered_calls_;
  FinishCall({.delivery = HttpDelivery::kAnswered,
              .status = static_cast<int>(message.result_int()),
              .body = std::move(message.body())},
             reusable);
}

void ClientConnection::OnDeadline() {
  if (state_ != State::kWriting && state_ != State::kReading)
    return;
  close_cause_ = "deadline";
  Close();
}

void ClientConnection::Close() {
  const State state = std::exchange(state_, State::kClosed);
  if (state == State::kClosed)
    return;
  if (close_cause_.empty())
    close_cause_ = "closed";
  // During a write, its completion handler determines whether bytes were sent.
  CloseSocket(socket_);
  timer_.cancel();
  on_broken_ = nullptr;
  if (state == State::kReading)
    FailCall(HttpDelivery::kUnknown, close_cause_);
}

void ClientConnection::FailCall(HttpDelivery delivery, std::string error) {
  FinishCall({.delivery = delivery, .error = std::move(error)}, false);
}

void ClientConnection::FinishCall(HttpResult result, bool reusable) {
  result.epoch = epoch_;
  timer_.cancel();
  if (reusable) {
    state_ = State::kIdle;
  } else if (state_ != State::kClosed) {
    state_ = State::kClosed;
    CloseSocket(socket_);
  }
  std::exchange(on_done_, nullptr)(std::move(result), reusable);
}

}  // namespace goldcrest::adapters
