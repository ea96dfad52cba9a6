#include "goldcrest/routing/zone_share.h"

#include <algorithm>
#include <chrono>

namespace goldcrest::routing {
namespace {

// A statement's part of the target latency of its operation. The rest is for
// the token, the connection and the operation's other statements.
constexpr int kStatementDivisor = 4;

// Statements of other zones use an endpoint up to this part of the limit of its
// own zone's statements, so that they yield before the latter leave.
constexpr double kForeignPart = 0.5;

// Writes and transactions run on a primary only: reads leave it at this part of
// the limit.
constexpr double kPrimaryPart = 0.5;

// An endpoint refuses statements when its slots and its queue are full. A
// quarter of refused statements counts as the whole limit.
constexpr double kRefusalWeight = 4;

// Smallest and largest change of the fraction that leaves, for one interval.
// The entries of a zone all act on figures that are an interval or two old. So
// a change after one in the opposite direction is smaller, and changes grow
// only once several in the same direction have not been enough.
constexpr double kMinStep = 0.01;
constexpr double kMaxStep = 0.1;
constexpr double kStepIncrease = 1.5;
constexpr double kStepDecrease = 0.5;
constexpr int kRepeatsBeforeIncrease = 4;

// A latency that differs from that of the last interval by this factor rises or
// falls: the last changes have taken effect already.
constexpr double kTrendFactor = 1.05;

// Headroom of other zones below which no more statements leave, and lead of a
// primary over the replicas below which it gets no reads of other zones: its
// figures are of fewer reads.
constexpr double kMinHeadroom = 0.25;

// Fraction of the difference to the desired split that one interval removes.
constexpr double kSplitStep = 0.15;

// Statements return while a statement in the own zone takes less than this part
// of the time at which they leave.
constexpr double kReturnPart = 0.5;

// A smaller fraction of refused statements does not count.
constexpr double kMinRefused = 0.02;

// Figures older than this, but not yet forgotten, change nothing: what the last
// answers showed stays in force.
constexpr Duration kMaxFreshAge = std::chrono::seconds(3);

// What stays in the own zone shows when it has room again.
constexpr double kMinOwnShare = 0.05;

// Part of its slots for which an endpoint without room counts when reads have
// nowhere else to go.
constexpr double kMinFreePart = 0.05;

// Statements leave at the latest at this multiple of the limit, whatever their
// traffic costs.
constexpr int kMaxCostFactor = 2;

double Ratio(Duration value, Duration limit) {
  return static_cast<double>(value.count()) /
         static_cast<double>(std::max<Duration::rep>(1, limit.count()));
}

// How much of the limit for statements of other zones is left, at most 1.
double HeadroomOf(const ZoneFigures& figures, Duration limit) {
  if (figures.round_trip >= limit)
    return -1;
  double part = kForeignPart;
  if (figures.primary_only)
    part *= kPrimaryPart;
  const Duration wait =
      std::max(Duration::zero(), figures.latency - figures.round_trip);
  return std::clamp(
      1 - Ratio(wait, limit) / part - kRefusalWeight * figures.refused, -1.0,
      1.0);
}

const ZoneFigures* FindOwn(const ShareInput& input) {
  const auto it =
      std::ranges::find(input.zones, input.own_zone, &ZoneFigures::zone);
  return it == input.zones.end() ? nullptr : &*it;
}

// Best headroom of the other zones, by kind of endpoint.
struct Headroom {
  double replicas = -1;
  double primary = -1;
  bool has_replicas = false;
  double Best() const { return std::max(replicas, primary); }
};

Headroom FindHeadroom(const ShareInput& input, Duration limit) {
  Headroom headroom;
  for (const ZoneFigures& figures : input.zones) {
    if (figures.zone == input.own_zone)
      continue;
    double& best = figures.primary_only ? headroom.primary : headroom.replicas;
    best = std::max(best, HeadroomOf(figures, limit));
    headroom.has_replicas |= !figures.primary_only;
  }
  return headroom;
}

// Divides by free slots. A primary counts for as much as it is clearly better
// off than the best replica.
std::map<std::string, double> DesiredSplit(const ShareInput& input,
                                           Duration limit) {
  const Headroom headroom = FindHeadroom(input, limit);
  std::map<std::string, double> split;
  double sum = 0;
  for (const ZoneFigures& figures : input.zones) {
    if (figures.zone == input.own_zone)
      continue;
    double free = HeadroomOf(figures, limit);
    if (figures.primary_only && headroom.has_replicas)
      free =
          std::max(0.0, free - std::max(0.0, headroom.replicas) - kMinHeadroom);
    else
      free = std::max(kMinFreePart, free);
    split[figures.zone] = free * std::max(1, figures.slots);
    sum += split[figures.zone];
  }
  for (auto& [zone, weight] : split)
    weight /= sum;
  return split;
}

void MoveSplit(const std::map<std::string, double>& desired,
               std::map<std::string, double>& split) {
  std::erase_if(
      split, [&](const auto& item) { return !desired.contains(item.first); });
  double sum = 0;
  for (const auto& [zone, weight] : split)
    sum += weight;
  if (sum <= 0) {
    split = desired;
    return;
  }
  for (const auto& [zone, weight] : desired) {
    const double before = split[zone] / sum;
    split[zone] = before + (weight - before) * kSplitStep;
  }
}

// Latency at which statements leave their own zone: at the limit, or where
// another zone is better by more than the traffic costs.
Duration LeaveAt(const ShareInput& input, bool primary_only, Duration limit) {
  const Duration own_limit =
      primary_only ? Duration(static_cast<Duration::rep>(
                         static_cast<double>(limit.count()) * kPrimaryPart))
                   : limit;
  Duration best = Duration::max();
  for (const ZoneFigures& figures : input.zones) {
    if (figures.zone != input.own_zone && HeadroomOf(figures, limit) > 0)
      best = std::min(best, figures.latency);
  }
  if (best == Duration::max())
    return own_limit;
  return std::clamp(best + input.transfer_cost, own_limit,
                    own_limit * kMaxCostFactor);
}

// Whether more or less than before should leave, as the sign. Load condition:
// the own zone's endpoints refuse statements or take longer than the limit,
// while those of another zone have room.
int NextDirection(const ShareState& current,
                  const ShareInput& input,
                  const ZoneFigures& own,
                  Duration limit,
                  double headroom) {
  // Statements of other zones yield to those of the zone itself.
  if (headroom <= 0)
    return headroom > current.headroom ? 0 : -1;
  const double load =
      Ratio(own.latency, LeaveAt(input, own.primary_only, limit));
  const double trend = Ratio(own.latency, current.own_latency);
  if (own.refused > kMinRefused)
    return headroom > kMinHeadroom ? 1 : 0;
  if (load > 1)
    return headroom > kMinHeadroom && trend > 1 / kTrendFactor ? 1 : 0;
  if (load < kReturnPart)
    return trend < kTrendFactor ? -1 : 0;
  return 0;
}

void MoveAway(const ShareInput& input,
              const ZoneFigures& own,
              Duration limit,
              ShareState& state) {
  if (own.age > kMaxFreshAge && own.age != Duration::max())
    return;
  const double headroom = FindHeadroom(input, limit).Best();
  const int direction = NextDirection(state, input, own, limit, headroom);
  state.headroom = headroom;
  state.own_latency = own.latency;
  if (direction == 0 || (direction < 0 && state.away == 0))
    return;
  if (state.step == 0) {
    state.step = kMaxStep;
  } else if (direction != state.direction) {
    state.step = std::max(kMinStep, state.step * kStepDecrease);
    state.repeats = 0;
  } else if (++state.repeats >= kRepeatsBeforeIncrease) {
    state.step = std::min(kMaxStep, state.step * kStepIncrease);
  }
  state.direction = direction;
  state.away =
      std::clamp(state.away + direction * state.step, 0.0, 1 - kMinOwnShare);
}

}  // namespace

Duration StatementLimit(Duration target_latency) {
  return target_latency / kStatementDivisor;
}

ShareState NextShares(const ShareState& current, const ShareInput& input) {
  const Duration limit = StatementLimit(input.target_latency);
  const ZoneFigures* own = FindOwn(input);
  ShareState next = current;
  MoveSplit(DesiredSplit(input, limit), next.split);
  if (own == nullptr)
    next.away = 1;
  else if (next.split.empty())
    next.away = 0;
  else
    MoveAway(input, *own, limit, next);
  return next;
}

std::map<std::string, double> SharesOf(const ShareState& state,
                                       const ShareInput& input) {
  std::map<std::string, double> shares;
  if (FindOwn(input) != nullptr)
    shares[input.own_zone] = 1 - state.away;
  for (const auto& [zone, weight] : state.split)
    shares[zone] = state.away * weight;
  return shares;
}

}  // namespace goldcrest::routing
