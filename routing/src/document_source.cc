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

// The leader announces a version first. Until half of the controllers have it,
// an entry waits for them this long, which is twice the interval of the
// leader's messages to the others.
constexpr Duration kSpreadDelay = std::chrono::milliseconds(150);

}  // namespace

std::string DocumentSource::NextController(
    Time now,
    std::int64_t known_version,
    const std::vector<Candidate>& connected) {
  const bool lost = std::ranges::none_of(connected, [this](const auto& item) {
    return item.controller == requested_controller_;
  });
  if (!requested_controller_.empty() && !lost && now < retry_at_)
    return "";
  std::int64_t newest = known_version;
  for (const Candidate& candidate : connected)
    newest = std::max(newest, candidate.version);
  if (newest == known_version) {
    OnDocumentReceived();
    return "";
  }
  if (!spread_until_)
    spread_until_ = now + kSpreadDelay;
  const auto ready = std::ranges::count_if(
      connected, [&](const auto& item) { return item.version == newest; });
  if (now < *spread_until_ &&
      2 * static_cast<std::size_t>(ready) < connected.size())
    return "";
  const Candidate* best = nullptr;
  for (const Candidate& candidate : connected) {
    if (candidate.version == newest &&
        (best == nullptr || Preference(candidate) < Preference(*best)))
      best = &candidate;
  }
  retry_delay_ = requested_controller_.empty() || lost
                     ? kInitialRetryDelay
                     : std::min(retry_delay_ * 2, kMaxRetryDelay);
  retry_at_ = now + retry_delay_;
  requested_controller_ = best->controller;
  ++request_counts_[requested_controller_];
  return requested_controller_;
}

// Controllers that were asked less often for this document come first.
std::pair<int, std::size_t> DocumentSource::Preference(
    const Candidate& candidate) const {
  const auto count = request_counts_.find(candidate.controller);
  return {count == request_counts_.end() ? 0 : count->second,
          std::hash<std::string>()(candidate.controller + "/" +
                                   std::to_string(salt_))};
}

void DocumentSource::OnDocumentReceived() {
  requested_controller_.clear();
  request_counts_.clear();
  spread_until_.reset();
}

}  // namespace goldcrest::routing
