#include "goldcrest/testing/http_listener.h"

#include <poll.h>
#include <sys/socket.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace goldcrest::testing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

// Pause after a failed accept, such as when no file descriptor is free.
constexpr std::chrono::milliseconds kAcceptRetry{10};

bool WaitReadable(int socket, std::chrono::milliseconds limit) {
  pollfd waited{socket, POLLIN, 0};
  return poll(&waited, 1, static_cast<int>(limit.count())) > 0;
}

}  // namespace

HttpListener::HttpListener(Options options, Hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      acceptor_(context_,
                {asio::ip::make_address(options_.host), options_.port}) {
  port_ = acceptor_.local_endpoint().port();
  acceptor_thread_ = std::thread([this] { Accept(); });
}

HttpListener::~HttpListener() {
  {
    const std::unique_lock lock(mutex_);
    stopping_ = true;
    // Wakes the threads that are blocked in accept and read.
    shutdown(acceptor_.native_handle(), SHUT_RDWR);
    for (const auto& [connection, socket] : open_)
      shutdown(socket, SHUT_RDWR);
  }
  acceptor_thread_.join();
  std::unique_lock lock(mutex_);
  closed_.wait(lock, [this] { return open_.empty(); });
}

void HttpListener::Accept() {
  while (true) {
    error_code error;
    Socket socket(context_);
    acceptor_.accept(socket, error);
    const std::unique_lock lock(mutex_);
    if (stopping_)
      return;
    if (error) {
      std::this_thread::sleep_for(kAcceptRetry);
      continue;
    }
    if (open_.size() >= static_cast<std::size_t>(options_.max_connections))
      continue;  // closes it
    const std::uint64_t connection = next_connection_++;
    open_[connection] = socket.native_handle();
    std::thread([this, connection, socket = std::move(socket)]() mutable {
      Serve(std::move(socket), connection);
    }).detach();
  }
}

void HttpListener::Serve(Socket socket, std::uint64_t connection) {
  error_code error;
  socket.set_option(asio::ip::tcp::no_delay(true), error);
  if (options_.open_time.count() > 0)
    std::this_thread::sleep_for(options_.open_time);
  hooks_.on_open(connection);
  while (ServeOne(socket, connection)) {
  }
  hooks_.on_close(connection);
  const std::unique_lock lock(mutex_);
  socket.close(error);
  open_.erase(connection);
  closed_.notify_all();
}

bool HttpListener::ServeOne(Socket& socket, std::uint64_t connection) {
  if (!WaitReadable(socket.native_handle(), options_.idle_limit))
    return false;
  error_code error;
  beast::flat_buffer buffer;
  http::request<http::string_body> received;
  http::read(socket, buffer, received, error);
  if (error)
    return false;
  HttpRequest request;
  request.connection = connection;
  request.method = received.method_string();
  request.target = received.target();
  for (const auto& field : received)
    request.headers.emplace_back(field.name_string(), field.value());
  request.body = std::move(received.body());
  const HttpReply reply = hooks_.on_request(request);
  if (reply.drop)
    return false;
  http::response<http::string_body> answer(
      static_cast<http::status>(reply.status), received.version());
  answer.set(http::field::content_type, "application/json");
  answer.keep_alive(received.keep_alive() && !reply.close);
  answer.body() = reply.body;
  answer.prepare_payload();
  http::write(socket, answer, error);
  return !error && answer.keep_alive();
}

}  // namespace goldcrest::testing
