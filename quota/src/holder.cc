#include "goldcrest/quota/holder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace goldcrest::quota {
namespace {

// Time constant of the exponential average that estimates the demand: it covers
// 63% of a step in one and 96% in three time constants.
constexpr std::chrono::duration<double> kDemandTimeConstant =
    std::chrono::milliseconds(300);

// A customer with a demand below this, in requests per second, counts as idle.
constexpr double kIdleDemand = 0.01;

// Shortest time between two reports, which limits the message rate of an entry.
constexpr Duration kMinReportInterval = std::chrono::milliseconds(10);

// A share with at least this demand, in requests per second, is part of each
// report: the owner then adjusts it each time, so that requests seldom wait.
constexpr double kAlwaysReportedDemand = 0.5;

// A demand that has changed by this factor since it was reported is reported
// again.
constexpr double kDemandChangeFactor = 2;

// Interval of reports while requests wait because the owner had no tokens.
constexpr Duration kWaitingReportInterval = std::chrono::milliseconds(25);

std::int64_t ToAmount(double requests) {
  return std::llround(requests * static_cast<double>(kRequestMicros));
}

}  // namespace

void Holder::SetLimit(const std::string& customer, std::optional<Limit> limit) {
  shares_[customer].limit = limit;
}

bool Holder::TryTake(Time now, const std::string& customer) {
  const auto found = shares_.find(customer);
  if (found == shares_.end() || !found->second.limit) {
    return true;
  }
  Share& share = found->second;
  DecayDemand(share, now);
  share.demand += 1 / kDemandTimeConstant.count();
  if (share.waiting > 0 || !Take(share, now))
    return false;
  ++counts_.served_at_once;
  return true;
}

void Holder::StartWaiting(Time now, const std::string& customer) {
  ++shares_[customer].waiting;
  RequestReport(now);
}

bool Holder::TryTakeWaiting(Time now, const std::string& customer) {
  Share& share = shares_[customer];
  if (share.limit && !Take(share, now)) {
    return false;
  }
  share.waiting = std::max<std::int64_t>(share.waiting - 1, 0);
  ++counts_.served_after_wait;
  return true;
}

void Holder::StopWaiting(const std::string& customer) {
  Share& share = shares_[customer];
  share.waiting = std::max<std::int64_t>(share.waiting - 1, 0);
  ++counts_.gave_up;
}

Time Holder::NextTokenAt(Time now, const std::string& customer) {
  return TokenAt(now, shares_[customer], kRequestMicros);
}

Time Holder::NextFreeTokenAt(Time now, const std::string& customer) {
  Share& share = shares_[customer];
  return TokenAt(now, share, (share.waiting + 1) * kRequestMicros);
}

// When the share's own rate has yielded `wanted_micros`.
Time Holder::TokenAt(Time now, Share& share, std::int64_t wanted_micros) {
  Advance(share, now);
  if (!share.limit || share.level_micros >= wanted_micros) {
    return now;
  }
  if (share.rate_micros <= 0 || share.capacity_micros < kRequestMicros) {
    return kNever;
  }
  const std::int64_t missing =
      (wanted_micros - share.level_micros) * kRequestMicros - share.remainder;
  return now + Duration((missing + share.rate_micros - 1) / share.rate_micros);
}

bool Holder::ReportDue(Time now) const {
  return now >= next_report_;
}

Time Holder::NextReportAt() const {
  return next_report_;
}

std::vector<messages::ShareReport> Holder::Report(Time now) {
  std::vector<messages::ShareReport> reports(1);
  reports.front().owner_term = newest_term_;
  reports.front().partial = !full_report_due_;
  reports.front().contact_micros = contact_micros_;
  bool waiting = false;
  for (auto& [customer, share] : shares_) {
    Advance(share, now);
    DecayDemand(share, now);
    if (!share.limit || (IsIdle(share) && !share.changed)) {
      continue;
    }
    if (!full_report_due_ && !NeedsReport(share, now)) {
      continue;
    }
    share.reported_at = now;
    share.reported_demand = share.demand;
    messages::ShareReport report;
    report.customer = customer;
    report.share_sequence = share.sequence;
    report.owner_term = share.term;
    report.rate_micros = share.rate_micros;
    report.capacity_micros = share.capacity_micros;
    // A level above the ceiling of the update tells the owner how many tokens
    // the ceiling cut off. It is sent once only: a new owner could count a
    // second report of it as another surplus.
    report.level_micros = share.surplus_micros > 0
                              ? share.ceiling_micros + share.surplus_micros
                              : share.level_micros;
    report.demand_micros = ToAmount(share.demand);
    report.wanted_micros = share.waiting * kRequestMicros;
    share.surplus_micros = 0;
    share.changed = false;
    waiting = waiting || share.waiting > 0;
    reports.push_back(std::move(report));
  }
  reports.front().since_contact_micros =
      (now - std::max(last_contact_, std::min(first_report_, now))).count();
  full_report_due_ = false;
  first_report_ = std::min(first_report_, now);
  last_report_ = now;
  next_report_ = now + (waiting ? kWaitingReportInterval : kReportInterval);
  return reports;
}

