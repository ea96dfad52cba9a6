#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>
#include <boost/leaf/handle_errors.hpp>

#include "bench/bench.h"
#include "bench/fleet_setup.h"
#include "bench/measure.h"
#include "bench/objects.h"
#include "goldcrest/control/control_state.h"
#include "goldcrest/control/leader.h"
#include "goldcrest/entry/control_view.h"
#include "goldcrest/messages/codec.h"
#include "goldcrest/sessions/fleet.h"
#include "goldcrest/storage/log_store.h"

namespace goldcrest::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kBusyCustomers = 10;
constexpr std::size_t kPerChange = 10'000;
constexpr Duration kLength = seconds(10);  // over which bytes are counted

messages::Command RegisterInstance(std::size_t number) {
  messages::Command command;
  command.__set_register_instance(Instance(number));
  return command;
}

messages::Command RegisterEndpoint(std::size_t number) {
  messages::Command command;
  command.__set_register_endpoint(Endpoint(number));
  return command;
}

messages::Command Assign(std::size_t group, std::size_t instance) {
  messages::AssignCoordinator assign;
  assign.group = GroupName(group);
  assign.coordinator = InstanceName(instance);
  assign.epoch = 1;
  assign.cause = "group has no coordinator";
  messages::Command command;
  command.__set_assign_coordinator(assign);
  return command;
}

messages::Command Change(std::int64_t number) {
  messages::Change change;
  change.change_id = fmt::format("change-of-the-committee-{:06}", number);
  change.base_revision = number;
  change.author = "committee";
  change.objects.push_back(number == 0
                               ? Customer(CustomerName(0))
                               : Key(static_cast<std::size_t>(number), 0));
  messages::Command command;
  command.__set_change(change);
  return command;
}

// Control's state with `instances` entries that coordinate `groups` groups.
void Fill(control::ControlState& state,
          std::size_t instances,
          std::size_t groups,
          std::size_t customers) {
  for (std::size_t first = 0; first < 2 * customers; first += kPerChange) {
    messages::Command command;
    command.change.change_id = fmt::format("customers-{}", first);
    command.change.base_revision = state.configuration().Revision();
    command.change.author = "committee";
    for (std::size_t i = first; i < std::min(first + kPerChange, 2 * customers);
         ++i) {
      command.change.objects.push_back(i < customers
                                           ? Customer(CustomerName(i))
                                           : Key(i - customers, i - customers));
    }
    command.__isset.change = true;
    state.Apply(command);
  }
  for (std::size_t i = 0; i < instances; ++i)
    state.Apply(RegisterInstance(i));
  for (std::size_t i = 0; i < 3 * groups; ++i)
    state.Apply(RegisterEndpoint(i));
  for (std::size_t i = 0; i < groups; ++i)
    state.Apply(Assign(i, i % instances));
}

messages::EntryReport IdleReport(std::size_t instance,
                                 const control::ControlState& state) {
  messages::EntryReport report;
  report.instance = Instance(instance);
  report.applied_revision = state.configuration().Revision();
  report.applied_groups_revision = state.groups_revision();
  report.shares.resize(1);
  report.coordinators.resize(state.groups().size() / state.instances().size());
  for (std::size_t i = 0; i < report.coordinators.size(); ++i)
    report.coordinators[i].group = GroupName(instance);
  return report;
}

