#ifndef GOLDCREST_ADAPTERS_TESTS_RELAY_H_
#define GOLDCREST_ADAPTERS_TESTS_RELAY_H_

#include <atomic>
#include <cstdint>
#include <memory>

namespace goldcrest::adapters {

//! Forwards TCP connections to a loopback port. Simulates a stateful device
//! between two hosts, such as a NAT gateway, that loses connection state.
class Relay {
 public:
  explicit Relay(std::uint16_t target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::uint16_t Port() const;
  //! Existing connections stay open but forward no more bytes in either
  //! direction. New connections are forwarded.
  void SilenceExisting();
  int AcceptedConnections() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_TESTS_RELAY_H_
