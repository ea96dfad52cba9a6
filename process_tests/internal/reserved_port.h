#ifndef GOLDCREST_PROCESS_TESTS_RESERVED_PORT_H_
#define GOLDCREST_PROCESS_TESTS_RESERVED_PORT_H_

#include <cstdint>

namespace goldcrest::process_tests {

//! Reserves a free loopback port. The port stays bound without a listener, so
//! that no outgoing connection gets it while the daemon that uses it is down.
//! The daemon can still bind it, because both sockets set SO_REUSEADDR.
class ReservedPort {
 public:
  //! Throws std::system_error when no port can be bound.
  ReservedPort() : ReservedPort(0) {}
  //! Reserves this port; 0: any free one.
  explicit ReservedPort(std::uint16_t number);
  ~ReservedPort();
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

  std::uint16_t number() const { return number_; }

 private:
  int socket_ = -1;
  std::uint16_t number_ = 0;
};

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_RESERVED_PORT_H_
