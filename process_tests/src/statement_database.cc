#include "statement_database.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string_view>
#include <system_error>

namespace goldcrest::process_tests {
namespace {

bool SendAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Answers one QUERY line; false to end the connection.
bool Answer(int socket, std::string_view line, char& state) {
  constexpr std::string_view query = "QUERY ";
  if (!line.starts_with(query))
    return false;
  line.remove_prefix(line.find(' ', query.size()) + 1);
  if (line.starts_with("AFTER "))
    line.remove_prefix(line.find(' ', 6) + 1);
  if (line == "READ hang")
    return true;
  if (line.starts_with("BEGIN"))
    state = 'T';
  if (line == "COMMIT" || line == "ROLLBACK")
    state = 'I';
  std::string rows;
  if (line == "STATUS")
    rows = "DATAROW primary 1 1.1 0 0 0 1\r\n";
  if (line.starts_with("READ ") || line.starts_with("EXECUTE "))
    rows = "DATAROW row\r\n";
  if (line.starts_with("READ rows ")) {
    rows.clear();
    const std::string row =
        "DATAROW " + std::string(StatementDatabase::kRowBytes, 'x') + "\r\n";
    for (int i = std::stoi(std::string(line.substr(10))); i > 0; --i) {
      if (!SendAll(socket, row))
        return false;
    }
  }
  return SendAll(socket, rows + "COMPLETE done\r\nREADY " + state + " 1.1\r\n");
}

}  // namespace

StatementDatabase::StatementDatabase()
    : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(listener_, generic, size) != 0 || listen(listener_, 128) != 0 ||
      getsockname(listener_, generic, &size) != 0)
    throw std::system_error(errno, std::generic_category(), "listen");
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

StatementDatabase::~StatementDatabase() {
  stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  for (const int socket : sockets_)
    shutdown(socket, SHUT_RDWR);
  for (std::thread& thread : threads_)
    thread.join();
  for (const int socket : sockets_)
    close(socket);
  close(listener_);
}

void StatementDatabase::Accept() {
  while (!stopping_) {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0)
      continue;
    const std::lock_guard lock(mutex_);
    sockets_.push_back(socket);
    threads_.emplace_back([socket] { Serve(socket); });
  }
}

void StatementDatabase::Serve(int socket) {
  std::array<char, 64 << 10> buffer{};
  std::string input;
  bool started = false;
  char state = 'I';
  while (true) {
    const ssize_t count = recv(socket, buffer.data(), buffer.size(), 0);
    if (count <= 0)
      return;
    input.append(buffer.data(), static_cast<std::size_t>(count));
    std::size_t end = 0;
    while ((end = input.find("\r\n")) != std::string::npos) {
      const std::string line = input.substr(0, end);
      input.erase(0, end + 2);
      const bool served = started ? Answer(socket, line, state)
                                  : SendAll(socket, "READY I 1.1\r\n");
      started = true;
      if (!served) {
        shutdown(socket, SHUT_RDWR);
        return;
      }
    }
  }
}

}  // namespace goldcrest::process_tests
