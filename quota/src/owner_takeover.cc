// How a new owner learns of the shares that earlier owners gave out, and what
// it may give out until it knows all of them.

#include <algorithm>
#include <limits>
#include <utility>

#include "goldcrest/quota/owner.h"
#include "percent.h"

namespace goldcrest::quota {
namespace {

// Largest share of one entry in a fleet of at least kShareCapMinInstances
// instances; the entry gets what it needs beyond it as single tokens. After a
// takeover the owner holds back no more than this for each entry whose report
// is missing; see UnknownHeld(). A fleet reaches that size before callers
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
  const bool known = lost_count_ == 0 && unknown_count_ == 0;
  if (!known && now < ready_at_) {
    return false;
  }
  AdvanceAll(now);
  ready_ = true;
  lost_count_ = 0;
  CreditTimeBefore();
  return true;
}

// Credits the tokens that the limits yielded before the takeover and that no
// entry can have: while no entry took one, for example during a restart of all
// entries, or after the last answer of an earlier owner.
void Owner::CreditTimeBefore() {
  Time idle_since;
  Time last_contact;
  for (const auto& [name, instance] : instances_) {
    idle_since = std::max(idle_since, instance.idle_since.value_or(takeover_));
    last_contact =
        std::max(last_contact, instance.last_contact.value_or(takeover_));
  }
  if (instances_.empty() || !credits_time_before_)
    return;
  const auto yield = [&](std::int64_t rate_micros, Time since) {
    std::int64_t tokens = 0;
    std::int64_t remainder = 0;
    if (since < takeover_)
      Refill(rate_micros, std::numeric_limits<std::int64_t>::max(),
             takeover_ - since, tokens, remainder);
    return tokens;
  };
  for (auto& [customer, bucket] : buckets_) {
    if (!bucket.limit)
      continue;
    const std::int64_t tokens =
        std::max({std::int64_t{0}, yield(FreeRate(bucket), idle_since),
                  yield(bucket.limit->rate_micros, last_contact) -
                      bucket.refilled_before});
    const std::int64_t room =
        std::max<std::int64_t>(FreeCapacity(bucket) - bucket.level_micros, 0);
    bucket.level_micros += std::min(tokens, room);
  }
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
  // reported, so that they count as held until they have expired.
  if (!instance.known)
    ++lost_count_;
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
  // What unknown instances may hold changes from now on.
  if (!ready_)
    AdvanceAll(now);
  const bool adopts = !ready_ && !instance.known;
  const bool has_header = !reports.empty() && reports.front().customer.empty();
  const Duration since_contact(has_header ? reports.front().since_contact_micros
                                          : 0);
  // Clocks may run at speeds that differ by 10%.
  if (has_header && reports.front().contact_micros != 0)
    instance.last_contact = now - since_contact + since_contact / 10;
  const Duration refilled = std::max<Duration>(
      (since_contact - kContactTimeout) * 11 / 10, Duration::zero());
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
    share.excess_end = now + kExcessExpiry;
    bucket.next_expiry = std::min(bucket.next_expiry, share.excess_end);
    if (adopts) {
      bucket.adopted.rate_micros += report.rate_micros;
      bucket.adopted.capacity_micros += report.capacity_micros;
      std::int64_t remainder = 0;
      Refill(report.rate_micros, std::numeric_limits<std::int64_t>::max(),
             refilled, bucket.refilled_before, remainder);
    }
    AddTotals(bucket, share, 1);
    bucket.shares[ShareKey(name, instance.incarnation)] = share;
    bucket.level_micros = std::min(bucket.level_micros, FreeCapacity(bucket));
  }
}

}  // namespace goldcrest::quota
