#ifndef GOLDCREST_TESTING_FAULTS_H_
#define GOLDCREST_TESTING_FAULTS_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

namespace goldcrest::testing {

//! Faults that tests inject into a stand-in server. Thread-safe.
class Faults {
 public:
  explicit Faults(std::chrono::milliseconds lag) : lag_(lag) {}

  //! Returns false when `kind` is unknown. docs/stand-in.md lists the kinds and
  //! the meaning and unit of `value` for each.
  bool Set(const std::string& kind, std::int64_t value);
  //! Ends all waits. Called once, when the server stops.
  void Stop();
  bool stopped() const;

  std::chrono::milliseconds lag() const;
  bool replication_cut() const;
  //! Blocks while `freeze_ms` is in effect or until the server stops.
  void WaitWhileFrozen() const;
  //! Blocks for `delay_answer_ms` or until the server stops.
  void WaitResponseDelay() const;
  //! Blocks while `silence_connections` applies to `connection` or until the
  //! server stops.
  void WaitWhileSilenced(std::uint64_t connection) const;
  //! Called for each new connection; ids increase. `silence_connections`
  //! applies to the connections recorded before it is set.
  void RecordConnection(std::uint64_t connection);
  //! Returns true, and counts down `drop_answer`, when the current response is
  //! to be dropped.
  bool ConsumeResponseDrop();
  //! Returns the body to send for `response`: the body of the previous response
  //! while `cross_answers` applies, else `response` itself.
  std::string SubstituteResponse(const std::string& response);

 private:
  mutable std::mutex mutex_;
  mutable std::condition_variable state_changed_;
  bool stopped_ = false;
  std::chrono::milliseconds lag_;
  std::chrono::milliseconds response_delay_{0};
  std::chrono::steady_clock::time_point frozen_until_;
  bool replication_cut_ = false;
  std::int64_t remaining_drops_ = 0;
  std::int64_t remaining_substitutions_ = 0;
  std::string previous_response_;
  std::uint64_t last_connection_ = 0;
  std::uint64_t last_silenced_connection_ = 0;
};

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_FAULTS_H_
