#ifndef GOLDCREST_TESTING_FAULTS_H_
#define GOLDCREST_TESTING_FAULTS_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

namespace goldcrest::testing {

//! Faults that tests switch on in a stand-in server. Thread-safe.
class Faults {
 public:
  explicit Faults(std::chrono::milliseconds lag) : lag_(lag) {}

  //! False when there is no such kind. See docs/stand-in.md for the kinds.
  bool Set(const std::string& kind, std::int64_t value);
  //! Ends all waits; called once when the server stops.
  void Stop();
  bool stopped() const;

  std::chrono::milliseconds lag() const;
  bool replication_cut() const;
  //! Waits while the server is frozen.
  void WaitWhileFrozen() const;
  void WaitAnswerDelay() const;
  //! Waits until the server stops if `connection` has gone silent.
  void WaitIfSilent(std::uint64_t connection) const;
  //! Called with each new connection's number.
  void OnConnection(std::uint64_t connection);
  //! True when this answer is to be dropped.
  bool TakeDrop();
  //! Returns the body to send in place of `answer`.
  std::string TakeCrossed(const std::string& answer);

 private:
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  bool stopped_ = false;
  std::chrono::milliseconds lag_;
  std::chrono::milliseconds answer_delay_{0};
  std::chrono::steady_clock::time_point frozen_until_;
  bool cut_ = false;
  std::int64_t drops_ = 0;
  std::int64_t crosses_ = 0;
  std::string last_answer_;
  std::uint64_t last_connection_ = 0;
  std::uint64_t silent_up_to_ = 0;
};

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_FAULTS_H_
