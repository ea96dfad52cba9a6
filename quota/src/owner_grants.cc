// How much an entry gets with an answer.

#include <algorithm>
#include <utility>

#include "goldcrest/quota/owner.h"
#include "percent.h"

namespace goldcrest::quota {
namespace {

// Parts of a limit that the owner keeps, to grant tokens for waiting requests
// at once. While its level is high, entries get large shares, which last
// through a failover of the owner. While it is low, tokens unused in one share
// would be missing in another. An owner with a full level needs no rate. The
// parts of the rate count only for entries that always refill their shares.
constexpr std::int64_t kKeptBurstPercentWhenFull = 20;
constexpr std::int64_t kKeptBurstPercentWhenEmpty = 50;
constexpr std::int64_t kKeptRatePercentWhenFull = 0;
constexpr std::int64_t kKeptRatePercentWhenEmpty = 95;

// An entry with waiting requests that has not reported for this long no longer
// takes precedence over entries that began to wait later.
constexpr Duration kWaitingEntryTimeout = std::chrono::milliseconds(100);

// The owner's level counts as full from this part of its free capacity on.
constexpr std::int64_t kFullLevelPercent = 95;

// An entry whose part of the burst would be smaller gets single tokens on
// demand instead, since a bucket of less than one token never yields one. A
// larger share lets the entry admit requests while there is no owner.
constexpr std::int64_t kMinShareCapacityMicros = kRequestMicros;

// Changes of a share below this part of the limit are not sent.
constexpr std::int64_t kMinChangePercent = 2;

// Interpolates from `when_empty` percent at 0 permille to `when_full` percent
// at 1000 permille.
std::int64_t KeptPercent(std::int64_t smoothed_fill_permille,
                         std::int64_t when_empty,
                         std::int64_t when_full) {
  return when_empty -
         (when_empty - when_full) * smoothed_fill_permille / kPermille;
}

// Returns the amount to hold next: `target`, but at most `free` above `held`.
// Changes below `min_change` are skipped, except to zero.
std::int64_t MoveTowards(std::int64_t held,
                         std::int64_t target,
                         std::int64_t free,
                         std::int64_t min_change) {
  const std::int64_t reachable =
      std::min(target, held + std::max<std::int64_t>(free, 0));
  const std::int64_t change =
      reachable > held ? reachable - held : held - reachable;
  return change < min_change && reachable != 0 ? held : reachable;
}

}  // namespace

// Tokens wanted by entries that began to wait before this one, or all that are
// available if they want more. They are served first, so that an entry that
// reports just when tokens are free does not overtake one that has waited
// longer.
std::int64_t Owner::TokensWantedEarlier(const Bucket& bucket,
                                        const Share& share) const {
  const std::int64_t available = bucket.level_micros + bucket.reserve_micros;
  std::int64_t owed = 0;
  for (const auto& [since, other] : bucket.waiting) {
    // In a large fleet most entries may wait.
    if (other == &share || owed >= available) {
      break;
    }
    owed += bucket.refilled_at - other->reported_at <= kWaitingEntryTimeout
                ? other->wanted_micros
                : 0;
  }
  return owed;
}

// Updates the queue of waiting entries, ordered by when they began to wait.
void Owner::UpdateWaiting(Time now,
                          Bucket& bucket,
                          const ShareKey& key,
                          Share& share,
                          std::int64_t wanted_micros) {
  if (share.wanted_micros > 0) {
    bucket.waiting.erase({share.wanted_since, key});
  } else {
    share.wanted_since = now;
  }
  share.wanted_micros = wanted_micros;
  share.reported_at = now;
  if (wanted_micros > 0) {
    bucket.waiting[{share.wanted_since, key}] = &share;
  }
}

// Tokens to add for the requests that wait at the entry.
std::int64_t Owner::TokensNeeded(const Bucket& bucket,
                                 const Share& share,
                                 const messages::ShareReport& report,
                                 std::int64_t capacity_micros) const {
  std::int64_t needed =
      std::max<std::int64_t>(report.wanted_micros - report.level_micros, 0);
  needed = std::min(needed, MovableLevel(bucket) + bucket.reserve_micros -
                                TokensWantedEarlier(bucket, share));
  needed = std::max<std::int64_t>(needed, 0);
  if (capacity_micros == 0) {
    needed -= needed % kRequestMicros;  // a part of a token can't be used
  }
  return needed;
}

// Tokens to add before requests need them: as large a part of the capacity as
// the owner has of its own. Small additions are left for later answers.
std::int64_t Owner::TokensAhead(const Bucket& bucket,
                                const Share& share,
                                const messages::ShareReport& report,
                                const Grant& grant) const {
  const std::int64_t level =
      Scale(grant.capacity_micros, bucket.level_micros, FreeCapacity(bucket));
  const std::int64_t missing = level - report.level_micros;
  return missing < std::max(grant.capacity_micros / 16, kRequestMicros / 2)
             ? 0
             : std::clamp<std::int64_t>(
                   MovableLevel(bucket) - TokensWantedEarlier(bucket, share), 0,
                   missing);
}

// Returns what the entry should hold now; the sequence is set by the caller.
Owner::Grant Owner::DecideGrant(Time now,
                                Bucket& bucket,
                                const Share& share,
                                const messages::ShareReport& report,
                                bool has_contacts) const {
  Grant grant = share.confirmed;
  grant.added_micros = 0;
  if (!ready_ && FreeRate(bucket) == 0) {
    // No part of the limit is known to be free; only the reserve can be
    // granted.
    grant.added_micros =
        TokensNeeded(bucket, share, report, grant.capacity_micros);
    return grant;
  }
  const Limit& limit = *bucket.limit;
  const std::int64_t kept_burst = std::max(
      Percent(limit.burst_micros, KeptPercent(bucket.smoothed_fill_permille,
                                              kKeptBurstPercentWhenEmpty,
                                              kKeptBurstPercentWhenFull)),
      std::min(limit.burst_micros, kRequestMicros));
  const std::int64_t demand = bucket.held.demand_micros;
  std::int64_t capacity =
      Scale(limit.burst_micros - kept_burst, share.demand_micros, demand);
  const std::int64_t kept_rate =
      Percent(limit.rate_micros,
              KeptPercent(bucket.smoothed_fill_permille,
                          kKeptRatePercentWhenEmpty, kKeptRatePercentWhenFull));
  // The rate of a share that is in contact costs nothing.
  std::int64_t rate = Scale(limit.rate_micros - (has_contacts ? 0 : kept_rate),
                            share.demand_micros, demand);
  capacity = std::min(capacity, Percent(limit.burst_micros, MaxSharePercent()));
  rate = std::min(rate, Percent(limit.rate_micros, MaxSharePercent()));
  if (capacity < kMinShareCapacityMicros) {
    capacity = 0;
    rate = 0;
  }
  const std::int64_t free_capacity = FreeCapacity(bucket);
  if (!has_contacts && report.level_micros >= share.confirmed.capacity_micros &&
      bucket.level_micros < Percent(free_capacity, kFullLevelPercent)) {
    rate = 0;
  }
  if (KeepsShare(now, bucket, share, report)) {
    capacity = std::max(capacity, grant.capacity_micros);
    rate = std::max(rate, grant.rate_micros);
  }
  const Totals left = BoundLeft(bucket);
  const std::int64_t free_rate =
      FreeRate(bucket) - (has_contacts ? 0 : kept_rate);
  bucket.bound_short =
      bucket.bound_short ||
      std::min(capacity - grant.capacity_micros, free_capacity - kept_burst) >
          left.standing_micros ||
      std::min(rate - grant.rate_micros, free_rate) > left.rate_micros;
  grant.capacity_micros =
      MoveTowards(grant.capacity_micros, capacity,
                  std::min(free_capacity - kept_burst, left.standing_micros),
                  Percent(limit.burst_micros, kMinChangePercent));
  if (grant.capacity_micros < kMinShareCapacityMicros) {
    grant.capacity_micros = 0;
    rate = 0;
  }
  grant.rate_micros = MoveTowards(
      grant.rate_micros, rate, std::min(free_rate, left.rate_micros),
      Percent(limit.rate_micros, kMinChangePercent));

  // An increase of the capacity gets its proportional part of the tokens that
  // the owner keeps.
  const std::int64_t increase = std::max<std::int64_t>(
      grant.capacity_micros - share.confirmed.capacity_micros, 0);
  grant.added_micros = Scale(bucket.level_micros, increase, free_capacity);
  grant.added_micros =
      std::max({grant.added_micros,
                TokensNeeded(bucket, share, report, grant.capacity_micros),
                has_contacts ? TokensAhead(bucket, share, report, grant) : 0});
  return grant;
}

}  // namespace goldcrest::quota
