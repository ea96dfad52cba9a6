#ifndef GOLDCREST_PROCESS_TESTS_RAW_CONNECTION_H_
#define GOLDCREST_PROCESS_TESTS_RAW_CONNECTION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrest::process_tests {

//! A TCP connection to a loopback port, for bytes that no HTTP client sends.
class RawConnection {
 public:
  //! Throws std::system_error when the connection fails.
  explicit RawConnection(std::uint16_t port);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Send(std::string_view bytes) const;

  //! What the server sends until it closes the connection, `timeout` passes or
  //! `expected` is in it.
  std::string ReceiveUntil(std::string_view expected,
                           std::chrono::milliseconds timeout) const;

 private:
  int socket_ = -1;
};

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_RAW_CONNECTION_H_
