#include "crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <thread>

namespace goldcrest::process_tests {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kMaxSilence{500};
constexpr std::chrono::milliseconds kPause{2};

}  // namespace

Crowd::Crowd(std::uint16_t port, std::size_t count) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  while (sockets_.size() < count) {
    const int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (opened < 0 || connect(opened, reinterpret_cast<sockaddr*>(&address),
                              sizeof(address)) != 0) {
      close(opened);
      return;
    }
    sockets_.push_back(opened);
  }
}

Crowd::~Crowd() {
  for (const int socket : sockets_)
    close(socket);
}

void Crowd::Send(std::string_view bytes,
                 std::size_t repeats,
                 std::size_t piece_bytes) const {
  const std::size_t total = bytes.size() * repeats;
  std::vector<std::size_t> sent(sockets_.size());
  auto last_progress = Clock::now();
  while (Clock::now() - last_progress < kMaxSilence) {
    bool unsent = false;
    bool progress = false;
    for (std::size_t i = 0; i < sockets_.size(); ++i) {
      if (sent[i] >= total)
        continue;
      const std::string_view piece =
          bytes.substr(sent[i] % bytes.size(), piece_bytes);
      const ssize_t count = send(sockets_[i], piece.data(), piece.size(),
                                 MSG_DONTWAIT | MSG_NOSIGNAL);
      if (count < 0 && errno != EAGAIN)
        sent[i] = total;  // The server has closed the connection.
      if (count > 0)
        sent[i] += static_cast<std::size_t>(count);
      progress |= count > 0;
      unsent |= sent[i] < total;
    }
    if (!unsent)
      return;
    if (progress)
      last_progress = Clock::now();
    else
      std::this_thread::sleep_for(kPause);
  }
}

std::size_t Crowd::ReceiveLines(std::chrono::milliseconds timeout) const {
  const auto deadline = Clock::now() + timeout;
  std::size_t received = 0;
  for (const int socket : sockets_) {
    char byte = 0;
    while (byte != '\n') {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          deadline - Clock::now());
      pollfd readable = {.fd = socket, .events = POLLIN, .revents = 0};
      if (left.count() <= 0 ||
          poll(&readable, 1, static_cast<int>(left.count())) <= 0 ||
          recv(socket, &byte, 1, 0) <= 0)
        break;
    }
    received += byte == '\n' ? 1 : 0;
  }
  return received;
}

}  // namespace goldcrest::process_tests
