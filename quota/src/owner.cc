#include "goldcrest/quota/owner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "percent.h"

namespace goldcrest::quota {
namespace {

// Time in which the smoothed fill of the level rises from 0 to 1000 permille:
// entries get large shares again only after the level has been high this long.
constexpr Duration kFillRiseTime = std::chrono::seconds(1);

// Shortest time between two scans of a customer's shares for void tokens.
constexpr Duration kMinScanInterval = std::chrono::milliseconds(50);

// Time after a takeover in which shares that are used do not shrink. The owner
// starts with empty levels, by which it would otherwise take most of each share
// back.
constexpr Duration kSettleTime = std::chrono::seconds(2);

// Time constant of the average of an entry's reported demand.
constexpr std::chrono::duration<double> kDemandTimeConstant =
    std::chrono::seconds(2);

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
      takeover_(takeover),
      ready_at_(takeover + kShareExpiry),
      excess_void_at_(takeover + kExcessExpiry),
      settled_at_(takeover + kSettleTime),
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
  if (!reports.empty())
    OnContact(now, instance, place->second, reports.front());
  for (const messages::ShareReport& report : reports) {
    if (report.customer.empty()) {
      continue;
    }
    auto update = AnswerReport(now, ShareKey(instance, incarnation),
                               place->second, report);
    if (update) {
      updates.push_back(*std::move(update));
    }
  }
  if (place->second.has_contacts &&
      (!updates.empty() || !place->second.buckets.empty()))
    updates.insert(updates.begin(), MakeContactUpdate(now));
  return updates;
}

void Owner::Release(Time now, const std::string& instance) {
  DropShares(now, instance);
  const auto place = instances_.find(instance);
  if (place == instances_.end()) {
    return;
  }
  MarkKnown(place->second);
  // Its last contact with an earlier owner is not known any more.
  credits_time_before_ = credits_time_before_ && ready_;
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
  Totals held{share.confirmed.rate_micros, 0,
              std::max(share.confirmed.capacity_micros, share.level_bound),
              share.confirmed.capacity_micros, share.demand_micros};
  held.refilled_micros = share.refilled ? held.rate_micros : 0;
  if (!share.sent) {
    return held;
  }
  // An unconfirmed update may or may not have been applied: its tokens count in
  // addition to the level, and a decrease does not count yet.
  held.rate_micros = std::max(held.rate_micros, share.sent->rate_micros);
  // A share that is not refilled before the added tokens are void does not
  // have them in addition to a full capacity.
  const bool refills =
      !share.quiet || share.refilled || share.refilled_from < share.excess_end;
  held.capacity_micros =
      std::max({held.capacity_micros, share.sent->capacity_micros,
                (refills ? held.capacity_micros : share.level_bound) +
                    share.sent->added_micros});
  held.standing_micros =
      std::max(held.standing_micros, share.sent->capacity_micros);
  held.refilled_micros = share.refilled ? held.rate_micros : 0;
  return held;
}

void Owner::AddTotals(Bucket& bucket, const Share& share, int sign) {
  const Totals held = HeldBy(share);
  bucket.held.rate_micros += sign * held.rate_micros;
  bucket.held.capacity_micros += sign * held.capacity_micros;
  bucket.held.refilled_micros += sign * held.refilled_micros;
  bucket.held.standing_micros += sign * held.standing_micros;
  bucket.held.demand_micros += sign * held.demand_micros;
}

std::int64_t Owner::FreeRate(const Bucket& bucket) const {
  return bucket.limit
             ? std::max<std::int64_t>(bucket.limit->rate_micros -
                                          UnknownHeld(bucket).rate_micros -
                                          bucket.held.refilled_micros,
                                      0)
             : 0;
}

std::int64_t Owner::FreeCapacity(const Bucket& bucket) const {
  return bucket.limit
             ? std::max<std::int64_t>(bucket.limit->burst_micros -
                                          UnknownHeld(bucket).capacity_micros -
                                          bucket.held.capacity_micros,
                                      0)
             : 0;
}

void Owner::Advance(Bucket& bucket, Time now) {
  // What is free changes at these times.
  while (bucket.refilled_at < bucket.next_expiry && bucket.next_expiry < now)
    AdvanceTo(bucket, bucket.next_expiry);
  AdvanceTo(bucket, now);
}

void Owner::AdvanceTo(Bucket& bucket, Time now) {
  if (!ready_ && bucket.refilled_at < excess_void_at_ && now > excess_void_at_)
    AdvanceTo(bucket, excess_void_at_);
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

// Counts a share without the tokens above its capacity, which are void.
void Owner::VoidExcess(Bucket& bucket, Share& share) {
  AddTotals(bucket, share, -1);
  share.level_bound =
      std::min(share.level_bound, share.confirmed.capacity_micros);
  if (share.sent)
    share.sent->added_micros = 0;
  AddTotals(bucket, share, 1);
}

void Owner::DropExpired(Bucket& bucket, Time now) {
  bucket.next_expiry = kNever;
  for (auto share = bucket.shares.begin(); share != bucket.shares.end();) {
    if (now < share->second.lease_end) {
      UpdateRefilled(bucket, share->second, now);
      bucket.next_expiry =
          std::min(bucket.next_expiry, share->second.lease_end);
      const Totals held = HeldBy(share->second);
      if (held.capacity_micros > held.standing_micros) {
        if (now >= share->second.excess_end)
          VoidExcess(bucket, share->second);
        else
          bucket.next_expiry = std::min(
              bucket.next_expiry,
              std::max(share->second.excess_end, now + kMinScanInterval));
      }
      ++share;
      continue;
    }
    // Frees only the capacity: the tokens of the share may have been taken.
    AddTotals(bucket, share->second, -1);
    bucket.waiting.erase({share->second.wanted_since, share->first});
    share = bucket.shares.erase(share);
  }
}

// Averages the demand by which shares are sized. The reported demand covers
// less than a second, in which a customer with few requests may have none: a
// share that followed it would be gone when the next request arrives.
void Owner::UpdateDemand(Time now, Share& share, std::int64_t demand_micros) {
  const std::chrono::duration<double> elapsed =
      now - std::exchange(share.demand_at, now);
  const double weight = 1 - std::exp(-elapsed / kDemandTimeConstant);
  share.demand_micros += std::llround(
      weight * static_cast<double>(demand_micros - share.demand_micros));
}

// Updates the confirmed share from the entry's report. Returns false if the
// report is older than the confirmed state.
bool Owner::ConfirmShare(Time now,
                         Bucket& bucket,
                         Share& share,
                         const messages::ShareReport& report) const {
  const bool own_term = report.owner_term == term_;
  if (share.sent && own_term && report.share_sequence == share.sent->sequence) {
    const std::int64_t ceiling = share.sent->ceiling_micros;
    // Tokens of which the owner no longer knows are not taken back: the room
    // that they had may have been filled.
    const std::int64_t returned =
        std::min(report.level_micros, HeldBy(share).capacity_micros) - ceiling;
    share.confirmed = *share.sent;
    share.level_bound = std::min(report.level_micros, ceiling);
    if (now >= share.excess_end)
      share.level_bound =
          std::min(share.level_bound, share.confirmed.capacity_micros);
    share.sent.reset();
    bucket.level_micros += std::max<std::int64_t>(returned, 0);
  } else if (!share.sent && share.confirmed.sequence == 0 &&
             HeldBy(share).capacity_micros == 0) {
    // The owner has no record of the share, so what the report names has
    // expired.
    UpdateDemand(now, share, report.demand_micros);
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
  UpdateDemand(now, share, report.demand_micros);
  return true;
}

std::optional<messages::ShareUpdate> Owner::AnswerReport(
    Time now,
    const ShareKey& key,
    Instance& instance,
    const messages::ShareReport& report) {
  Bucket& bucket = buckets_[report.customer];
  Advance(bucket, now);
  if (!bucket.limit) {
    return std::nullopt;
  }
  Share& share = bucket.shares[key];
  AddTotals(bucket, share, -1);
  const bool current = ConfirmShare(now, bucket, share, report);
  share.quiet = current && instance.in_contact && !share.refilled;
  AddTotals(bucket, share, 1);
  bucket.level_micros = std::min(bucket.level_micros, FreeCapacity(bucket));
  if (current) {
    UpdateWaiting(
        now, bucket, key, share,
        std::max<std::int64_t>(report.wanted_micros - report.level_micros, 0));
  }
  if (current && !share.sent) {
    Grant grant =
        DecideGrant(now, bucket, share, report, instance.has_contacts);
    const bool adopted = share.confirmed.sequence == 0 &&
                         (grant.rate_micros > 0 || grant.capacity_micros > 0);
    // Takes back tokens above the capacity that no request waits for.
    const bool unused =
        report.wanted_micros == 0 && share.level_bound > grant.capacity_micros;
    if (adopted || unused || grant.added_micros > 0 ||
        grant.rate_micros != share.confirmed.rate_micros ||
        grant.capacity_micros != share.confirmed.capacity_micros) {
      grant.sequence = ++last_sequence_;
      grant.ceiling_micros =
          std::max(grant.capacity_micros, grant.added_micros);
      AddTotals(bucket, share, -1);
      share.sent = grant;
      share.excess_end = now + kExcessExpiry;
      if (!share.listed)
        instance.buckets.push_back(&bucket);
      share.listed = true;
      AddTotals(bucket, share, 1);
      const std::int64_t of_level =
          std::min(grant.added_micros, bucket.level_micros);
      given_micros_ += grant.added_micros;
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
  if (share.sent) {
    AddTotals(bucket, share, -1);
    share.excess_end = now + kExcessExpiry;
    AddTotals(bucket, share, 1);
    bucket.next_expiry = std::min(bucket.next_expiry, share.excess_end);
  }
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
  update.excess_lease_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(kExcessLease)
          .count();
  return update;
}

}  // namespace goldcrest::quota
