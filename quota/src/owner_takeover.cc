// How a new owner learns of the shares that earlier owners gave out, and what
// it may give out until it knows all of them.

#include <algorithm>
#include <utility>

#include "goldcrest/quota/owner.h"
#include "percent.h"

namespace goldcrest::quota {
namespace {

// Largest share of one entry in a fleet of at least kShareCapMinInstances
// instances; the entry gets what it needs beyond it as single tokens. After a
// takeover the owner holds back this much for each entry whose report is
// missing, instead of the whole limit. A fleet reaches that size before callers
// arrive, so that no larger shares exist by then.
constexpr std::int64_t kMaxSharePercent = 25;
constexpr std::size_t kShareCapMinInstances = 8;

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
  MarkKnown(place->second);
}

bool Owner::Ready(Time now) {
  if (ready_) {
    return true;
  }
  const bool known = !wait_for_expiry_ && unknown_count_ == 0;
  if (!known && now < ready_at_) {
    return false;
  }
  for (auto& [customer, bucket] : buckets_) {
    Advance(bucket, now);
  }
  ready_ = true;
  CreditIdleTime(now);
  return true;
}

// Credits the tokens that the limits yielded while no entry took one, for
// example during a restart of all entries.
void Owner::CreditIdleTime(Time now) {
  Time since;
  for (const auto& [name, instance] : instances_) {
    if (!instance.idle_since)
      return;
    since = std::max(since, *instance.idle_since);
  }
  if (instances_.empty() || since >= now)
    return;
  for (auto& [customer, bucket] : buckets_)
    Refill(FreeRate(bucket), FreeCapacity(bucket), now - since,
           bucket.level_micros, bucket.remainder);
}

// The part of each limit that instances with unknown shares can't hold: each of
// them holds MaxSharePercent() at most.
std::int64_t Owner::UsablePercent() const {
  if (ready_)
    return 100;
  if (wait_for_expiry_)
    return 0;
  const std::int64_t unknown_percent = unknown_count_ * MaxSharePercent();
  return std::max<std::int64_t>(0, 100 - unknown_percent);
}

void Owner::MarkKnown(Instance& instance) {
  if (!std::exchange(instance.known, true))
    --unknown_count_;
}

std::int64_t Owner::MaxSharePercent() const {
  return instances_.size() >= kShareCapMinInstances ? kMaxSharePercent : 100;
}

void Owner::StartIncarnation(const std::string& name,
                             Instance& instance,
                             std::int64_t incarnation) {
  if (incarnation <= instance.incarnation) {
    return;
  }
  // Shares that an earlier owner gave to the earlier incarnation are never
  // reported, so that the owner has to wait until they have expired.
  wait_for_expiry_ = wait_for_expiry_ || !instance.known;
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

void Owner::AdoptReportedShares(
    Time now,
    const std::string& name,
    Instance& instance,
    const std::vector<messages::ShareReport>& reports) {
  instance.confirmed = true;
  MarkKnown(instance);
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
    bucket.next_expiry = std::min(bucket.next_expiry, share.lease_end);
    AddTotals(bucket, share, 1);
    bucket.shares[ShareKey(name, instance.incarnation)] = share;
    bucket.level_micros = std::min(bucket.level_micros, FreeCapacity(bucket));
  }
}

}  // namespace goldcrest::quota
