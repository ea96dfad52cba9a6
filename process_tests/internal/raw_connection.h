#ifndef GOLDCREST_PROCESS_TESTS_RAW_CONNECTION_H_
#define GOLDCREST_PROCESS_TESTS_RAW_CONNECTION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrest::process_tests {

//! TCP connection to a loopback port, for input that an HTTP client can't send.
class RawConnection {
 public:
  //! Throws std::system_error when the connection fails.
  explicit RawConnection(std::uint16_t port);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  //! Returns early when the server has closed the connection.
  void Send(std::string_view bytes) const;

  //! Receives until `expected` arrives, the server closes the connection or
  //! `timeout` passes. Returns all received bytes.
  std::string ReceiveUntil(std::string_view expected,
                           std::chrono::milliseconds timeout) const;

  //! The same for long input: returns the number of received bytes only.
  std::size_t CountUntil(std::string_view expected,
                         std::chrono::milliseconds timeout) const;

 private:
  int socket_ = -1;
};

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_RAW_CONNECTION_H_
