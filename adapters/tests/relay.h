#ifndef GOLDCREST_ADAPTERS_TESTS_RELAY_H_
#define GOLDCREST_ADAPTERS_TESTS_RELAY_H_

#include <atomic>
#include <cstdint>
#include <memory>

namespace goldcrest::adapters {

//! Forwards TCP connections to a loopback port, like something between two
//! hosts that can lose track of connections.
class Relay {
 public:
  explicit Relay(std::uint16_t target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::uint16_t Port() const;
  //! Connections that exist stay open and carry nothing any more, in both
  //! directions; new ones work.
  void SilenceExisting();
  int Accepted() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_TESTS_RELAY_H_