void Holder::OnUpdates(Time now,
                       Time report_sent,
                       const std::vector<messages::ShareUpdate>& updates) {
  // Ignores answers to reports that an earlier process of the entry sent.
  if (stopped_ || report_sent < first_report_) {
    return;
  }
  for (const messages::ShareUpdate& update : updates) {
    if (update.owner_term < newest_term_) {
      continue;
    }
    const bool contact = update.customer.empty() && update.contact_micros != 0;
    // The owner is new, or has not received a full report yet.
    if (update.owner_term > newest_term_ ||
        (update.customer.empty() && !contact)) {
      if (update.owner_term > newest_term_)
        contact_micros_ = -1;
      newest_term_ = update.owner_term;
      full_report_due_ = true;
      RequestReport(now);
    }
    if (contact)
      OnContact(now, update.contact_micros);
    if (update.customer.empty() ||
        report_sent + std::chrono::milliseconds(update.lease_ms) <= now) {
      continue;
    }
    last_contact_ = now;
    Apply(shares_[update.customer], now, report_sent, update);
  }
}

void Holder::OnContact(Time now, std::int64_t contact_micros) {
  for (auto& [customer, share] : shares_) {
    if (share.rate_micros > 0)
      Advance(share, now);
  }
  // The owner counts the rates as used until it knows of the first contact.
  if (contact_micros_ < 0)
    RequestReport(now);
  last_contact_ = now;
  refilled_from_ = now + kContactTimeout;
  contact_micros_ = std::max(contact_micros_, contact_micros);
}

Duration Holder::TimeSinceLastTake(Time now, Time started) const {
  return now - last_taken_.value_or(started);
}

void Holder::OnOwnerChange(Time now) {
  full_report_due_ = true;
  RequestReport(now);
}

void Holder::Stop() {
  stopped_ = true;
  for (auto& [customer, share] : shares_) {
    share.lease_end = Time();
    share.level_micros = 0;
  }
}

void Holder::Advance(Share& share, Time now) const {
  if (now >= share.lease_end) {
    // The sequence is kept, so that a duplicate of the last update does not add
    // its tokens again.
    const bool held = share.rate_micros > 0 || share.capacity_micros > 0 ||
                      share.level_micros > 0;
    share.changed = share.changed || held;
    share.rate_micros = 0;
    share.capacity_micros = 0;
    share.level_micros = 0;
    share.surplus_micros = 0;
    share.remainder = 0;
  }
  if (now >= share.excess_end) {
    // The owner may have given the room of these tokens to another entry.
    share.level_micros = std::min(share.level_micros, share.capacity_micros);
    share.surplus_micros = 0;
  }
  if (now <= share.refilled_at) {
    return;
  }
  const Time from = std::max(share.refilled_at, refilled_from_);
  share.refilled_at = now;
  if (now > from)
    Refill(share.rate_micros, share.capacity_micros, now - from,
           share.level_micros, share.remainder);
}

void Holder::DecayDemand(Share& share, Time now) {
  if (now <= share.demand_at) {
    return;
  }
  const std::chrono::duration<double> elapsed = now - share.demand_at;
  share.demand *= std::exp(-elapsed / kDemandTimeConstant);
  share.demand_at = now;
}

bool Holder::IsIdle(const Share& share) {
  return share.demand < kIdleDemand && share.waiting == 0 &&
         share.rate_micros == 0 && share.capacity_micros == 0 &&
         share.level_micros == 0;
}

bool Holder::NeedsReport(const Share& share, Time now) {
  // The owner sizes shares by the reported demand.
  const bool demand_changed =
      share.demand > kDemandChangeFactor * share.reported_demand ||
      share.demand * kDemandChangeFactor < share.reported_demand;
  return share.changed || share.waiting > 0 || share.surplus_micros > 0 ||
         share.demand >= kAlwaysReportedDemand || demand_changed ||
         now - share.reported_at >= kMaxShareReportInterval;
}

bool Holder::Take(Share& share, Time now) {
  Advance(share, now);
  if (share.level_micros < kRequestMicros) {
    return false;
  }
  // Tokens above the capacity count against the burst that the owner can give
  // out. Reporting their use at once lets the owner serve the next entry.
  if (share.level_micros > share.capacity_micros) {
    share.changed = true;
    RequestReport(now);
  }
  share.level_micros -= kRequestMicros;
  // The owner can add a token before the next request comes.
  if (share.level_micros < kRequestMicros &&
      share.capacity_micros >= kRequestMicros) {
    share.changed = true;
    RequestReport(now);
  }
  last_taken_ = now;
  return true;
}

void Holder::Apply(Share& share,
                   Time now,
                   Time report_sent,
                   const messages::ShareUpdate& update) {
  Advance(share, now);
  const Time lease_end =
      report_sent + std::chrono::milliseconds(update.lease_ms);
  const auto applied = std::pair(share.term, share.sequence);
  const auto offered = std::pair(update.owner_term, update.share_sequence);
  if (offered < applied) {
    return;
  }
  if (offered == applied) {
    if (now < share.lease_end) {
      share.lease_end = std::max(share.lease_end, lease_end);
    }
    return;
  }
  share.term = update.owner_term;
  share.sequence = update.share_sequence;
  share.rate_micros = update.rate_micros;
  share.capacity_micros = update.capacity_micros;
  share.ceiling_micros = std::max(update.capacity_micros, update.added_micros);
  const std::int64_t tokens = share.level_micros + update.added_micros;
  share.level_micros = std::min(tokens, share.ceiling_micros);
  share.surplus_micros = tokens - share.level_micros;
  share.lease_end = lease_end;
  share.excess_end =
      update.excess_lease_ms > 0
          ? report_sent + std::chrono::milliseconds(update.excess_lease_ms)
          : lease_end;
  share.changed = true;
  Advance(share, now);
  if (share.surplus_micros > 0 || share.waiting > 0) {
    RequestReport(now);
  }
}

void Holder::RequestReport(Time at) {
  next_report_ =
      std::min(next_report_, std::max(at, last_report_ + kMinReportInterval));
}

}  // namespace goldcrest::quota
