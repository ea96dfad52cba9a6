#include "goldcrest/quota/owner.h"

#include <algorithm>

#include "percent.h"

namespace goldcrest::quota {
namespace {

// Parts of a limit that the owner keeps, to grant tokens for waiting requests
// at once. While its level is high, entries get large shares, which last
// through a failover of the owner. While it is low, tokens unused in one share
// would be missing in another, so that the owner keeps most of the limit. An
// owner with a full level needs no rate.
constexpr std::int64_t kKeptBurstPercentWhenFull = 20;
constexpr std::int64_t kKeptBurstPercentWhenEmpty = 90;
constexpr std::int64_t kKeptRatePercentWhenFull = 0;
constexpr std::int64_t kKeptRatePercentWhenEmpty = 95;

// An entry with waiting requests that has not reported for this long no longer
// takes precedence over entries that began to wait later.
constexpr Duration kWaitingEntryTimeout = std::chrono::milliseconds(100);

// The owner's level counts as full from this part of its free capacity on.
constexpr std::int64_t kFullLevelPercent = 95;

// Time in which the smoothed fill of the level rises from 0 to 1000 permille:
// entries get large shares again only after the level has been high this long.
constexpr Duration kFillRiseTime = std::chrono::seconds(1);
constexpr std::int64_t kPermille = 1000;

// An entry whose part of the burst would be smaller gets single tokens on
// demand instead, since a bucket of less than one token never yields one. A
// larger share lets the entry admit requests while there is no owner.
constexpr std::int64_t kMinShareCapacityMicros = kRequestMicros;

// Changes of a share below this part of the limit are not sent.
constexpr std::int64_t kMinChangePercent = 2;

// Returns amount * part / whole, without overflow; 0 if `whole` is not
// positive.
std::int64_t Scale(std::int64_t amount, std::int64_t part, std::int64_t whole) {
  if (whole <= 0) {
    return 0;
  }
  return static_cast<std::int64_t>(static_cast<__int128>(amount) * part /
                                   whole);
}

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

// An update without a share. It tells an entry the term of the owner, and that
// its next report has to be full.
messages::ShareUpdate MakeTermUpdate(std::int64_t term) {
  messages::ShareUpdate update;
  update.owner_term = term;
  return update;
}

}  // namespace

Owner::Owner(std::int64_t term,
             Time takeover,
             const std::map<std::string, std::int64_t>& registered)
    : term_(term),
      ready_at_(takeover + kShareExpiry),
      unknown_count_(static_cast<std::int64_t>(registered.size())) {
  for (const auto& [name, incarnation] : registered) {
    instances_[name].incarnation = incarnation;
  }
}

void Owner::SetLimit(Time now, const std::string& customer, Limit limit) {
  Bucket& bucket = buckets_[customer];
  Advance(bucket, now);
  bucket.limit = limit;
  bucket.level_micros = std::min(bucket.level_micros, FreeCapacity(bucket));
}

void Owner::RemoveLimit(Time now, const std::string& customer) {
  Bucket& bucket = buckets_[customer];
  Advance(bucket, now);
  bucket.limit.reset();
  bucket.level_micros = 0;
}

void Owner::Register(const std::string& instance, std::int64_t incarnation) {
  const auto [place, added] = instances_.try_emplace(instance);
  if (added) {
    place->second = {.incarnation = incarnation, .known = true};
    return;
  }
  StartIncarnation(instance, place->second, incarnation);
}

std::vector<messages::ShareUpdate> Owner::OnReport(
    Time now,
    const std::string& instance,
    std::int64_t incarnation,
    const std::vector<messages::ShareReport>& reports,
    Duration idle_for) {
  std::vector<messages::ShareUpdate> updates;
  const auto place = instances_.find(instance);
  if (place == instances_.end() || incarnation < place->second.incarnation) {
    return updates;
  }
  StartIncarnation(instance, place->second, incarnation);
  const std::int64_t newest_term =
      reports.empty() || !reports.front().customer.empty()
          ? 0
          : reports.front().owner_term;
  if (newest_term > term_) {
    return updates;
  }
  if (newest_term < term_) {
    // Updates of an earlier owner may still be in transit to this entry. Once
    // the entry knows the new term it ignores them, so that they can't change
    // what its next report says.
    return {MakeTermUpdate(term_)};
  }
  place->second.idle_since = now - idle_for;
  if (!place->second.confirmed) {
    if (!reports.empty() && reports.front().partial) {
      return {MakeTermUpdate(term_)};
    }
    AdoptReportedShares(now, instance, place->second, reports);
  }
  Ready(now);
  for (const messages::ShareReport& report : reports) {
    if (report.customer.empty()) {
      continue;
    }
    auto update = AnswerReport(now, ShareKey(instance, incarnation), report);
    if (update) {
      updates.push_back(*std::move(update));
    }
  }
  return updates;
}

void Owner::Release(Time now, const std::string& instance) {
  DropShares(now, instance);
  const auto place = instances_.find(instance);
  if (place == instances_.end()) {
    return;
  }
  MarkKnown(place->second);
  instances_.erase(place);
}

void Owner::DropShares(Time now, const std::string& instance) {
  for (auto& [customer, bucket] : buckets_) {
    Advance(bucket, now);
    for (auto share = bucket.shares.begin(); share != bucket.shares.end();) {
      if (share->first.first != instance) {
        ++share;
        continue;
      }
      AddTotals(bucket, share->second, -1);
      bucket.waiting.erase({share->second.wanted_since, share->first});
      share = bucket.shares.erase(share);
    }
  }
}

Owner::Totals Owner::HeldBy(const Share& share) {
  Totals held{share.confirmed.rate_micros,
              std::max(share.confirmed.capacity_micros, share.level_bound),
              share.demand_micros};
  if (!share.sent) {
    return held;
  }
  // An unconfirmed update may or may not have been applied: its tokens count in
  // addition to the level, and a decrease does not count yet.
  held.rate_micros = std::max(held.rate_micros, share.sent->rate_micros);
  held.capacity_micros =
      std::max(held.capacity_micros + share.sent->added_micros,
               share.sent->capacity_micros);
  return held;
}

void Owner::AddTotals(Bucket& bucket, const Share& share, int sign) {
  const Totals held = HeldBy(share);
  bucket.held.rate_micros += sign * held.rate_micros;
  bucket.held.capacity_micros += sign * held.capacity_micros;
  bucket.held.demand_micros += sign * held.demand_micros;
}

std::int64_t Owner::FreeRate(const Bucket& bucket) const {
  return bucket.limit
             ? std::max<std::int64_t>(
                   Percent(bucket.limit->rate_micros, UsablePercent()) -
                       bucket.held.rate_micros,
                   0)
             : 0;
}

std::int64_t Owner::FreeCapacity(const Bucket& bucket) const {
  return bucket.limit
             ? std::max<std::int64_t>(
                   Percent(bucket.limit->burst_micros, UsablePercent()) -
                       bucket.held.capacity_micros,
                   0)
             : 0;
}

void Owner::Advance(Bucket& bucket, Time now) {
  if (now >= reserve_until_)
    bucket.reserve_micros = 0;
  if (now > bucket.refilled_at) {
    Refill(FreeRate(bucket), FreeCapacity(bucket), now - bucket.refilled_at,
           bucket.level_micros, bucket.remainder);
    const std::int64_t rise =
        kPermille * std::min(now - bucket.refilled_at, kFillRiseTime) /
        kFillRiseTime;
    bucket.smoothed_fill_permille =
        std::min(bucket.smoothed_fill_permille + rise,
                 Scale(kPermille, bucket.level_micros, FreeCapacity(bucket)));
    bucket.refilled_at = now;
  }
  if (now >= bucket.next_expiry) {
    DropExpired(bucket, now);
  }
}

void Owner::DropExpired(Bucket& bucket, Time now) {
  bucket.next_expiry = kNever;
  for (auto share = bucket.shares.begin(); share != bucket.shares.end();) {
    if (now < share->second.lease_end) {
      bucket.next_expiry =
          std::min(bucket.next_expiry, share->second.lease_end);
      ++share;
      continue;
    }
    // Frees only the capacity: the tokens of the share may have been taken.
    AddTotals(bucket, share->second, -1);
    bucket.waiting.erase({share->second.wanted_since, share->first});
    share = bucket.shares.erase(share);
  }
}

// Updates the confirmed share from the entry's report. Returns false if the
// report is older than the confirmed state.
bool Owner::ConfirmShare(Bucket& bucket,
                         Share& share,
                         const messages::ShareReport& report) const {
  const bool own_term = report.owner_term == term_;
  if (share.sent && own_term && report.share_sequence == share.sent->sequence) {
    const std::int64_t ceiling =
        std::max(share.sent->capacity_micros, share.sent->added_micros);
    share.confirmed = *share.sent;
    share.level_bound = std::min(report.level_micros, ceiling);
    share.sent.reset();
    bucket.level_micros +=
        std::max<std::int64_t>(report.level_micros - ceiling, 0);
  } else if (!share.sent && share.confirmed.sequence == 0 &&
             HeldBy(share).capacity_micros == 0) {
    // The owner has no record of the share, so what the report names has
    // expired.
    share.demand_micros = report.demand_micros;
    return true;
  } else if (own_term ? report.share_sequence != share.confirmed.sequence
                      : share.confirmed.sequence != 0) {
    return false;
  }
  // A share that has expired at the entry is reported with less than was given.
  share.confirmed.rate_micros =
      std::min(share.confirmed.rate_micros, report.rate_micros);
  share.confirmed.capacity_micros =
      std::min(share.confirmed.capacity_micros, report.capacity_micros);
  share.level_bound = std::min(share.level_bound, report.level_micros);
  share.demand_micros = report.demand_micros;
  return true;
}

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
  needed = std::min(needed, bucket.level_micros + bucket.reserve_micros -
                                TokensWantedEarlier(bucket, share));
  needed = std::max<std::int64_t>(needed, 0);
  if (capacity_micros == 0) {
    needed -= needed % kRequestMicros;  // a part of a token can't be used
  }
  return needed;
}

