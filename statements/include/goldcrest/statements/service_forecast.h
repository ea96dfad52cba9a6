#ifndef GOLDCREST_STATEMENTS_SERVICE_FORECAST_H_
#define GOLDCREST_STATEMENTS_SERVICE_FORECAST_H_

#include <cstddef>
#include <map>
#include <string>

#include "goldcrest/types/time.h"

namespace goldcrest::statements {

//! Forecasts when a statement that arrives at a queue will start and end, from
//! the starts of the statements that waited in it and from the service times of
//! its kind. Without recent figures it expects no wait. Not thread-safe.
class ServiceForecast {
 public:
  //! The queue has `waiting` statements from now on.
  void OnQueueLength(Time now, const std::string& queue, std::size_t waiting);

  //! A statement that has waited in the queue has been sent.
  void OnStarted(Time now, const std::string& queue);

  //! A statement of the kind was answered `duration` after it was sent.
  void OnServed(const std::string& kind, Duration duration);

  //! Mean interval between the starts of waiting statements; zero if it is not
  //! known.
  Duration StartInterval(Time now, const std::string& queue) const;

  //! When a statement with `ahead` others before it is expected to be sent.
  Time ExpectedStart(Time now,
                     const std::string& queue,
                     std::size_t ahead) const;

  //! Expected time from sending a statement of the kind to its answer; zero if
  //! it is not known.
  Duration ServiceTime(const std::string& kind) const;

  //! False when the statement would be sent after `latest_start` or answered
  //! after `deadline`. The first statement of a queue is always accepted: it
  //! shows when the queue moves again.
  bool CanServe(Time now,
                const std::string& queue,
                const std::string& kind,
                std::size_t ahead,
                Time latest_start,
                Time deadline) const;

 private:
  struct Queue {
    std::size_t waiting = 0;
    // The later of the last start and the time when the queue became non-empty.
    Time since;
    Time emptied_at;
    Duration interval{};  // smoothed
    int samples = 0;
  };

  std::map<std::string, Queue> queues_;
  std::map<std::string, Duration> service_times_;  // smoothed, by kind
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_SERVICE_FORECAST_H_
