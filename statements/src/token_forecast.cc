#include "goldcrest/statements/token_forecast.h"

#include <algorithm>
#include <chrono>

namespace goldcrest::statements {
namespace {

// An operation waits again after this time at the latest, and shows whether the
// owner has tokens. It bounds how long a raised limit remains unused here.
constexpr Duration kMaxShortage = std::chrono::milliseconds(500);

}  // namespace

void TokenForecast::OnOwnerAnswer(Time now) {
  owner_answered_at_ = now;
}

void TokenForecast::OnTaken(const std::string& customer) {
  if (!shortages_.empty())
    shortages_.erase(customer);
}

void TokenForecast::OnGaveUp(Time now,
                             Time since,
                             const std::string& customer) {
  if (owner_answered_at_ <= since)
    return;
  const auto [it, first] = shortages_.try_emplace(customer);
  Shortage& shortage = it->second;
  if (!first && now < shortage.until)
    return;  // It has waited along with the one that was counted.
  shortage.length =
      std::min(kMaxShortage, first ? now - since : shortage.length * 2);
  shortage.until = now + shortage.length;
}

bool TokenForecast::MayWait(Time now,
                            const std::string& customer,
                            Time share_token_at,
                            Time give_up_at) {
  if (share_token_at <= give_up_at)
    return true;
  const auto found = shortages_.find(customer);
  if (found == shortages_.end() || now >= found->second.until)
    return true;
  // An owner that does not answer may have been replaced by one with tokens.
  return now - owner_answered_at_ > kMaxShortage;
}

}  // namespace goldcrest::statements
