#include "goldcrest/quota/owner.h"

#include <algorithm>

#include "percent.h"

namespace goldcrest::quota {
namespace {

// Parts of a limit that the owner keeps to answer requests for tokens at once.
// While its level is high, entries get large shares, which last through a
// failover of the owner. While it is low, tokens that lie unused in one share
// are missed in another, so that the owner keeps most of them. A full owner
// needs no rate.
constexpr std::int64_t kBurstReservePercent = 20;
constexpr std::int64_t kScarceBurstReservePercent = 90;
constexpr std::int64_t kRateReservePercent = 0;
constexpr std::int64_t kScarceRateReservePercent = 95;

// A waiting entry that has not reported for this long is not waited for.
constexpr Duration kWaitingExpiry = std::chrono::milliseconds(100);

// The owner's level counts as full from here on.
constexpr std::int64_t kFullPercent = 95;

// How long the level must be high before entries get large shares again.
constexpr Duration kPlentyRise = std::chrono::seconds(1);
constexpr std::int64_t kPermille = 1000;

// An entry whose part of the burst would be smaller gets single tokens on
// demand instead: a bucket of less than one token never yields one. Above that
// a share lets the entry go on while there is no owner.
constexpr std::int64_t kMinCapacityMicros = kRequestMicros;

// Share changes below this part of the limit are not worth an update.
constexpr std::int64_t kMinChangePercent = 2;

// amount * part / whole, without overflow.
std::int64_t Scale(std::int64_t amount, std::int64_t part, std::int64_t whole) {
  if (whole <= 0) {
    return 0;
  }
  return static_cast<std::int64_t>(static_cast<__int128>(amount) * part /
                                   whole);
}

// From `scarce` percent down to `plenty` percent.
std::int64_t ReservePercent(std::int64_t plenty_permille,
                            std::int64_t scarce,
                            std::int64_t plenty) {
  return scarce - (scarce - plenty) * plenty_permille / kPermille;
}

// Moves from `held` towards `target`, by at most `free` upwards. Small moves
// are left out, except to zero.
std::int64_t Move(std::int64_t held,
                  std::int64_t target,
                  std::int64_t free,
                  std::int64_t min_change) {
  const std::int64_t reachable =
      std::min(target, held + std::max<std::int64_t>(free, 0));
  const std::int64_t change =
      reachable > held ? reachable - held : held - reachable;
  return change < min_change && reachable != 0 ? held : reachable;
}

// Names no share: tells an entry which owner answers it, and that its next
// report has to be full.
messages::ShareUpdate TermOnly(std::int64_t term) {
  messages::ShareUpdate update;
  update.owner_term = term;
  return update;
}

}  // namespace

Owner::Owner(std::int64_t term,
             Time takeover,
             const std::map<std::string, std::int64_t>& registered)
    : term_(term), ready_at_(takeover + kShareExpiry) {
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
    Duration quiet) {
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
    // Updates of an earlier owner may still be on their way to this entry. Once
    // it knows the new term it ignores them, so that its next report is final.
    return {TermOnly(term_)};
  }
  place->second.quiet_since = now - quiet;
  if (!place->second.confirmed) {
    if (!reports.empty() && reports.front().partial) {
      return {TermOnly(term_)};
    }
    Adopt(now, instance, place->second, reports);
  }
  Ready(now);
  for (const messages::ShareReport& report : reports) {
    if (report.customer.empty()) {
      continue;
    }
    auto update = Answer(now, ShareKey(instance, incarnation), report);
    if (update) {
      updates.push_back(*std::move(update));
    }
  }
  return updates;
}

void Owner::Release(Time now, const std::string& instance) {
  DropShares(now, instance);
  instances_.erase(instance);
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
  // Until it is confirmed, an update may be applied or not: tokens on their way
  // come on top of the level, and a decrease has not happened yet.
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
    const std::int64_t rise = kPermille *
                              std::min(now - bucket.refilled_at, kPlentyRise) /
                              kPlentyRise;
    bucket.plenty_permille =
        std::min(bucket.plenty_permille + rise,
                 Scale(kPermille, bucket.level_micros, FreeCapacity(bucket)));
    bucket.refilled_at = now;
  }
  if (now >= bucket.next_lapse) {
    DropLapsed(bucket, now);
  }
}

void Owner::DropLapsed(Bucket& bucket, Time now) {
  bucket.next_lapse = kNever;
  for (auto share = bucket.shares.begin(); share != bucket.shares.end();) {
    if (now < share->second.lease_end) {
      bucket.next_lapse = std::min(bucket.next_lapse, share->second.lease_end);
      ++share;
      continue;
    }
    // Its tokens may have been taken: only the capacity comes back.
    AddTotals(bucket, share->second, -1);
    bucket.waiting.erase({share->second.wanted_since, share->first});
    share = bucket.shares.erase(share);
  }
}

