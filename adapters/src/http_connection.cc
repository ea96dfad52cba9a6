#include "http_connection.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace goldcrest::adapters {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kReadBufferBytes = 16U << 10U;
// Limit of pipelined bytes buffered while a request is handled. Reading stops
// at the limit, which applies back pressure to the client.
constexpr std::size_t kMaxPipelinedBytes = 64U << 10U;
// How long a closing connection discards received bytes. Closing with unread
// bytes resets the connection, and the client may lose an unread response.
constexpr std::chrono::milliseconds kLingerTimeout{1'000};
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

ResultCode ResultCodeFor(const error_code& error) {
  if (error == http::error::body_limit)
    return ResultCode::kBodyTooLarge;
  return ResultCode::kMalformedRequest;
}

HttpRequest ToRequest(http::request<http::string_body> message) {
  HttpRequest request;
  request.method = message.method_string();
  const std::string_view target = message.target();
  const std::size_t query_mark = target.find('?');
  request.path = target.substr(0, query_mark);
  if (query_mark != std::string_view::npos)
    request.query = target.substr(query_mark + 1);
  for (const auto& field : message)
    request.headers.emplace_back(field.name_string(), field.value());
  request.body = std::move(message.body());
  return request;
}

}  // namespace

// Sends the first response to one request. The destructor runs with the last
// copy of the Respond function and answers a request without a response.
class HttpConnection::Responder {
 public:
  Responder(std::shared_ptr<HttpConnection> connection,
            std::uint64_t request_number)
      : connection_(std::move(connection)), request_number_(request_number) {}

  ~Responder() { Send(ResultResponse(ResultCode::kOutcomeUnknown)); }
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  void Send(HttpResponse response) {
    if (sent_.exchange(true))
      return;
    asio::post(connection_->socket_.get_executor(),
               [connection = connection_, request_number = request_number_,
                response = std::move(response)]() mutable {
                 connection->OnResponse(request_number, std::move(response));
               });
  }

 private:
  const std::shared_ptr<HttpConnection> connection_;
  const std::uint64_t request_number_;
  std::atomic<bool> sent_ = false;
};

HttpConnection::HttpConnection(std::uint64_t id,
                               Socket socket,
                               std::shared_ptr<HttpServerShared> shared)
    : id_(id),
      socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      shared_(std::move(shared)) {
  error_code ignored;
  socket_.non_blocking(true, ignored);
}

void HttpConnection::Start() {
  asio::dispatch(socket_.get_executor(), [self = shared_from_this()] {
    if (self->state_ == State::kClosed)
      return;
    error_code error;
    self->socket_.set_option(asio::ip::tcp::no_delay(true), error);
    const auto peer = self->socket_.remote_endpoint(error);
    if (!error)
      self->peer_address_ = peer.address().to_string();
    self->BeginRequest();
  });
}

void HttpConnection::Refuse(ResultCode code) {
  asio::dispatch(socket_.get_executor(),
                 [self = shared_from_this(), code] { self->Reject(code, {}); });
}

void HttpConnection::BeginDrain() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->state_ == State::kIdle)
      self->SetDeadline(self->shared_->options.drain_idle);
  });
}

void HttpConnection::Abort() {
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->Close(); });
}

void HttpConnection::BeginRequest() {
  state_ = State::kIdle;
  idle_ = true;
  parser_.emplace();
  parser_->body_limit(shared_->options.max_body_bytes);
  parser_->header_limit(
      static_cast<std::uint32_t>(shared_->options.max_header_bytes));
  header_done_ = false;
  continue_sent_ = false;
  SetDeadline(shared_->draining ? shared_->options.drain_idle
                                : shared_->options.idle_timeout);
  if (buffer_.size() > 0) {
    ParseRequest();
    return;
  }
  buffer_.shrink_to_fit();
  WaitForReadable();
}

// Waits for readability without a read buffer, so that idle connections hold no
// buffer memory.
void HttpConnection::WaitForReadable() {
  if (wait_pending_ || received_eof_)
    return;
  wait_pending_ = true;
  socket_.async_wait(Socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       self->wait_pending_ = false;
                       if (!error)
                         self->OnReadable();
                     });
}

void HttpConnection::OnReadable() {
  if (state_ == State::kClosed || state_ == State::kWriting)
    return;
  if (state_ == State::kLingering)
    buffer_.clear();
  error_code error;
  buffer_.commit(socket_.read_some(buffer_.prepare(kReadBufferBytes), error));
  if (error == asio::error::would_block) {
    WaitForReadable();
    return;
  }
  if (error && error != asio::error::eof) {
    Close();
    return;
  }
  if (error) {
    received_eof_ = true;
    ReportDisconnect();
  }
  switch (state_) {
    case State::kIdle:
      if (received_eof_)
        Close();
      else
        ParseRequest();
      return;
    case State::kReading:
      ParseRequest();
      if (state_ == State::kReading)
        RecordMemory();
      return;
    case State::kHandling:
      RecordMemory();
      if (buffer_.size() < kMaxPipelinedBytes)
        WaitForReadable();
      return;
    case State::kLingering:
      if (received_eof_)
        Close();
      else
        WaitForReadable();
      return;
    default:
      return;
  }
}

