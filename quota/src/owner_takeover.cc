// What a new owner knows of shares that earlier ones gave out, and what it may
// give out meanwhile.

#include <algorithm>

#include "goldcrest/quota/owner.h"
#include "percent.h"

namespace goldcrest::quota {
namespace {

// Largest share of one entry in a fleet of kCappedFleet instances or more. What
// it needs beyond it comes as single tokens. An owner that took over and misses
// an entry's report holds back this much instead of everything. A fleet grows
// past that size before callers arrive, so that no larger share is about then.
constexpr std::int64_t kMaxSharePercent = 25;
constexpr std::size_t kCappedFleet = 8;

}  // namespace

void Owner::GrantReserve(Time now) {
  reserve_until_ = now + kReserveValidity;
  for (auto& [customer, bucket] : buckets_) {
    Advance(bucket, now);
    if (!bucket.limit)
      continue;
    bucket.reserve_micros = bucket.limit->reserve_micros;
  }
}

void Owner::OnProcessEnded(Time now, const std::string& instance) {
  const auto place = instances_.find(instance);
  if (place == instances_.end()) {
    return;
  }
  DropShares(now, instance);
  place->second.known = true;
}

bool Owner::Ready(Time now) {
  if (ready_) {
    return true;
  }
  const bool known =
      !wait_for_lapse_ &&
      std::all_of(instances_.begin(), instances_.end(),
                  [](const auto& instance) { return instance.second.known; });
  if (!known && now < ready_at_) {
    return false;
  }
  for (auto& [customer, bucket] : buckets_) {
    Advance(bucket, now);
  }
  ready_ = true;
  CreditQuietTime(now);
  return true;
}

// While no entry took a token, as after a restart of all of them, the limits
// went on yielding tokens that nobody has.
void Owner::CreditQuietTime(Time now) {
  Time since;
  for (const auto& [name, instance] : instances_) {
    if (!instance.quiet_since)
      return;
    since = std::max(since, *instance.quiet_since);
  }
  if (instances_.empty() || since >= now)
    return;
  for (auto& [customer, bucket] : buckets_)
    Refill(FreeRate(bucket), FreeCapacity(bucket), now - since,
           bucket.level_micros, bucket.remainder);
}

// The part of each limit that is not with instances whose shares are unknown:
// each of them holds kMaxSharePercent at most.
std::int64_t Owner::UsablePercent() const {
  if (ready_)
    return 100;
  if (wait_for_lapse_)
    return 0;
  const auto unknown = std::ranges::count_if(
      instances_, [](const auto& item) { return !item.second.known; });
  const std::int64_t unknown_percent = unknown * MaxSharePercent();
  return std::max<std::int64_t>(0, 100 - unknown_percent);
}

std::int64_t Owner::MaxSharePercent() const {
  return instances_.size() >= kCappedFleet ? kMaxSharePercent : 100;
}

void Owner::StartIncarnation(const std::string& name,
                             Instance& instance,
                             std::int64_t incarnation) {
  if (incarnation <= instance.incarnation) {
    return;
  }
  // What an earlier owner gave to the earlier incarnation is never reported.
  wait_for_lapse_ = wait_for_lapse_ || !instance.known;
  for (auto& [customer, bucket] : buckets_) {
    const auto share = bucket.shares.find(ShareKey(name, instance.incarnation));
    if (share == bucket.shares.end()) {
      continue;
    }
    bucket.held.demand_micros -= share->second.demand_micros;
    share->second.demand_micros = 0;
  }
  instance.incarnation = incarnation;
  instance.confirmed = false;
}

void Owner::Adopt(Time now,
                  const std::string& name,
                  Instance& instance,
                  const std::vector<messages::ShareReport>& reports) {
  instance.confirmed = true;
  instance.known = true;
  for (const messages::ShareReport& report : reports) {
    if (report.customer.empty() || report.owner_term >= term_) {
      continue;
    }
    Bucket& bucket = buckets_[report.customer];
    Advance(bucket, now);
    Share share;
    share.confirmed.rate_micros = report.rate_micros;
    share.confirmed.capacity_micros = report.capacity_micros;
    share.level_bound = report.level_micros;
    share.lease_end = now + kShareExpiry;
    bucket.next_lapse = std::min(bucket.next_lapse, share.lease_end);
    AddTotals(bucket, share, 1);
    bucket.shares[ShareKey(name, instance.incarnation)] = share;
    bucket.level_micros = std::min(bucket.level_micros, FreeCapacity(bucket));
  }
}

}  // namespace goldcrest::quota