// Takes in what the entry says of its share. False when the report is older
// than what is known already.
bool Owner::Confirm(Bucket& bucket,
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
    // A new record: what the report names has lapsed.
    share.demand_micros = report.demand_micros;
    return true;
  } else if (own_term ? report.share_sequence != share.confirmed.sequence
                      : share.confirmed.sequence != 0) {
    return false;
  }
  // A share that has lapsed on the entry is reported with less than was given.
  share.confirmed.rate_micros =
      std::min(share.confirmed.rate_micros, report.rate_micros);
  share.confirmed.capacity_micros =
      std::min(share.confirmed.capacity_micros, report.capacity_micros);
  share.level_bound = std::min(share.level_bound, report.level_micros);
  share.demand_micros = report.demand_micros;
  return true;
}

// Tokens that entries wait for which began to wait before this one. Without it,
// an entry that reports at a lucky time is served before one that waits longer.
std::int64_t Owner::OwedBefore(const Bucket& bucket, const Share& share) const {
  std::int64_t owed = 0;
  for (const auto& [since, key] : bucket.waiting) {
    const Share& other = bucket.shares.at(key);
    if (&other == &share) {
      break;
    }
    owed += bucket.refilled_at - other.reported_at <= kWaitingExpiry
                ? other.wanted_micros
                : 0;
  }
  return owed;
}

// Keeps the entries that wait in the order in which they began to.
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
    bucket.waiting.insert({share.wanted_since, key});
  }
}

// Tokens for the requests that wait at the entry.
std::int64_t Owner::Needed(const Bucket& bucket,
                           const Share& share,
                           const messages::ShareReport& report,
                           std::int64_t capacity_micros) const {
  std::int64_t needed =
      std::max<std::int64_t>(report.wanted_micros - report.level_micros, 0);
  needed = std::min(needed, bucket.level_micros + bucket.reserve_micros -
                                OwedBefore(bucket, share));
  needed = std::max<std::int64_t>(needed, 0);
  if (capacity_micros == 0) {
    needed -= needed % kRequestMicros;  // part of a token can't be used
  }
  return needed;
}

// What the entry should hold now, without a sequence.
Owner::Grant Owner::Decide(const Bucket& bucket,
                           const Share& share,
                           const messages::ShareReport& report) const {
  Grant grant = share.confirmed;
  grant.added_micros = 0;
  if (UsablePercent() == 0) {
    // Of the limit nothing is known to be free; the reserve is.
    grant.added_micros = Needed(bucket, share, report, grant.capacity_micros);
    return grant;
  }
  const Limit& limit = *bucket.limit;
  const std::int64_t reserve = std::max(
      Percent(limit.burst_micros,
              ReservePercent(bucket.plenty_permille, kScarceBurstReservePercent,
                             kBurstReservePercent)),
      std::min(limit.burst_micros, kRequestMicros));
  const std::int64_t demand = bucket.held.demand_micros;
  std::int64_t capacity =
      Scale(limit.burst_micros - reserve, report.demand_micros, demand);
  const std::int64_t rate_reserve =
      Percent(limit.rate_micros,
              ReservePercent(bucket.plenty_permille, kScarceRateReservePercent,
                             kRateReservePercent));
  std::int64_t rate =
      Scale(limit.rate_micros - rate_reserve, report.demand_micros, demand);
  capacity = std::min(capacity, Percent(limit.burst_micros, MaxSharePercent()));
  rate = std::min(rate, Percent(limit.rate_micros, MaxSharePercent()));
  if (capacity < kMinCapacityMicros) {
    capacity = 0;
    rate = 0;
  }
  const std::int64_t free_capacity = FreeCapacity(bucket);
  if (report.level_micros >= share.confirmed.capacity_micros &&
      bucket.level_micros < Percent(free_capacity, kFullPercent)) {
    rate = 0;
  }
  grant.capacity_micros =
      Move(grant.capacity_micros, capacity, free_capacity - reserve,
           Percent(limit.burst_micros, kMinChangePercent));
  grant.rate_micros =
      Move(grant.rate_micros, rate, FreeRate(bucket) - rate_reserve,
           Percent(limit.rate_micros, kMinChangePercent));

  // Tokens move with capacity: an increase brings its part of the owner's
  // level.
  const std::int64_t increase = std::max<std::int64_t>(
      grant.capacity_micros - share.confirmed.capacity_micros, 0);
  grant.added_micros = Scale(bucket.level_micros, increase, free_capacity);
  grant.added_micros = std::max(
      grant.added_micros, Needed(bucket, share, report, grant.capacity_micros));
  return grant;
}

std::optional<messages::ShareUpdate> Owner::Answer(
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
  const bool current = Confirm(bucket, share, report);
  AddTotals(bucket, share, 1);
  bucket.level_micros = std::min(bucket.level_micros, FreeCapacity(bucket));
  if (current) {
    UpdateWaiting(
        now, bucket, key, share,
        std::max<std::int64_t>(report.wanted_micros - report.level_micros, 0));
  }
  if (current && !share.sent) {
    Grant grant = Decide(bucket, share, report);
    const bool adopted = share.confirmed.sequence == 0 &&
                         (grant.rate_micros > 0 || grant.capacity_micros > 0);
    // Tokens above the capacity that no request waits for are taken back.
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
  bucket.next_lapse = std::min(bucket.next_lapse, share.lease_end);
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
