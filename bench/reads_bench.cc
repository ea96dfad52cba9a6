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
constexpr Duration kLength = seconds(20);
constexpr Duration kReadInterval = milliseconds(20);
constexpr Duration kStep = milliseconds(1);
constexpr int kSessions = 10;
constexpr int kSlots = 3;

struct Session {
  std::string token;
  std::int64_t position = 0;  // of the last acknowledged write
};

struct Result {
  int reads = 0;
  int by_replica = 0;
  int possible = 0;
  int failed = 0;
};

// Some replica holds the position, and what it lacks is no older than `age`.
bool ReplicaCould(sessions::FakeGroup& group,
                  std::int64_t position,
                  Duration age,
                  Time now) {
  const sessions::FakeGroup::Member* primary = nullptr;
  for (const auto& [name, member] : group.members())
    primary = member.primary ? &member : primary;
  if (primary == nullptr)
    return false;
  for (const auto& [name, member] : group.members()) {
    const auto held = static_cast<std::int64_t>(member.log.size());
    if (&member == primary || held < position)
      continue;
    if (member.log.size() >= primary->log.size() ||
        now - primary->log[member.log.size()].added <= age)
      return true;
  }
  return false;
}

Result Measure(messages::Durability::type durability,
               int writes_a_second,
               Duration lag,
               milliseconds age) {
  sessions::Fleet fleet(10, 3);
  StartFleet(fleet, 1, kSlots, Load{.max_age = age, .durability = durability});
  sessions::FakeGroup& group = fleet.group(kGroup);
  for (auto& [name, member] : group.members())
    member.lag = lag;
  fleet.Run(seconds(5));
  std::mt19937 random(1);
  std::vector<Session> sessions(kSessions);
  std::map<std::string, std::size_t> writes;
  std::set<std::string> reads;
  Result result;
  const Time end = fleet.now() + kLength;
  Time next_write = fleet.now();
  Time next_read = fleet.now();
  for (int number = 0; fleet.now() < end; ++number) {
    const std::size_t chosen = random() % kSessions;
    const std::string entry = fmt::format("e{}", random() % 10 + 1);
    if (fleet.now() >= next_write) {
      next_write += Duration(seconds(1)) / writes_a_second;
      entry::CallerRequest request = WriteBy(0, kGroup);
      request.session_token = sessions[chosen].token;
      const std::string label = fmt::format("w{}", number);
      writes[label] = chosen;
      fleet.Call(label, entry, request);
    }
    if (fleet.now() >= next_read) {
      next_read += kReadInterval;
      entry::CallerRequest request = ReadBy(0, kGroup);
      request.session_token = sessions[chosen].token;
      result.possible +=
          ReplicaCould(group, sessions[chosen].position, age, fleet.now()) ? 1
                                                                           : 0;
      const std::string label = fmt::format("r{}", number);
      reads.insert(label);
      ++result.reads;
      fleet.Call(label, entry, request);
    }
    fleet.Run(kStep);
    std::erase_if(writes, [&](const auto& write) {
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
  for (const std::string& label : reads) {
    const entry::CallerAnswer* answer = fleet.AnswerTo(label);
    if (answer == nullptr || answer->code != ResultCode::kOk)
      ++result.failed;
    else
      result.by_replica += answer->served_by != primary ? 1 : 0;
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
      kSessions, kLength / seconds(1), "acked by", "writes/s", "lag ms",
      "age s", "replicas", "possible", "primary", "failed");
  using messages::Durability;
  for (const auto durability : {Durability::MAJORITY, Durability::PRIMARY}) {
    for (const int writes : {1, 10, 50}) {
      for (const int lag : {5, 50, 500}) {
        for (const int age : {1, 10}) {
          const Result result =
              Measure(durability, writes, milliseconds(lag), seconds(age));
          const double percent = 100.0 / result.reads;
          fmt::print(
              "{:<9} {:>8} {:>7} {:>7} | {:>8.1f} {:>9.1f} {:>8.1f} | {:>6}\n",
              durability == Durability::MAJORITY ? "majority" : "primary",
              writes, lag, age, percent * result.by_replica,
              percent * result.possible, 0.0, result.failed);
        }
      }
    }
  }
  return 0;
}

}  // namespace goldcrest::bench
