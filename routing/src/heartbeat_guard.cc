#include "goldcrest/routing/heartbeat_guard.h"

#include <algorithm>
#include <utility>

namespace goldcrest::routing {
namespace {

// Endpoints send a heartbeat about every second.
constexpr Duration kSilenceBeforeTakeover = std::chrono::seconds(3);
constexpr Duration kMinTakeoverSpan = std::chrono::seconds(2);
// Heartbeats from before a deregistration may still be on their way.
constexpr Duration kMinTakeoverSpanAfterDeparture = std::chrono::seconds(6);
constexpr int kMinTakeoverHeartbeats = 3;

// An endpoint reaches this distance in eleven days, in which a record in the
// log may not have changed.
constexpr std::int64_t kMaxSequenceLeap = 1'000'000;

constexpr std::size_t kMaxWritersHeldBack = 4;

}  // namespace

HeartbeatGuard::HeartbeatGuard(Duration max_clock_skew)
    : max_clock_skew_(max_clock_skew) {}

std::optional<messages::EndpointRecord> HeartbeatGuard::Admit(
    Time now,
    UnixTime unix_now,
    const EndpointDirectory::Entry* known,
    messages::EndpointRecord heartbeat) {
  if (known == nullptr) {
    heartbeat.epoch = 0;
    return heartbeat;
  }
  heartbeat.epoch = known->record.epoch;
  if (Continues(unix_now, known->record, heartbeat)) {
    const auto it = endpoints_.find(heartbeat.endpoint);
    if (it != endpoints_.end())
      it->second.held_back.clear();
    return heartbeat;
  }
  if (!MayTakeOver(now, *known, heartbeat))
    return std::nullopt;
  EndpointState& state = endpoints_[heartbeat.endpoint];
  state.held_back.clear();
  if (known->record.started_ms > heartbeat.started_ms)
    state.displaced_start =
        std::max(state.displaced_start, known->record.started_ms);
  ++heartbeat.epoch;
  return heartbeat;
}

std::optional<messages::EndpointRecord> HeartbeatGuard::AdmitDeparture(
    UnixTime unix_now,
    const EndpointDirectory::Entry* known,
    const messages::EndpointRecord& departure) const {
  if (known == nullptr || known->record.gone)
    return std::nullopt;
  messages::EndpointRecord record = known->record;
  if (departure.started_ms != 0 &&
      (departure.started_ms < record.started_ms ||
       !MayHaveStarted(unix_now, departure.started_ms)))
    return std::nullopt;
  if (departure.sequence - record.sequence <= kMaxSequenceLeap)
    record.sequence = std::max(record.sequence, departure.sequence);
  ++record.sequence;
  record.gone = true;
  return record;
}

bool HeartbeatGuard::MayHaveStarted(UnixTime unix_now,
                                    std::int64_t started_ms) const {
  const auto latest = std::chrono::duration_cast<std::chrono::milliseconds>(
      (unix_now + max_clock_skew_).time_since_epoch());
  return started_ms <= latest.count();
}

bool HeartbeatGuard::Continues(
    UnixTime unix_now,
    const messages::EndpointRecord& known,
    const messages::EndpointRecord& heartbeat) const {
  if (heartbeat.started_ms == known.started_ms)
    return heartbeat.sequence > known.sequence &&
           heartbeat.sequence - known.sequence <= kMaxSequenceLeap &&
           heartbeat.address == known.address &&
           heartbeat.group == known.group && heartbeat.zone == known.zone;
  if (heartbeat.started_ms < known.started_ms)
    return false;
  if (!MayHaveStarted(unix_now, heartbeat.started_ms))
    return false;
  const auto it = endpoints_.find(heartbeat.endpoint);
  return it == endpoints_.end() ||
         heartbeat.started_ms > it->second.displaced_start;
}

bool HeartbeatGuard::MayTakeOver(Time now,
                                 const EndpointDirectory::Entry& known,
                                 const messages::EndpointRecord& heartbeat) {
  const Writer writer(heartbeat.started_ms, heartbeat.address, heartbeat.group);
  auto& writers = endpoints_[heartbeat.endpoint].held_back;
  const auto it = writers.find(writer);
  if (it == writers.end()) {
    if (writers.size() >= kMaxWritersHeldBack)
      writers.erase(std::ranges::min_element(
          writers, {}, [](const auto& item) { return item.second.last_at; }));
    writers[writer] = {heartbeat.sequence, 1, now, now};
    return false;
  }
  HeldBack& held = it->second;
  if (heartbeat.sequence <= held.sequence)
    return false;
  // Heartbeats before the known record arrived say nothing about which of the
  // two goes on.
  if (held.first_at < known.received_at)
    held = {heartbeat.sequence, 0, now, now};
  held.sequence = heartbeat.sequence;
  held.last_at = now;
  ++held.count;
  const bool departed = known.record.gone && !known.expired;
  return held.count >= kMinTakeoverHeartbeats &&
         now - held.first_at >=
             (departed ? kMinTakeoverSpanAfterDeparture : kMinTakeoverSpan) &&
         now - known.received_at >= kSilenceBeforeTakeover;
}

}  // namespace goldcrest::routing
