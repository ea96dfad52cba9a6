#include "listener.h"

#include <sys/socket.h>

#include <system_error>
#include <utility>
#include <vector>

namespace goldcrest::adapters {
namespace {

// Delay before the next accept after a failure, such as when the process has no
// free file descriptor.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

}  // namespace

Listener::Listener(asio::io_context& context,
                   const std::string& host,
                   std::uint16_t port)
    : context_(context),
      acceptor_(context),
      retry_timer_(asio::make_strand(context)) {
  try {
    const asio::ip::tcp::endpoint address(asio::ip::make_address(host), port);
    acceptor_.open(address.protocol());
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.bind(address);
    acceptor_.listen();
    acceptor_.non_blocking(true);
    port_ = acceptor_.local_endpoint().port();
  } catch (const boost::system::system_error& error) {
    throw std::system_error(
        error.code(), "can't listen on " + host + ":" + std::to_string(port));
  }
}

void Listener::Start(SocketHandler on_socket) {
  const std::lock_guard lock(mutex_);
  on_socket_ = std::move(on_socket);
  accepting_ = true;
  StartAccept();
}

// Requires mutex_.
void Listener::StartAccept() {
  if (!accepting_)
    return;
  acceptor_.async_accept(
      asio::make_strand(context_.get_executor()),
      [self = shared_from_this()](error_code error, Socket socket) {
        self->OnAccept(error, std::move(socket));
      });
}

void Listener::OnAccept(error_code error, Socket socket) {
  if (!error)
    on_socket_(std::move(socket));
  const std::lock_guard lock(mutex_);
  if (!accepting_)
    return;
  if (!error || error == asio::error::connection_aborted) {
    StartAccept();
    return;
  }
  retry_timer_.expires_after(kAcceptRetryDelay);
  retry_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (cancelled)
      return;
    const std::lock_guard guard(self->mutex_);
    self->StartAccept();
  });
}

void Listener::StopAfterBacklog() {
  std::vector<Socket> backlog;
  {
    const std::lock_guard lock(mutex_);
    if (!std::exchange(accepting_, false))
      return;
    error_code error;
    acceptor_.cancel(error);
    while (!error) {
      Socket socket(asio::make_strand(context_.get_executor()));
      acceptor_.accept(socket, error);
      if (!error)
        backlog.push_back(std::move(socket));
    }
    CloseAcceptor();
  }
  for (Socket& socket : backlog)
    on_socket_(std::move(socket));
}

void Listener::Stop() {
  const std::lock_guard lock(mutex_);
  accepting_ = false;
  CloseAcceptor();
}

// Requires mutex_.
void Listener::CloseAcceptor() {
  // A closed socket listens on while another thread is in epoll_wait() with it;
  // a shutdown ends that at once.
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
}

}  // namespace goldcrest::adapters
