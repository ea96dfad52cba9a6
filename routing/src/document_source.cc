#include "goldcrest/routing/document_source.h"

#include <algorithm>
#include <chrono>
#include <functional>

namespace goldcrest::routing {
namespace {

// Delay before another controller is asked: a document of 100 kB takes 0.4 s
// over 2 Mbit/s. The delay doubles with each controller that does not answer;
// configurations have to be in force within three to four seconds.
constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(1'000);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(4'000);

}  // namespace

std::string DocumentSource::NextController(
    Time now,
    std::int64_t known_version,
    const std::vector<Candidate>& connected) {
  if (!requested_controller_.empty() && now < retry_at_)
    return "";
  std::int64_t newest = known_version;
  for (const Candidate& candidate : connected)
    newest = std::max(newest, candidate.version);
  if (newest == known_version) {
    OnDocumentReceived();
    return "";
  }
  std::string best;
  std::size_t best_rank = 0;
  for (const Candidate& candidate : connected) {
    if (candidate.version != newest ||
        candidate.controller == requested_controller_)
      continue;
    const std::size_t rank = std::hash<std::string>()(
        candidate.controller + "/" + std::to_string(salt_));
    if (best.empty() || rank < best_rank) {
      best = candidate.controller;
      best_rank = rank;
    }
  }
  if (best.empty())
    best = requested_controller_;  // No other controller has it.
  retry_delay_ = requested_controller_.empty()
                     ? kInitialRetryDelay
                     : std::min(retry_delay_ * 2, kMaxRetryDelay);
  retry_at_ = now + retry_delay_;
  requested_controller_ = best;
  return best;
}

void DocumentSource::OnDocumentReceived() {
  requested_controller_.clear();
}

}  // namespace goldcrest::routing
