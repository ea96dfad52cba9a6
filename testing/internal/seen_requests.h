#ifndef GOLDCREST_TESTING_SEEN_REQUESTS_H_
#define GOLDCREST_TESTING_SEEN_REQUESTS_H_

#include <cstdint>
#include <mutex>
#include <set>
#include <string>

namespace goldcrest::testing {

//! Distinct targets, headers and bodies of the received requests, so that tests
//! can search them, for example for a caller's key. Thread-safe.
class SeenRequests {
 public:
  void AddTarget(std::string text) { Add(targets_, std::move(text)); }
  void AddHeader(std::string text) { Add(headers_, std::move(text)); }
  void AddBody(std::string text) { Add(bodies_, std::move(text)); }
  //! `dropped` counts the texts that were not stored because their set was
  //! full; the record is complete only when it is 0.
  std::string ToJson() const;

 private:
  void Add(std::set<std::string>& texts, std::string text);

  mutable std::mutex mutex_;
  std::set<std::string> targets_;
  std::set<std::string> headers_;
  std::set<std::string> bodies_;
  std::int64_t dropped_ = 0;
};

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_SEEN_REQUESTS_H_