void MeasureLeader(std::size_t instances,
                   std::size_t groups,
                   std::size_t customers) {
  control::ControlState state;
  Fill(state, instances, groups, customers);
  Time now = TimeFromMicros(1'000'000);
  control::Leader leader(
      &state, "control-1", 1, control::LeaderOptions(),
      [] { return std::string(32, 's'); }, now);
  std::vector<messages::EntryReport> reports;
  for (std::size_t i = 0; i < instances; ++i)
    reports.push_back(IdleReport(i, state));
  std::size_t sent = 0;
  for (const messages::EntryReport& report : reports)
    sent += leader.OnReport(report, now).messages.size();
  std::size_t next = 0;
  const double report = MicrosPerCall([&] {
    next = (next + 1) % instances;
    reports[next].sequence += 1;
    sent += leader.OnReport(reports[next], now).messages.size();
  });
  const double tick = MicrosPerCall(
      [&] { sent += leader.Tick(1'700'000'000'000, now).messages.size(); });
  // The share of a core at four reports an entry and 100 ticks a second.
  const double core =
      (report * 4 * static_cast<double>(instances) + tick * 100) / 1e6;
  messages::EntryReport behind = reports[0];
  behind.applied_groups_revision -= 1;
  const auto update = leader.OnReport(behind, now).messages.front().second;
  const std::string bytes = messages::Encode(update);
  std::size_t merged = 0;
  const double merge = MicrosPerCall([&] {
    entry::ControlView view;
    messages::ControlUpdate full = update.update;
    full.base_groups_revision = 0;
    merged += view.Merge(full) ? 1 : 0;
  });
  const std::string snapshot = messages::Encode(state.Save());
  fmt::print(
      "{:>9} {:>7} {:>9} | {:>10.1f} {:>9.1f} {:>12.4f} | {:>12} {:>10.0f} | "
      "{:>10} {:>8}\n",
      instances, groups, customers, report, tick, core, bytes.size(), merge,
      snapshot.size(),
      messages::DecodeControlSnapshot(snapshot) ? "yes" : "NO");
}

