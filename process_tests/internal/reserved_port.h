#ifndef GOLDCREST_PROCESS_TESTS_RESERVED_PORT_H_
#define GOLDCREST_PROCESS_TESTS_RESERVED_PORT_H_

#include <cstdint>

namespace goldcrest::process_tests {

//! A free loopback port. It stays bound here without a listener, so that no
//! outgoing connection takes it while the process that serves it is down; that
//! process can bind it too, because both set SO_REUSEADDR.
class ReservedPort {
 public:
  //! Throws std::system_error.
  ReservedPort();
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