// Returns what the entry should hold now; the sequence is set by the caller.
Owner::Grant Owner::DecideGrant(const Bucket& bucket,
                                const Share& share,
                                const messages::ShareReport& report) const {
  Grant grant = share.confirmed;
  grant.added_micros = 0;
  if (UsablePercent() == 0) {
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
      Scale(limit.burst_micros - kept_burst, report.demand_micros, demand);
  const std::int64_t kept_rate =
      Percent(limit.rate_micros,
              KeptPercent(bucket.smoothed_fill_permille,
                          kKeptRatePercentWhenEmpty, kKeptRatePercentWhenFull));
  std::int64_t rate =
      Scale(limit.rate_micros - kept_rate, report.demand_micros, demand);
  capacity = std::min(capacity, Percent(limit.burst_micros, MaxSharePercent()));
  rate = std::min(rate, Percent(limit.rate_micros, MaxSharePercent()));
  if (capacity < kMinShareCapacityMicros) {
    capacity = 0;
    rate = 0;
  }
  const std::int64_t free_capacity = FreeCapacity(bucket);
  if (report.level_micros >= share.confirmed.capacity_micros &&
      bucket.level_micros < Percent(free_capacity, kFullLevelPercent)) {
    rate = 0;
  }
  grant.capacity_micros =
      MoveTowards(grant.capacity_micros, capacity, free_capacity - kept_burst,
                  Percent(limit.burst_micros, kMinChangePercent));
  grant.rate_micros =
      MoveTowards(grant.rate_micros, rate, FreeRate(bucket) - kept_rate,
                  Percent(limit.rate_micros, kMinChangePercent));

  // An increase of the capacity gets its proportional part of the tokens that
  // the owner keeps.
  const std::int64_t increase = std::max<std::int64_t>(
      grant.capacity_micros - share.confirmed.capacity_micros, 0);
  grant.added_micros = Scale(bucket.level_micros, increase, free_capacity);
  grant.added_micros =
      std::max(grant.added_micros,
               TokensNeeded(bucket, share, report, grant.capacity_micros));
  return grant;
}

std::optional<messages::ShareUpdate> Owner::AnswerReport(
    Time now,
    const ShareKey& key,
    const messages::ShareReport& report) {
  Bucket& bucket = buckets_[report.customer];
  Advance(bucket, now);
  if (!bucket.limit) {
    return std::nullopt;
  }
  Share& share = bucket.shares[key];
  AddTotals(bucket, share, -1);
  const bool current = ConfirmShare(bucket, share, report);
  AddTotals(bucket, share, 1);
  bucket.level_micros = std::min(bucket.level_micros, FreeCapacity(bucket));
  if (current) {
    UpdateWaiting(
        now, bucket, key, share,
        std::max<std::int64_t>(report.wanted_micros - report.level_micros, 0));
  }
  if (current && !share.sent) {
    Grant grant = DecideGrant(bucket, share, report);
    const bool adopted = share.confirmed.sequence == 0 &&
                         (grant.rate_micros > 0 || grant.capacity_micros > 0);
    // Takes back tokens above the capacity that no request waits for.
    const bool unused =
        report.wanted_micros == 0 && share.level_bound > grant.capacity_micros;
    if (adopted || unused || grant.added_micros > 0 ||
        grant.rate_micros != share.confirmed.rate_micros ||
        grant.capacity_micros != share.confirmed.capacity_micros) {
      grant.sequence = ++last_sequence_;
      AddTotals(bucket, share, -1);
      share.sent = grant;
      AddTotals(bucket, share, 1);
      const std::int64_t of_level =
          std::min(grant.added_micros, bucket.level_micros);
      bucket.level_micros -= of_level;
      bucket.reserve_micros -= grant.added_micros - of_level;
      UpdateWaiting(
          now, bucket, key, share,
          std::max<std::int64_t>(share.wanted_micros - grant.added_micros, 0));
      bucket.level_micros = std::min(bucket.level_micros, FreeCapacity(bucket));
    }
  }
  share.lease_end = now + kShareExpiry;
  bucket.next_expiry = std::min(bucket.next_expiry, share.lease_end);
  const Grant& grant = share.sent ? *share.sent : share.confirmed;
  if (grant.sequence == 0) {
    return std::nullopt;
  }
  messages::ShareUpdate update;
  update.customer = report.customer;
  update.share_sequence = grant.sequence;
  update.owner_term = term_;
  update.rate_micros = grant.rate_micros;
  update.capacity_micros = grant.capacity_micros;
  update.added_micros = grant.added_micros;
  update.lease_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(kShareLease)
          .count();
  return update;
}

}  // namespace goldcrest::quota