void HttpConnection::ParseRequest() {
  if (state_ == State::kIdle) {
    state_ = State::kReading;
    idle_ = false;
    request_counted_ = true;
    ++shared_->requests_in_flight;
    deadline_ = SteadyClock::now() + shared_->options.header_timeout;
  }
  error_code error;
  while (buffer_.size() > 0 && !parser_->is_done()) {
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == http::error::need_more)
      break;
    if (error) {
      Reject(ResultCodeFor(error), error.message());
      return;
    }
    if (parser_->is_header_done() && !header_done_) {
      header_done_ = true;
      deadline_ = SteadyClock::now() + shared_->options.body_timeout;
    }
  }
  if (parser_->is_done()) {
    DispatchRequest();
    return;
  }
  if (received_eof_) {
    Reject(ResultCode::kIncompleteRequest, "the request was cut short");
    return;
  }
  SendContinue();
  ArmTimer();
  WaitForReadable();
}

void HttpConnection::SendContinue() {
  if (!header_done_ || continue_sent_ ||
      !boost::beast::iequals(parser_->get()[http::field::expect],
                             "100-continue"))
    return;
  continue_sent_ = true;
  // Ignores a failed write, as with a full receive window: the client sends the
  // body without this response after its own timeout.
  error_code ignored;
  socket_.write_some(asio::buffer(kContinueResponse), ignored);
}

void HttpConnection::DispatchRequest() {
  state_ = State::kHandling;
  deadline_ = SteadyClock::time_point::max();
  ++request_number_;
  close_after_write_ = !parser_->keep_alive();
  HttpRequest request = ToRequest(parser_->release());
  handled_bytes_ = request.body.size();
  RecordMemory();
  request.connection = id_;
  request.peer_address = peer_address_;
  const auto responder =
      std::make_shared<Responder>(shared_from_this(), request_number_);
  // Detects a disconnected client and buffers pipelined requests.
  if (buffer_.size() < kMaxPipelinedBytes)
    WaitForReadable();
  shared_->handler(std::move(request), [responder](HttpResponse response) {
    responder->Send(std::move(response));
  });
}

void HttpConnection::OnResponse(std::uint64_t request_number,
                                HttpResponse response) {
  if (state_ == State::kHandling && request_number == request_number_)
    WriteResponse(std::move(response));
}

void HttpConnection::Reject(ResultCode code, std::string_view message) {
  if (state_ == State::kClosed)
    return;
  HttpResponse response = ResultResponse(code, message);
  response.close = true;
  WriteResponse(std::move(response));
}

void HttpConnection::WriteResponse(HttpResponse response) {
  state_ = State::kWriting;
  close_after_write_ = close_after_write_ || response.close ||
                       shared_->draining ||
                       (received_eof_ && buffer_.size() == 0);
  response_ = {};
  response_.version(11);
  response_.result(static_cast<unsigned>(response.status));
  if (!response.content_type.empty())
    response_.set(http::field::content_type, response.content_type);
  for (const auto& [name, value] : response.headers)
    response_.insert(name, value);
  response_.body() = std::move(response.body);
  response_.keep_alive(!close_after_write_);
  response_.prepare_payload();
  handled_bytes_ = 0;
  RecordMemory();
  SetDeadline(shared_->options.write_timeout);
  http::async_write(socket_, response_,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      self->OnWritten(error);
                    });
}

void HttpConnection::OnWritten(error_code error) {
  if (state_ == State::kClosed)
    return;
  EndRequest();
  response_ = {};
  RecordMemory();
  if (error)
    Close();
  else if (close_after_write_)
    Linger();
  else
    BeginRequest();
}

void HttpConnection::Linger() {
  state_ = State::kLingering;
  error_code error;
  socket_.shutdown(Socket::shutdown_send, error);
  if (error || received_eof_) {
    Close();
    return;
  }
  SetDeadline(kLingerTimeout);
  WaitForReadable();
}

void HttpConnection::SetDeadline(std::chrono::milliseconds timeout) {
  deadline_ = SteadyClock::now() + timeout;
  ArmTimer();
}

// Does not rearm a timer that fires before the deadline: a busy connection
// moves its deadline several times per request.
void HttpConnection::ArmTimer() {
  if (timer_expiry_ <= deadline_)
    return;
  timer_expiry_ = deadline_;
  timer_.expires_at(deadline_);
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error)
      self->OnTimer();
  });
}

void HttpConnection::OnTimer() {
  timer_expiry_ = SteadyClock::time_point::max();
  if (state_ == State::kClosed || deadline_ == SteadyClock::time_point::max())
    return;
  if (SteadyClock::now() < deadline_)
    ArmTimer();
  else
    OnDeadline();
}

void HttpConnection::OnDeadline() {
  if (state_ != State::kReading) {
    Close();
    return;
  }
  Reject(ResultCode::kIncompleteRequest, "the request did not arrive in time");
}

void HttpConnection::RecordMemory() {
  std::size_t bytes = buffer_.size() + handled_bytes_ + response_.body().size();
  if (state_ == State::kReading && parser_)
    bytes += parser_->get().body().size();
  if (state_ == State::kClosed || bytes < MemoryAccount::kMinBytes)
    bytes = 0;
  if (bytes == 0 && !memory_recorded_)
    return;
  memory_recorded_ = bytes > 0;
  shared_->memory.Set(id_, bytes, [weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->Abort();
  });
}

void HttpConnection::ReportDisconnect() {
  if (std::exchange(disconnect_reported_, true) || !shared_->on_disconnect)
    return;
  shared_->on_disconnect(id_);
}

void HttpConnection::EndRequest() {
  if (std::exchange(request_counted_, false))
    --shared_->requests_in_flight;
}

void HttpConnection::Close() {
  if (state_ == State::kClosed)
    return;
  state_ = State::kClosed;
  RecordMemory();
  EndRequest();
  CloseSocket(socket_);
  timer_.cancel();
  ReportDisconnect();
  shared_->remove_connection(id_);
}

}  // namespace goldcrest::adapters
