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

// Delay after a failed accept, for example when the process has no free file
// descriptor.
constexpr std::chrono::milliseconds kAcceptRetryDelay{10};

bool WaitUntilReadable(int socket, std::chrono::milliseconds timeout) {
  pollfd descriptor{socket, POLLIN, 0};
  return poll(&descriptor, 1, static_cast<int>(timeout.count())) > 0;
}

}  // namespace

HttpListener::HttpListener(Options options, Hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      acceptor_(context_,
                {asio::ip::make_address(options_.host), options_.port}) {
  port_ = acceptor_.local_endpoint().port();
  acceptor_thread_ = std::thread([this] { AcceptConnections(); });
}

HttpListener::~HttpListener() {
  {
    const std::unique_lock lock(mutex_);
    stopping_ = true;
    // Unblocks the threads that wait in accept, poll or read.
    shutdown(acceptor_.native_handle(), SHUT_RDWR);
    for (const auto& [connection, socket] : open_sockets_)
      shutdown(socket, SHUT_RDWR);
  }
  acceptor_thread_.join();
  std::unique_lock lock(mutex_);
  connection_closed_.wait(lock, [this] { return open_sockets_.empty(); });
}

void HttpListener::AcceptConnections() {
  while (true) {
    error_code error;
    Socket socket(context_);
    acceptor_.accept(socket, error);
    const std::unique_lock lock(mutex_);
    if (stopping_)
      return;
    if (error) {
      std::this_thread::sleep_for(kAcceptRetryDelay);
      continue;
    }
    if (open_sockets_.size() >=
        static_cast<std::size_t>(options_.max_connections))
      continue;  // the destructor closes the socket
    const std::uint64_t connection = next_connection_++;
    open_sockets_[connection] = socket.native_handle();
    std::thread([this, connection, socket = std::move(socket)]() mutable {
      ServeConnection(std::move(socket), connection);
    }).detach();
  }
}

void HttpListener::ServeConnection(Socket socket, std::uint64_t connection) {
  error_code error;
  socket.set_option(asio::ip::tcp::no_delay(true), error);
  if (options_.open_delay.count() > 0)
    std::this_thread::sleep_for(options_.open_delay);
  hooks_.on_open(connection);
  while (ServeRequest(socket, connection)) {
  }
  hooks_.on_close(connection);
  const std::unique_lock lock(mutex_);
  socket.close(error);
  open_sockets_.erase(connection);
  connection_closed_.notify_all();
}

bool HttpListener::ServeRequest(Socket& socket, std::uint64_t connection) {
  if (!WaitUntilReadable(socket.native_handle(), options_.idle_timeout))
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
  http::response<http::string_body> response(
      static_cast<http::status>(reply.status), received.version());
  response.set(http::field::content_type, "application/json");
  response.keep_alive(received.keep_alive() && !reply.close);
  response.body() = reply.body;
  response.prepare_payload();
  http::write(socket, response, error);
  return !error && response.keep_alive();
}

}  // namespace goldcrest::testing
