#include <chrono>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "bench/bench.h"
#include "bench/fleet_setup.h"
#include "goldcrest/session/token_sealer.h"
#include "goldcrest/sessions/fleet.h"

namespace goldcrest::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kGroup = "bookings";
constexpr Duration kMeasuredDuration = seconds(20);
constexpr Duration kReadInterval = milliseconds(20);
constexpr Duration kTimeStep = milliseconds(1);
constexpr int kSessions = 10;
constexpr int kSlots = 3;

struct Session {
  std::string token;
  std::int64_t position = 0;  // log position of the last acknowledged write
};

// Numbers of reads. `possible_by_replica` counts those that a replica could
// have served when they arrived.
struct ReadCounts {
  int reads = 0;
  int served_by_replica = 0;
  int possible_by_replica = 0;
  int failed = 0;
};

// Returns true if a replica has reached `position` and the oldest entry that it
// lacks is no older than `max_age`.
bool ReplicaCouldServe(sessions::FakeGroup& group,
                       std::int64_t position,
                       Duration max_age,
                       Time now) {
  const sessions::FakeGroup::Member* primary = nullptr;
  for (const auto& [name, member] : group.members())
    primary = member.primary ? &member : primary;
  if (primary == nullptr)
    return false;
  for (const auto& [name, member] : group.members()) {
    const auto log_length = static_cast<std::int64_t>(member.log.size());
    if (&member == primary || log_length < position)
      continue;
    if (member.log.size() >= primary->log.size() ||
        now - primary->log[member.log.size()].added <= max_age)
      return true;
  }
  return false;
}

ReadCounts MeasureReads(messages::Durability::type durability,
                        int writes_per_second,
                        Duration lag,
                        milliseconds max_age) {
  sessions::Fleet fleet(10, 3);
  StartFleet(fleet, 1, kSlots,
             CustomerPolicy{.max_age = max_age, .durability = durability});
  sessions::FakeGroup& group = fleet.group(kGroup);
  for (auto& [name, member] : group.members())
    member.lag = lag;
  fleet.Run(seconds(5));
  std::mt19937 generator(1);
  std::vector<Session> sessions(kSessions);
  std::map<std::string, std::size_t> pending_writes;
  std::set<std::string> read_labels;
  ReadCounts result;
  const Time end_time = fleet.now() + kMeasuredDuration;
  Time next_write = fleet.now();
  Time next_read = fleet.now();
  for (int step = 0; fleet.now() < end_time; ++step) {
    const std::size_t session_index = generator() % kSessions;
    const std::string entry = fmt::format("e{}", generator() % 10 + 1);
    if (fleet.now() >= next_write) {
      next_write += Duration(seconds(1)) / writes_per_second;
      entry::CallerRequest request = MakeWrite(0, kGroup);
      request.session_token = sessions[session_index].token;
      const std::string label = fmt::format("w{}", step);
      pending_writes[label] = session_index;
      fleet.Call(label, entry, request);
    }
    if (fleet.now() >= next_read) {
      next_read += kReadInterval;
      entry::CallerRequest request = MakeRead(0, kGroup);
      request.session_token = sessions[session_index].token;
      result.possible_by_replica +=
          ReplicaCouldServe(group, sessions[session_index].position, max_age,
                            fleet.now())
              ? 1
              : 0;
      const std::string label = fmt::format("r{}", step);
      read_labels.insert(label);
      ++result.reads;
      fleet.Call(label, entry, request);
    }
    fleet.Run(kTimeStep);
    std::erase_if(pending_writes, [&](const auto& write) {
      const entry::CallerAnswer* answer = fleet.AnswerTo(write.first);
      if (answer == nullptr)
        return false;
      if (answer->code == ResultCode::kOk) {
        Session& session = sessions[write.second];
        session.token = answer->session_token;
        const auto sealer = session::TokenSealer::FromBytes(
            fleet.entry("e1").view().session_secret());
        const auto marks = sealer->Open(session.token);
        session.position = marks->groups.at(kGroup).position;
      }
      return true;
    });
  }
  fleet.Run(seconds(6));
  const std::string primary = fleet.PrimaryOf(kGroup);
  for (const std::string& label : read_labels) {
    const entry::CallerAnswer* answer = fleet.AnswerTo(label);
    if (answer == nullptr || answer->code != ResultCode::kOk)
      ++result.failed;
    else
      result.served_by_replica += answer->served_by != primary ? 1 : 0;
  }
  return result;
}

}  // namespace

int RunReads() {
  fmt::print(
      "Reads served by replicas, in percent (50 reads a second of {} sessions "
      "that write and read at any of 10 entries, {} s)\n'possible': a replica "
      "had reached the mark and the age when the read arrived\n\n"
      "{:<9} {:>8} {:>7} {:>7} | {:>8} {:>9} {:>8} | {:>6}\n",
      kSessions, kMeasuredDuration / seconds(1), "acked by", "writes/s",
      "lag ms", "age s", "replicas", "possible", "primary", "failed");
  using messages::Durability;
  for (const auto durability : {Durability::MAJORITY, Durability::PRIMARY}) {
    for (const int writes_per_second : {1, 10, 50}) {
      for (const int lag_ms : {5, 50, 500}) {
        for (const int max_age_s : {1, 10}) {
          const ReadCounts counts =
              MeasureReads(durability, writes_per_second, milliseconds(lag_ms),
                           seconds(max_age_s));
          const double percent = 100.0 / counts.reads;
          fmt::print(
              "{:<9} {:>8} {:>7} {:>7} | {:>8.1f} {:>9.1f} {:>8.1f} | {:>6}\n",
              durability == Durability::MAJORITY ? "majority" : "primary",
              writes_per_second, lag_ms, max_age_s,
              percent * counts.served_by_replica,
              percent * counts.possible_by_replica, 0.0, counts.failed);
        }
      }
    }
  }
  return 0;
}

}  // namespace goldcrest::bench
