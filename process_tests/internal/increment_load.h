#ifndef GOLDCREST_PROCESS_TESTS_INCREMENT_LOAD_H_
#define GOLDCREST_PROCESS_TESTS_INCREMENT_LOAD_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace goldcrest::process_tests {

//! Results of one client.
struct LoadReport {
  std::int64_t acknowledged = 0;
  std::chrono::milliseconds longest_gap{0};  //!< Between two acknowledgements.
  //! Requests that were sent but got no complete response.
  int cut = 0;
  int unknown = 0;  //!< Replies with the outcome "unknown".
  //! Acknowledgements whose counter value is not the expected one, as text.
  std::vector<std::string> wrong_values;
  std::map<int, int> codes;  //!< Number of replies by result code; -1 without
                             //!< a complete response.

  std::string ToText() const;
};

//! Client thread that increments its own counter, one request at a time. A
//! request that fails is sent again with the same request id to the next port.
//! The counter value in each acknowledgement shows lost and repeated writes.
class IncrementLoad {
 public:
  // Same as the default of the daemons.
  static constexpr std::chrono::milliseconds kDefaultTimeout{5'000};

  IncrementLoad(std::string counter,
                std::vector<std::uint16_t> ports,
                std::chrono::milliseconds request_timeout = kDefaultTimeout);
  ~IncrementLoad();
  IncrementLoad(const IncrementLoad&) = delete;
  IncrementLoad& operator=(const IncrementLoad&) = delete;

  std::int64_t acknowledged() const { return acknowledged_; }
  const std::string& counter() const { return counter_; }

  //! Waits for `count` further acknowledgements; false if they take longer than
  //! `timeout`.
  bool AwaitProgress(std::int64_t count,
                     std::chrono::milliseconds timeout) const;

  //! Ends the thread after its current request, which is retried for at most
  //! another 10 s.
  LoadReport Stop();

 private:
  void Run();

  std::string counter_;
  std::vector<std::uint16_t> ports_;
  std::chrono::milliseconds request_timeout_;
  std::atomic<std::int64_t> acknowledged_{0};
  std::atomic<bool> stopping_{false};
  LoadReport report_;
  std::thread thread_;
};

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_INCREMENT_LOAD_H_
