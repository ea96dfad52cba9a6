#include "goldcrest/routing/document_source.h"

#include <algorithm>
#include <chrono>
#include <functional>

namespace goldcrest::routing {
namespace {

// 100 kB take 0.4 s over 2 Mbit/s. Doubled with each controller that does not
// answer; configurations are to be in force within three to four seconds.
constexpr Duration kFirstWait = std::chrono::milliseconds(1'000);
constexpr Duration kLongestWait = std::chrono::milliseconds(4'000);

}  // namespace

std::string DocumentSource::NextController(
    Time now,
    std::int64_t have,
    const std::vector<Candidate>& linked) {
  if (!asked_.empty() && now < wait_until_)
    return "";
  std::int64_t newest = have;
  for (const Candidate& candidate : linked)
    newest = std::max(newest, candidate.version);
  if (newest == have) {
    OnDocumentReceived();
    return "";
  }
  std::string best;
  std::size_t best_rank = 0;
  for (const Candidate& candidate : linked) {
    if (candidate.version != newest || candidate.controller == asked_)
      continue;
    const std::size_t rank = std::hash<std::string>()(
        candidate.controller + "/" + std::to_string(salt_));
    if (best.empty() || rank < best_rank) {
      best = candidate.controller;
      best_rank = rank;
    }
  }
  if (best.empty())
    best = asked_;  // The only one that has it.
  wait_ = asked_.empty() ? kFirstWait : std::min(wait_ * 2, kLongestWait);
  wait_until_ = now + wait_;
  asked_ = best;
  return best;
}

void DocumentSource::OnDocumentReceived() {
  asked_.clear();
}

}  // namespace goldcrest::routing