void MeasureLeaders() {
  fmt::print(
      "\nControl leader, idle entries; an update after one group change\n"
      "(load: 4 reports a second an entry and 100 ticks a second, without "
      "codec and network)\n\n"
      "{:>9} {:>7} {:>9} | {:>10} {:>9} {:>12} | {:>12} {:>10} | {:>10} "
      "{:>8}\n",
      "instances", "groups", "customers", "us/report", "us/tick",
      "load (cores)", "update bytes", "us to take", "snapshot B", "readable");
  MeasureLeader(11, 3, 10);
  MeasureLeader(100, 300, 1'000);
  MeasureLeader(650, 1'945, 10'000);
  MeasureLeader(3'900, 11'667, 10'000);
  MeasureLeader(3'900, 11'667, 100'000);
}

void MeasureCodec() {
  control::ControlState state;
  Fill(state, 11, 33, 0);
  messages::PeerMessage report;
  report.__set_report(IdleReport(1, state));
  std::size_t bytes = 0;
  fmt::print("\nCodec, in us a message\n\n{:<34} {:>8} | {:>8} {:>8}\n",
             "message", "bytes", "encode", "decode");
  const auto print = [&](std::string_view what,
                         const messages::PeerMessage& message) {
    const std::string text = messages::Encode(message);
    const double encode =
        MicrosPerCall([&] { bytes += messages::Encode(message).size(); });
    const double decode = MicrosPerCall(
        [&] { bytes += messages::DecodePeerMessage(text) ? 1 : 0; });
    fmt::print("{:<34} {:>8} | {:>8.2f} {:>8.2f}\n", what, text.size(), encode,
               decode);
  };
  print("report, idle, 3 groups", report);
  for (int i = 0; i < kBusyCustomers; ++i) {
    messages::ShareReport share;
    share.customer = CustomerName(static_cast<std::size_t>(i));
    share.share_sequence = 123'456;
    share.owner_term = 3;
    share.rate_micros = 12'345'678;
    share.capacity_micros = 12'345'678;
    share.level_micros = 12'345'678;
    share.demand_micros = 12'345'678;
    report.report.shares.push_back(share);
  }
  print("report, 10 shares, 3 groups", report);
  messages::PeerMessage ping;
  ping.__set_ping(123'456);
  print("ping", ping);
}

// ---- bytes on the wire, from fleets in virtual time ----------------------

struct Traffic {
  double reports = 0;  // bytes a second an entry
  double updates = 0;
  double consensus = 0;  // bytes a second of the whole fleet
};

Traffic CountTraffic(sessions::Fleet& fleet,
                     const std::function<void(Duration)>& run) {
  const auto before = fleet.control_bytes();
  fleet.CountControlBytes(true);
  run(kLength);
  fleet.CountControlBytes(false);
  const double entries = static_cast<double>(fleet.instances().size());
  const double length = std::chrono::duration<double>(kLength).count();
  const auto rate = [&](const std::string& kind) {
    const auto now = fleet.control_bytes().find(kind);
    const auto old = before.find(kind);
    return (static_cast<double>(
                now == fleet.control_bytes().end() ? 0 : now->second) -
            static_cast<double>(old == before.end() ? 0 : old->second)) /
           length;
  };
  return {rate("report") / entries, rate("update") / entries,
          rate("consensus")};
}

void PrintTraffic(std::string_view what,
                  std::size_t entries,
                  std::size_t groups,
                  const Traffic& traffic,
                  double base) {
  const double all = traffic.reports + traffic.updates;
  fmt::print(
      "{:<30} {:>7} {:>6} | {:>8.0f} {:>8.0f} {:>8.0f} {:>8.0f} | "
      "{:>9.0f}\n",
      what, entries, groups, traffic.reports, traffic.updates, all, all - base,
      traffic.consensus);
}

// Ten customers send at each entry, 20 requests a second in all.
void RunBusy(sessions::Fleet& fleet, Duration length) {
  const auto names = fleet.instances();
  const Time end = fleet.now() + length;
  for (int number = 0; fleet.now() < end; ++number) {
    for (const std::string& name : names) {
      fleet.Call(fmt::format("{}-{}", name, number), name,
                 ReadBy(static_cast<std::size_t>(number % kBusyCustomers),
                        "bookings"));
    }
    fleet.Run(milliseconds(50));
  }
}

double IdleBytes(int entries, int groups) {
  sessions::Fleet fleet(entries, 3);
  for (int i = 1; i < groups; ++i)
    fleet.AddGroup(GroupName(static_cast<std::size_t>(i)), 3, 3);
  StartFleet(fleet, kBusyCustomers, 3, Load{.rate = 1'000, .burst = 1'000});
  fleet.Run(seconds(5));
  const Traffic traffic =
      CountTraffic(fleet, [&](Duration length) { fleet.Run(length); });
  static double first = 0;
  const double all = traffic.reports + traffic.updates;
  if (first == 0)
    first = all;
  PrintTraffic("idle", static_cast<std::size_t>(entries),
               static_cast<std::size_t>(groups), traffic, first);
  return all;
}

void MeasureTraffic() {
  fmt::print(
      "\nControl bytes a second an entry (virtual time; 'more' beside "
      "the first line)\n\n{:<30} {:>7} {:>6} | {:>8} {:>8} {:>8} {:>8} "
      "| {:>9}\n",
      "state", "entries", "groups", "reports", "updates", "all", "more",
      "log, all");
  const double idle = IdleBytes(11, 1);
  IdleBytes(5, 1);
  IdleBytes(22, 1);
  IdleBytes(11, 12);
  IdleBytes(11, 34);
  sessions::Fleet fleet(11, 3);
  StartFleet(fleet, kBusyCustomers, 3, Load{.rate = 1'000, .burst = 1'000});
  RunBusy(fleet, seconds(5));
  PrintTraffic(
      "10 busy customers", 11, 1,
      CountTraffic(fleet, [&](Duration length) { RunBusy(fleet, length); }),
      idle);
  fleet.Run(seconds(30));
  const Traffic quiet =
      CountTraffic(fleet, [&](Duration length) { fleet.Run(length); });
  const Traffic changed = CountTraffic(fleet, [&](Duration length) {
    const Time end = fleet.now() + length;
    AddKey(fleet, 1'000);
    fleet.Run(end - fleet.now());
  });
  PrintTraffic("the same customers, at rest", 11, 1, quiet, idle);
  PrintTraffic("one change in 10 s", 11, 1, changed,
               quiet.reports + quiet.updates);
  fmt::print(
      "one change costs {:.0f} bytes an entry and {:.0f} bytes of log "
      "messages\n",
      10 * (changed.reports + changed.updates - quiet.reports - quiet.updates),
      10 * (changed.consensus - quiet.consensus));
}

// ---- recovery ------------------------------------------------------------

double MillisOf(const std::function<void()>& run) {
  const auto start = std::chrono::steady_clock::now();
  run();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
      .count();
}

std::unique_ptr<storage::LogStore> OpenStore(
    const std::filesystem::path& folder,
    consensus::RestoredState* state) {
  std::unique_ptr<storage::LogStore> store;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        storage::LogStoreOptions options;
        options.folder = folder;
        options.cluster = "bench";
        options.instance = "control-1";
        BOOST_LEAF_AUTO(opened, storage::LogStore::Open(options));
        store = std::move(opened.store);
        *state = std::move(opened.state);
        return {};
      },
      [](const storage::StorageError& error) {
        fmt::print("{}\n", error.message);
      },
      [] {});
  return store;
}

void MeasureRecovery(std::int64_t changes) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "goldcrest_bench.XXXXXX")
          .string();
  if (mkdtemp(pattern.data()) == nullptr)
    return;
  const std::filesystem::path folder = pattern;
  consensus::RestoredState restored;
  auto store = OpenStore(folder, &restored);
  if (store == nullptr)
    return;
  control::ControlState state;
  std::vector<messages::LogEntry> entries;
  for (std::int64_t i = 0; i < changes; ++i) {
    messages::LogEntry entry;
    entry.term = 1;
    entry.index = i + 1;
    entry.command = messages::Encode(Change(i));
    state.Apply(Change(i));
    entries.push_back(std::move(entry));
  }
  consensus::HardState hard;
  hard.term = 1;
  bool written = static_cast<bool>(store->Apply({hard}));
  const double append = MillisOf([&] {
    for (const messages::LogEntry& entry : entries) {
      written =
          written &&
          static_cast<bool>(store->Apply({consensus::AppendEntries{{entry}}}));
    }
  });
  store.reset();
  const double open = MillisOf([&] { store = OpenStore(folder, &restored); });
  const double replay = MillisOf([&] {
    control::ControlState again;
    for (const messages::LogEntry& entry : restored.entries)
      again.Apply(*messages::DecodeCommand(entry.command));
  });
  consensus::SaveSnapshot save;
  save.snapshot.last_index = changes;
  save.snapshot.last_term = 1;
  save.snapshot.members = {"control-1"};
  const double encode =
      MillisOf([&] { save.snapshot.data = messages::Encode(state.Save()); });
  written =
      written && store != nullptr && static_cast<bool>(store->Apply({save}));
  store.reset();
  const double load = MillisOf([&] {
    store = OpenStore(folder, &restored);
    control::ControlState again;
    const auto snapshot =
        messages::DecodeControlSnapshot(restored.snapshot.data);
    written = written && snapshot.has_value();
    if (snapshot)
      again.Load(*snapshot);
  });
  std::uintmax_t log_bytes = 0;
  for (const messages::LogEntry& entry : entries)
    log_bytes += messages::Encode(entry).size();
  fmt::print(
      "{:>8} | {:>10.3f} {:>10} {:>9.1f} {:>9.1f} | {:>10} {:>9.1f} "
      "{:>9.1f} | {}\n",
      changes, append / static_cast<double>(changes), log_bytes, open, replay,
      save.snapshot.data.size(), encode, load, written ? "ok" : "FAILED");
  store.reset();
  std::filesystem::remove_all(folder);
}

}  // namespace

void RunControlCost() {
  MeasureCodec();
  fmt::print(
      "\nEncoded bytes in an update: endpoint {}, group with 4 terms {}, "
      "instance {}, share {}\n",
      EncodedEndpoint(), EncodedGroup(), EncodedInstance(), EncodedShare());
  MeasureLeaders();
  MeasureTraffic();
  fmt::print(
      "\nRecovery of a control member (wall time, data folder in {}); "
      "replay of the log beside the snapshot\n\n"
      "{:>8} | {:>10} {:>10} {:>9} {:>9} | {:>10} {:>9} {:>9} |\n",
      std::filesystem::temp_directory_path().string(), "changes", "ms/append",
      "log bytes", "ms open", "ms replay", "snapshot B", "ms encode",
      "ms load");
  MeasureRecovery(1'000);
  MeasureRecovery(10'000);
}

}  // namespace goldcrest::bench
