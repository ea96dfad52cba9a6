#include "goldcrest/statements/service_forecast.h"

#include <algorithm>
#include <chrono>

namespace goldcrest::statements {
namespace {

// The newest sample has the weight 1 / kSmoothingDivisor.
constexpr int kSmoothingDivisor = 8;

// A forecast needs this many starts: with fewer ones a single pause decides.
constexpr int kMinSamples = 8;

// A sample counts as at most this multiple of the mean, so that one pause, such
// as the replacement of a primary, is not taken for a slow queue. A queue that
// has become slow raises the mean with each start.
constexpr int kMaxSampleRatio = 4;
constexpr Duration kMinSampleBound = std::chrono::milliseconds(5);

// An empty queue's figures apply this long to its next statements.
constexpr Duration kValidity = std::chrono::seconds(1);

}  // namespace

void ServiceForecast::OnQueueLength(Time now,
                                    const std::string& queue,
                                    std::size_t waiting) {
  const auto found = queues_.find(queue);
  if (found == queues_.end() && waiting == 0)
    return;
  Queue& state = found == queues_.end() ? queues_[queue] : found->second;
  if (state.waiting == 0 && waiting > 0) {
    if (now - state.emptied_at > kValidity)
      state = Queue();
    state.since = now;
  }
  if (state.waiting > 0 && waiting == 0)
    state.emptied_at = now;
  state.waiting = waiting;
}

void ServiceForecast::OnStarted(Time now, const std::string& queue) {
  const auto found = queues_.find(queue);
  if (found == queues_.end() || found->second.waiting == 0)
    return;
  Queue& state = found->second;
  Duration sample = now - state.since;
  state.since = now;
  if (state.samples > 0)
    sample = std::min(
        sample, std::max(kMinSampleBound, kMaxSampleRatio * state.interval));
  ++state.samples;
  state.interval +=
      (sample - state.interval) / std::min(state.samples, kSmoothingDivisor);
}

void ServiceForecast::OnServed(const std::string& kind, Duration duration) {
  const auto [it, added] = service_times_.emplace(kind, duration);
  if (!added)
    it->second += (duration - it->second) / kSmoothingDivisor;
}

Duration ServiceForecast::StartInterval(Time now,
                                        const std::string& queue) const {
  const auto found = queues_.find(queue);
  if (found == queues_.end() || found->second.samples < kMinSamples)
    return Duration::zero();
  const Queue& state = found->second;
  if (state.waiting == 0 && now - state.emptied_at > kValidity)
    return Duration::zero();
  return state.interval;
}

Time ServiceForecast::ExpectedStart(Time now,
                                    const std::string& queue,
                                    std::size_t ahead) const {
  return now + StartInterval(now, queue) * static_cast<std::int64_t>(ahead);
}

Duration ServiceForecast::ServiceTime(const std::string& kind) const {
  const auto found = service_times_.find(kind);
  return found == service_times_.end() ? Duration::zero() : found->second;
}

bool ServiceForecast::CanServe(Time now,
                               const std::string& queue,
                               const std::string& kind,
                               std::size_t ahead,
                               Time latest_start,
                               Time deadline) const {
  if (ahead == 0)
    return true;
  const Time start = ExpectedStart(now, queue, ahead);
  return start <= latest_start && start + ServiceTime(kind) <= deadline;
}

}  // namespace goldcrest::statements
