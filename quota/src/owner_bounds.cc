// The bounds of standing shares, which outlast the owner, and what follows from
// them after a takeover.

#include <algorithm>
#include <utility>

#include "goldcrest/quota/owner.h"
#include "percent.h"

namespace goldcrest::quota {
namespace {

// Bounds are recorded in steps, so that they change seldom.
constexpr int kBoundStepPercent = 10;

// Where the shares of single entries are capped, the owner keeps one tenth of
// each limit out of the standing shares: it is what a new owner can give out
// although no share is known to it. In a smaller fleet one entry may hold all.
constexpr int kMaxBoundPercent = 90;

// A bound falls after this time without need of it, and by two steps at least,
// so that demand that changes does not change the record each time.
constexpr Duration kBoundFallTime = std::chrono::seconds(3);

// A bound that is not recorded by then is returned again.
constexpr Duration kBoundRecordTimeout = std::chrono::seconds(1);

// The part of a burst that no entry holds, not even above its capacity. A new
// owner can give it out before such tokens are void. One token in a burst of
// less than ten would cost more than it is worth.
constexpr std::int64_t kUnheldBurstPercent = 10;
constexpr std::int64_t kMinBurstForUnheld = 10 * kRequestMicros;

std::int64_t UnheldBurst(const Limit& limit) {
  return limit.burst_micros < kMinBurstForUnheld
             ? 0
             : std::max(Percent(limit.burst_micros, kUnheldBurstPercent),
                        kRequestMicros);
}

std::int64_t CeilPercent(std::int64_t part, std::int64_t whole) {
  return whole <= 0
             ? 0
             : static_cast<std::int64_t>(
                   (static_cast<__int128>(part) * 100 + whole - 1) / whole);
}

}  // namespace

void Owner::OnBoundRecorded(Time now,
                            const std::string& customer,
                            int percent) {
  Bucket& bucket = buckets_[customer];
  Advance(bucket, now);
  // Until the first share is known, records are those of earlier owners.
  const bool first = bucket.adopted.rate_micros == 0 && bucket.shares.empty() &&
                     bucket.recorded_percent == 100;
  bucket.takeover_percent =
      first ? percent : std::max(bucket.takeover_percent, percent);
  bucket.recorded_percent = percent;
  if (bucket.proposed_percent == percent)
    bucket.proposed_percent.reset();
}

// The bound that the next owner certainly finds.
int Owner::UsableBoundPercent(const Bucket& bucket) {
  return std::min(bucket.recorded_percent,
                  bucket.proposed_percent.value_or(100));
}

std::map<std::string, int> Owner::BoundsToRecord(Time now) {
  std::map<std::string, int> bounds;
  if (!Ready(now))
    return bounds;
  const int max_percent = MaxSharePercent() < 100 ? kMaxBoundPercent : 100;
  for (auto& [customer, bucket] : buckets_) {
    if (!bucket.limit)
      continue;
    if (bucket.proposed_percent) {
      if (now - bucket.proposed_at < kBoundRecordTimeout)
        continue;
      bucket.proposed_at = now;
      bounds[customer] = *bucket.proposed_percent;
      continue;
    }
    Advance(bucket, now);
    const auto held = static_cast<int>(std::min<std::int64_t>(
        100, std::max(CeilPercent(bucket.held.rate_micros,
                                  bucket.limit->rate_micros),
                      CeilPercent(bucket.held.standing_micros,
                                  bucket.limit->burst_micros))));
    const int needed =
        (held + kBoundStepPercent - 1) / kBoundStepPercent * kBoundStepPercent;
    int percent = bucket.recorded_percent;
    if (std::exchange(bucket.bound_short, false) && percent < max_percent) {
      percent = std::min(percent + 2 * kBoundStepPercent, max_percent);
      bucket.bound_used_at = now;
    } else if (needed > percent - 2 * kBoundStepPercent &&
               percent <= max_percent) {
      bucket.bound_used_at = now;
    } else if (now - bucket.bound_used_at >= kBoundFallTime) {
      percent = std::min(needed, max_percent);
    }
    if (percent == bucket.recorded_percent || percent < held)
      continue;
    bucket.proposed_percent = percent;
    bucket.proposed_at = now;
    bounds[customer] = percent;
  }
  return bounds;
}

// What instances whose shares are not known may hold of a limit. All standing
// shares of the earlier owner fit into its bound, so that what known instances
// held of it is not held by others.
Owner::Totals Owner::UnknownHeld(const Bucket& bucket) const {
  Totals unknown;
  if (ready_ || !bucket.limit)
    return unknown;
  const Limit& limit = *bucket.limit;
  const std::int64_t cap_percent = std::min<std::int64_t>(
      100, (unknown_count_ + lost_count_) * MaxSharePercent());
  const auto held_of = [&](std::int64_t whole, std::int64_t adopted) {
    const std::int64_t bound = Percent(whole, bucket.takeover_percent);
    return std::clamp<std::int64_t>(bound - adopted, 0,
                                    Percent(whole, cap_percent));
  };
  unknown.rate_micros = held_of(limit.rate_micros, bucket.adopted.rate_micros);
  unknown.standing_micros =
      held_of(limit.burst_micros, bucket.adopted.capacity_micros);
  unknown.capacity_micros = unknown.standing_micros;
  if (bucket.refilled_at < excess_void_at_)
    unknown.capacity_micros =
        std::max<std::int64_t>(limit.burst_micros - UnheldBurst(limit) -
                                   bucket.adopted.capacity_micros,
                               unknown.standing_micros);
  return unknown;
}

// What may still be added to standing shares.
Owner::Totals Owner::BoundLeft(const Bucket& bucket) const {
  const int percent = UsableBoundPercent(bucket);
  const Totals unknown = UnknownHeld(bucket);
  Totals left;
  left.rate_micros = Percent(bucket.limit->rate_micros, percent) -
                     unknown.rate_micros - bucket.held.rate_micros;
  left.standing_micros = Percent(bucket.limit->burst_micros, percent) -
                         unknown.standing_micros - bucket.held.standing_micros;
  return left;
}

// Tokens that entries may get above their capacities.
std::int64_t Owner::MovableLevel(const Bucket& bucket) const {
  const Limit& limit = *bucket.limit;
  return std::clamp<std::int64_t>(
      limit.burst_micros - UnheldBurst(limit) - bucket.held.capacity_micros, 0,
      bucket.level_micros);
}

// A share that is used stays as it is while the owner can't tell yet how much
// it can give out instead, unless the limit has been lowered.
bool Owner::KeepsShare(Time now,
                       const Bucket& bucket,
                       const Share& share,
                       const messages::ShareReport& report) const {
  return (!ready_ || now < settled_at_) && share.confirmed.rate_micros > 0 &&
         2 * report.demand_micros >= share.confirmed.rate_micros &&
         bucket.held.rate_micros <= bucket.limit->rate_micros &&
         bucket.held.standing_micros <= bucket.limit->burst_micros;
}

// Ends what has passed under the conditions of before a change.
void Owner::AdvanceAll(Time now) {
  for (auto& [customer, bucket] : buckets_)
    Advance(bucket, now);
}

std::int64_t Owner::WithheldPercent() const {
  std::int64_t withheld = 0;
  std::int64_t whole = 0;
  for (const auto& [customer, bucket] : buckets_) {
    if (!bucket.limit)
      continue;
    withheld += UnknownHeld(bucket).rate_micros;
    whole += bucket.limit->rate_micros;
  }
  return CeilPercent(withheld, whole);
}

}  // namespace goldcrest::quota
