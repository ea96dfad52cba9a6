#ifndef GOLDCREST_PROCESS_TESTS_RESERVED_PORT_H_
#define GOLDCREST_PROCESS_TESTS_RESERVED_PORT_H_

#include <cstdint>
#include <memory>

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

//! Reserves two ports that follow one another: the smallest range for the links
//! between processes. The controller listens on the first, the entry on the
//! second.
class ReservedPortPair {
 public:
  ReservedPortPair();

  std::uint16_t first() const { return first_->number(); }
  std::uint16_t second() const { return second_->number(); }

 private:
  std::unique_ptr<ReservedPort> first_;
  std::unique_ptr<ReservedPort> second_;
};

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_RESERVED_PORT_H_
