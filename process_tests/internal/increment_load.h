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

//! What one client saw.
struct LoadReport {
  std::int64_t acknowledged = 0;
  std::chrono::milliseconds longest_gap{0};  //!< Between two acknowledgements.
  //! Requests that were sent and whose connection ended without a whole answer.
  int cut = 0;
  int unknown = 0;  //!< Answers with the outcome "unknown".
  //! Acknowledgements whose value is not that of the request.
  std::vector<std::string> wrong;
  std::map<int, int> codes;  //!< Answers by result code.

  std::string ToText() const;
};

//! A client thread that increments its own counter, one request at a time. A
//! request that is not done is sent again with its request id, to the next
//! port. The value of each acknowledgement tells a lost write from a repeated
//! one.
class IncrementLoad {
 public:
  // The daemons' own default.
  static constexpr std::chrono::milliseconds kDefaultTimeout{5'000};

  IncrementLoad(std::string counter,
                std::vector<std::uint16_t> ports,
                std::chrono::milliseconds request_timeout = kDefaultTimeout);
  ~IncrementLoad();
  IncrementLoad(const IncrementLoad&) = delete;
  IncrementLoad& operator=(const IncrementLoad&) = delete;

  std::int64_t acknowledged() const { return acknowledged_; }
  const std::string& counter() const { return counter_; }

  //! Waits for `more` further acknowledgements.
  bool Continues(std::int64_t more, std::chrono::milliseconds bound) const;

  //! Ends after the request that is under way, which gets kLastRequest time.
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
