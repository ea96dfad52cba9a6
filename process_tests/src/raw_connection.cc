#include "raw_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace goldcrest::process_tests {

RawConnection::RawConnection(std::uint16_t port)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  if (connect(socket_, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    const int error = errno;
    close(socket_);
    throw std::system_error(error, std::generic_category(), "connect");
  }
}

RawConnection::~RawConnection() {
  close(socket_);
}

void RawConnection::Send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    // The server has closed the connection; its answer can still be read.
    if (sent <= 0)
      return;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
}

std::string RawConnection::ReceiveUntil(
    std::string_view expected,
    std::chrono::milliseconds timeout) const {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  std::string received;
  std::array<char, 4096> buffer{};
  while (received.find(expected) == std::string::npos) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
    pollfd readable = {.fd = socket_, .events = POLLIN};
    if (remaining.count() <= 0 ||
        poll(&readable, 1, static_cast<int>(remaining.count())) <= 0)
      break;
    const ssize_t count = recv(socket_, buffer.data(), buffer.size(), 0);
    if (count <= 0)
      break;
    received.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return received;
}

std::size_t RawConnection::CountUntil(std::string_view expected,
                                      std::chrono::milliseconds timeout) const {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  std::size_t count = 0;
  std::string tail;
  std::array<char, 64 << 10> buffer{};
  while (tail.find(expected) == std::string::npos) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
    pollfd readable = {.fd = socket_, .events = POLLIN, .revents = 0};
    if (remaining.count() <= 0 ||
        poll(&readable, 1, static_cast<int>(remaining.count())) <= 0)
      break;
    const ssize_t received = recv(socket_, buffer.data(), buffer.size(), 0);
    if (received <= 0)
      break;
    count += static_cast<std::size_t>(received);
    tail.append(buffer.data(), static_cast<std::size_t>(received));
    tail.erase(0, tail.size() - std::min(tail.size(), buffer.size()));
  }
  return count;
}

}  // namespace goldcrest::process_tests
