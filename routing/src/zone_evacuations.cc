#include "goldcrest/routing/zone_evacuations.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace goldcrest::routing {
namespace {

// Applies where the settings state no bound.
constexpr Duration kDefaultTimeout = std::chrono::seconds(5);

// Parts of the bound. Reports reach the leader several times within a quarter,
// so that the set of an entry in contact that has not been frozen for that long
// is younger than half of the bound.
constexpr int kFreezeDivisor = 4;
constexpr int kMaxAgeDivisor = 2;
constexpr int kTransactionDivisor = 2;

}  // namespace

ZoneEvacuations::ZoneEvacuations(std::optional<Duration> timeout)
    : timeout_(timeout) {}

Duration ZoneEvacuations::Bound() const {
  return timeout_.value_or(kDefaultTimeout);
}

std::vector<ZoneEvacuations::Change> ZoneEvacuations::Apply(
    Time now,
    const messages::EvacuatedZones& set) {
  if (set.index <= index_)
    return {};
  index_ = set.index;
  // The evacuation was acknowledged after the last confirmation, so that the
  // bound ends at the earliest a whole bound after that. A quarter is left for
  // what is under way. Without a confirmation it may have ended already.
  Time deadline = now;
  if (confirmed_at_)
    deadline = std::min(now + Bound() / kTransactionDivisor,
                        *confirmed_at_ + Bound() * 3 / 4);
  std::vector<Change> changes;
  const std::map<std::string, Time> before = std::exchange(deadlines_, {});
  for (const std::string& zone : set.zones) {
    const auto known = before.find(zone);
    deadlines_[zone] = known == before.end() ? deadline : known->second;
    if (known == before.end())
      changes.push_back({zone, true});
  }
  for (const auto& [zone, ignored] : before) {
    if (!IsEvacuated(zone))
      changes.push_back({zone, false});
  }
  return changes;
}

void ZoneEvacuations::Confirm(Time now, Time time) {
  confirmed_at_ = std::max(confirmed_at_.value_or(time), time);
  if (!IsOutdated(now))
    awaits_confirmation_ = false;
}

void ZoneEvacuations::Tick(Time now) {
  if (WasFrozen(now) && IsOutdated(now))
    awaits_confirmation_ = true;
  last_tick_ = now;
}

bool ZoneEvacuations::WasFrozen(Time now) const {
  return last_tick_ && now - *last_tick_ > Bound() / kFreezeDivisor;
}

bool ZoneEvacuations::IsOutdated(Time now) const {
  return confirmed_at_ && now - *confirmed_at_ > Bound() / kMaxAgeDivisor;
}

bool ZoneEvacuations::Knows(Time now) const {
  if (!timeout_)
    return true;
  return !awaits_confirmation_ && !(WasFrozen(now) && IsOutdated(now));
}

bool ZoneEvacuations::IsClosed(Time now, const std::string& zone) const {
  const auto it = deadlines_.find(zone);
  return it != deadlines_.end() && now >= it->second;
}

}  // namespace goldcrest::routing
