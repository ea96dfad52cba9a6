#ifndef GOLDCREST_ADAPTERS_SCHEDULER_H_
#define GOLDCREST_ADAPTERS_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "goldcrest/types/time.h"

namespace boost::asio {
class io_context;
}

namespace goldcrest::adapters {

//! Runs functions on the io_context at a given time. Safe from any thread.
class Scheduler {
 public:
  using TimerId = std::uint64_t;

  explicit Scheduler(boost::asio::io_context& context);
  //! Cancels all timers.
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  //! Runs `task` once on a worker thread after `delay`.
  TimerId After(Duration delay, std::function<void()> task);

  //! Runs `task` once at `time` of SystemClock, immediately when that has
  //! passed.
  TimerId At(Time time, std::function<void()> task);

  //! False when the task has started, has run or was cancelled before.
  bool Cancel(TimerId id);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_SCHEDULER_H_
