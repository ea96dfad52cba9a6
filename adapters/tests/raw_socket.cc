#include "tests/raw_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>

namespace goldcrest::adapters {
namespace {

constexpr int kTimeoutMs = 10'000;

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool IsReadable(int descriptor) {
  pollfd entry{descriptor, POLLIN, 0};
  return poll(&entry, 1, kTimeoutMs) == 1;
}

}  // namespace

RawSocket RawSocket::Connect(std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0)
    throw std::runtime_error("connect failed");
  return RawSocket(descriptor);
}

void RawSocket::LimitReceiveBuffer(int bytes) const {
  setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

void RawSocket::Send(std::string_view bytes) const {
  if (send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(bytes.size()))
    throw std::runtime_error("send failed");
}

std::string RawSocket::ReadUntil(std::string_view end) const {
  std::string text;
  std::array<char, 4096> bytes;
  while (end.empty() || text.find(end) == std::string::npos) {
    if (!IsReadable(descriptor_))
      return "timeout";
    const ssize_t size = recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (size <= 0)
      break;
    text.append(bytes.data(), static_cast<std::size_t>(size));
  }
  return text;
}

std::string RawSocket::ReadSome(std::size_t size) const {
  if (!IsReadable(descriptor_))
    return "timeout";
  std::string bytes(size, '\0');
  const ssize_t count = recv(descriptor_, bytes.data(), size, 0);
  bytes.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
  return bytes;
}

bool RawSocket::IsReset() const {
  // After the peer's orderly close, a reset is reported as EPIPE.
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
  return error == ECONNRESET || error == EPIPE;
}

void RawSocket::StopSending() const {
  shutdown(descriptor_, SHUT_WR);
}

void RawSocket::Close() {
  if (descriptor_ >= 0)
    close(std::exchange(descriptor_, -1));
}

void RawSocket::Reset() {
  const linger now{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Close();
}

RawListener::RawListener() : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(descriptor_, generic, size) != 0 || listen(descriptor_, 64) != 0 ||
      getsockname(descriptor_, generic, &size) != 0)
    throw std::runtime_error("listen failed");
  port_ = ntohs(address.sin_port);
}

RawListener::~RawListener() {
  Close();
}

RawSocket RawListener::Accept() const {
  if (!IsReadable(descriptor_))
    throw std::runtime_error("no connection came");
  return RawSocket(accept(descriptor_, nullptr, nullptr));
}

void RawListener::Close() {
  if (descriptor_ >= 0)
    close(std::exchange(descriptor_, -1));
}

}  // namespace goldcrest::adapters
