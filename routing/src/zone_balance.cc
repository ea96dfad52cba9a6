#include "goldcrest/routing/zone_balance.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>

namespace goldcrest::routing {
namespace {

// Shares change at most once in this time. Longer than figures take to show the
// effect of the last change: 1 s on their way and up to 1 s of smoothing. With
// 1 s the shares of 100 entries vary by four times as much
// (docs/design/zones.md).
constexpr Duration kUpdateInterval = std::chrono::seconds(2);

// Figures older than this no longer describe the endpoints.
constexpr Duration kMaxFigureAge = std::chrono::seconds(5);

// A share in use is replaced only when it differs by this much.
constexpr double kMinChange = 0.02;

// Weight of the newest observation: its distance to the last one in relation to
// kSmoothingTime, so that it does not depend on the number of statements.
constexpr Duration kSmoothingTime = std::chrono::seconds(1);
constexpr double kMinWeight = 0.125;
constexpr double kMaxWeight = 0.5;

// The round trip is the shortest exchange of the last one to two windows.
constexpr Duration kRoundTripWindow = std::chrono::seconds(60);

// Weight of the newest statement in the mean length.
constexpr double kBytesWeight = 0.05;

// Multiples of the golden ratio modulo 1 are spread evenly, however few of them
// are used.
constexpr double kGoldenRatio = 0.6180339887498949;

double WeightOf(Duration distance) {
  const double seconds = std::chrono::duration<double>(distance).count();
  const double smoothing =
      std::chrono::duration<double>(kSmoothingTime).count();
  return std::clamp(seconds / (seconds + smoothing), kMinWeight, kMaxWeight);
}

bool Differs(const std::map<std::string, double>& in_use,
             const std::map<std::string, double>& next,
             const std::string& own_zone) {
  if (in_use.size() != next.size())
    return true;
  return std::ranges::any_of(next, [&](const auto& item) {
    const auto it = in_use.find(item.first);
    if (it == in_use.end())
      return true;
    // The last part of what has left returns in a step of any size.
    const bool whole = item.first == own_zone && item.second >= 1;
    return std::abs(it->second - item.second) >= (whole ? 1e-9 : kMinChange);
  });
}

// The zone at `position`, between 0 and 1, of the zones' weights.
std::string ZoneAt(double position,
                   const std::map<std::string, double>& weights,
                   const std::set<std::string>& allowed) {
  double sum = 0;
  for (const auto& [zone, weight] : weights)
    sum += allowed.contains(zone) ? weight : 0;
  if (sum <= 0) {
    const auto index = static_cast<std::ptrdiff_t>(
        position * static_cast<double>(allowed.size()));
    return *std::next(allowed.begin(), index);
  }
  std::string last;
  double rest = position * sum;
  for (const auto& [zone, weight] : weights) {
    if (!allowed.contains(zone) || weight <= 0)
      continue;
    last = zone;
    rest -= weight;
    if (rest < 0)
      break;
  }
  return last;
}

Duration TargetOf(const Route& route) {
  return route.target_latency > Duration::zero() ? route.target_latency
                                                 : route.statement_timeout;
}

std::string Milliseconds(Duration duration) {
  std::array<char, 32> text{};
  const double value =
      std::chrono::duration<double, std::milli>(duration).count();
  std::snprintf(text.data(), text.size(), "%.1f ms", value);
  return text.data();
}

std::string Percent(double part) {
  return std::to_string(std::lround(part * 100)) + "%";
}

}  // namespace

Duration ReadLimit(const Route& route) {
  return StatementLimit(TargetOf(route));
}

std::string Describe(const ShareChange& change) {
  std::string text = std::string(NameOf(change.kind)) + ", limit " +
                     Milliseconds(StatementLimit(change.input.target_latency)) +
                     ", traffic " + Milliseconds(change.input.transfer_cost);
  for (const ZoneFigures& figures : change.input.zones) {
    const auto before = change.before.find(figures.zone);
    const auto after = change.shares.find(figures.zone);
    text += "; " + figures.zone + " from " +
            Percent(before == change.before.end() ? 0 : before->second) +
            " to " + Percent(after == change.shares.end() ? 0 : after->second) +
            ": latency " + Milliseconds(figures.latency) + ", round trip " +
            Milliseconds(figures.round_trip) + ", refused " +
            Percent(figures.refused) + ", slots " +
            std::to_string(figures.slots) +
            (figures.primary_only ? " of the primary" : "") + ", age " +
            (figures.age == Duration::max() ? "unknown"
                                            : Milliseconds(figures.age));
  }
  return text;
}

ZoneBalance::ZoneBalance(ZoneBalanceOptions options)
    : options_(std::move(options)) {}

std::string ZoneBalance::ChooseZone(Time now,
                                    const Route& route,
                                    const std::vector<ZoneMember>& members,
                                    const std::set<std::string>& allowed) {
  std::set<std::string> zones;
  for (const ZoneMember& member : members)
    zones.insert(member.zone);
  if (allowed.size() == 1)
    return *allowed.begin();
  const double start =
      kGoldenRatio * static_cast<double>(options_.salt % 1'000'000);
  Kind& kind = kinds_[{route.group, route.consistency, route.target_latency}];
  if (kind.choices == 0)
    kind.next_update_at =
        now + Duration(static_cast<Duration::rep>(
                  static_cast<double>(kUpdateInterval.count()) *
                  (start - std::floor(start))));
  if (now >= kind.next_update_at || kind.zones != zones) {
    kind.zones = zones;
    Update(now, route, MakeInput(now, route, members), kind);
  }
  const double position =
      start + kGoldenRatio * static_cast<double>(++kind.choices);
  return ZoneAt(
      position - std::floor(position),
      allowed.contains(options_.zone) ? kind.shares : kind.state.split,
      allowed);
}

void ZoneBalance::Update(Time now,
                         const Route& route,
                         const ShareInput& input,
                         Kind& kind) {
  if (now >= kind.next_update_at)
    kind.next_update_at = now + kUpdateInterval;
  kind.state = NextShares(kind.state, input);
  const auto shares = SharesOf(kind.state, input);
  if (!Differs(kind.shares, shares, options_.zone))
    return;
  const auto before = std::exchange(kind.shares, shares);
  if (options_.on_change)
    options_.on_change({route.group, route.consistency, before, shares, input});
}

ShareInput ZoneBalance::MakeInput(
    Time now,
    const Route& route,
    const std::vector<ZoneMember>& members) const {
  ShareInput input;
  input.own_zone = options_.zone;
  input.target_latency = TargetOf(route);
  const auto bytes = statement_bytes_.find(route.group);
  if (bytes != statement_bytes_.end())
    input.transfer_cost = Duration(static_cast<Duration::rep>(
        bytes->second * static_cast<double>(options_.byte_cost.count())));
  std::map<std::string, ZoneFigures> zones;
  for (const ZoneMember& member : members) {
    ZoneFigures& figures = zones[member.zone];
    if (figures.zone.empty()) {
      figures.zone = member.zone;
      figures.slots = 0;
      figures.primary_only = true;
    }
    // The primary's slots are for writes while there is another endpoint.
    if (member.primary && !figures.primary_only)
      continue;
    if (!member.primary && figures.primary_only)
      figures.slots = 0;
    figures.primary_only = member.primary;
    figures.slots += std::max(1, member.slots);
  }
  for (auto& [zone, figures] : zones) {
    figures.round_trip = RoundTripTo(zone);
    figures.latency = figures.round_trip;
    const auto seen = observations_.find({route.group, zone});
    if (seen != observations_.end() && now - seen->second.at <= kMaxFigureAge) {
      figures.latency = std::max(seen->second.latency, figures.round_trip);
      figures.refused = seen->second.refused;
      figures.age = now - seen->second.at;
    }
    input.zones.push_back(figures);
  }
  return input;
}

Duration ZoneBalance::RoundTripTo(const std::string& zone) const {
  const auto it = round_trips_.find(zone);
  if (it == round_trips_.end())
    return Duration::zero();
  const Duration shortest = std::min(it->second.current, it->second.previous);
  return shortest == Duration::max() ? Duration::zero() : shortest;
}

// Counts the lower of the last two observations, so that a single one that is
// out of line moves nothing.
void ZoneBalance::Observe(Time now,
                          Observations& seen,
                          bool refused,
                          Duration latency) {
  const double weight = seen.any ? WeightOf(now - seen.at) : 1;
  if (!refused) {
    const Duration lower =
        seen.any ? std::min(latency, seen.last_latency) : latency;
    seen.last_latency = latency;
    seen.latency += Duration(static_cast<Duration::rep>(
        weight * static_cast<double>((lower - seen.latency).count())));
  }
  const double refusals = refused && seen.last_refused ? 1 : 0;
  seen.refused += weight * (refusals - seen.refused);
  seen.last_refused = refused;
  seen.any = true;
  seen.at = now;
}

void ZoneBalance::OnAnswer(Time now,
                           const std::string& group,
                           const std::string& zone,
                           Duration latency,
                           std::size_t bytes) {
  Observe(now, observations_[{group, zone}], false, latency);
  OnRoundTrip(now, zone, latency);
  const auto [it, inserted] =
      statement_bytes_.try_emplace(group, static_cast<double>(bytes));
  it->second += kBytesWeight * (static_cast<double>(bytes) - it->second);
}

void ZoneBalance::OnRefused(Time now,
                            const std::string& group,
                            const std::string& zone) {
  Observe(now, observations_[{group, zone}], true, Duration::zero());
}

void ZoneBalance::OnRoundTrip(Time now,
                              const std::string& zone,
                              Duration duration) {
  RoundTrip& trip = round_trips_[zone];
  if (now >= trip.window_ends_at) {
    trip.previous = trip.current;
    trip.current = Duration::max();
    trip.window_ends_at = now + kRoundTripWindow;
  }
  trip.current = std::min(trip.current, duration);
}

}  // namespace goldcrest::routing
