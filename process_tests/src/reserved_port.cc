#include "reserved_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace goldcrest::process_tests {

ReservedPort::ReservedPort(std::uint16_t number)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int enabled = 1;
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(number);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &enabled,
                 sizeof(enabled)) != 0 ||
      bind(socket_, generic, size) != 0 ||
      getsockname(socket_, generic, &size) != 0) {
    const int error = errno;
    close(socket_);
    throw std::system_error(error, std::generic_category(), "reserve a port");
  }
  number_ = ntohs(address.sin_port);
}

ReservedPort::~ReservedPort() {
  close(socket_);
}

ReservedPortPair::ReservedPortPair() {
  while (!second_) {
    first_ = std::make_unique<ReservedPort>();
    try {
      second_ = std::make_unique<ReservedPort>(
          static_cast<std::uint16_t>(first_->number() + 1));
    } catch (const std::system_error&) {
      continue;  // The second port is in use.
    }
  }
}

}  // namespace goldcrest::process_tests
