#ifndef GOLDCREST_ADAPTERS_TESTS_RAW_SOCKET_H_
#define GOLDCREST_ADAPTERS_TESTS_RAW_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace goldcrest::adapters {

//! A blocking loopback TCP socket whose reads wait for at most 10 s. Shares
//! no code with the code under test, so that both can't have the same fault.
class RawSocket {
 public:
  RawSocket() = default;
  explicit RawSocket(int descriptor) : descriptor_(descriptor) {}
  ~RawSocket() { Close(); }
  RawSocket(RawSocket&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  RawSocket& operator=(RawSocket&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }

  static RawSocket Connect(std::uint16_t port);

  void LimitReceiveBuffer(int bytes) const;
  void Send(std::string_view bytes) const;
  //! Reads until `end` has arrived or the connection ends.
  std::string ReadUntil(std::string_view end) const;
  //! Reads until the connection ends; "timeout" when it doesn't.
  std::string ReadAll() const { return ReadUntil({}); }
  //! Reads what has arrived, at most `size` bytes; waits for the first one.
  std::string ReadSome(std::size_t size) const;
  //! True if the peer has reset the connection.
  bool IsReset() const;
  void StopSending() const;
  void Close();
  //! Closes with a reset.
  void Reset();

 private:
  int descriptor_ = -1;
};

//! Listens on a free loopback port.
class RawListener {
 public:
  RawListener();
  ~RawListener();
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  std::uint16_t Port() const { return port_; }
  //! Waits for at most 10 s.
  RawSocket Accept() const;
  void Close();

 private:
  int descriptor_ = -1;
  std::uint16_t port_ = 0;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_TESTS_RAW_SOCKET_H_
