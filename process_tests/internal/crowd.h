#ifndef GOLDCREST_PROCESS_TESTS_CROWD_H_
#define GOLDCREST_PROCESS_TESTS_CROWD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace goldcrest::process_tests {

//! Many connections to one loopback port, of which none blocks the others.
class Crowd {
 public:
  //! Opens connections; stops at the first that can't be opened.
  Crowd(std::uint16_t port, std::size_t count);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  //! Sends `bytes` `repeats` times on each connection, in pieces of
  //! `piece_bytes`, a piece of each connection in turn. Ends when all is sent
  //! or the server has taken nothing for 500 ms.
  void Send(std::string_view bytes,
            std::size_t repeats = 1,
            std::size_t piece_bytes = std::size_t{64} << 10U) const;

  //! Receives one line on each connection; returns how many got one.
  std::size_t ReceiveLines(std::chrono::milliseconds timeout) const;

 private:
  std::vector<int> sockets_;
};

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_CROWD_H_
