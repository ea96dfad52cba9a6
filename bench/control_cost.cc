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
constexpr std::size_t kObjectsPerChange = 10'000;
constexpr Duration kTrafficCountingDuration = seconds(10);

messages::Command MakeRegisterInstance(std::size_t number) {
  messages::Command command;
  command.__set_register_instance(MakeInstance(number));
  return command;
}

messages::Command MakeRegisterEndpoint(std::size_t number) {
  messages::Command command;
  command.__set_register_endpoint(MakeEndpoint(number));
  return command;
}

messages::Command MakeAssignCoordinator(std::size_t group,
                                        std::size_t instance) {
  messages::AssignCoordinator assign;
  assign.group = GroupName(group);
  assign.coordinator = InstanceName(instance);
  assign.epoch = 1;
  assign.cause = "group has no coordinator";
  messages::Command command;
  command.__set_assign_coordinator(assign);
  return command;
}

// Change 0 adds the customer to which all later changes add a key each.
messages::Command MakeChangeCommand(std::int64_t number) {
  messages::Change change;
  change.change_id = fmt::format("change-of-the-committee-{:06}", number);
  change.base_revision = number;
  change.author = "committee";
  change.objects.push_back(number == 0
                               ? MakeCustomer(CustomerName(0))
                               : MakeKey(static_cast<std::size_t>(number), 0));
  messages::Command command;
  command.__set_change(change);
  return command;
}

// Adds `customers` customers with one key each, `instances` entries and
// `groups` groups of three endpoints, with the groups' coordinators spread over
// the entries.
void FillState(control::ControlState& state,
               std::size_t instances,
               std::size_t groups,
               std::size_t customers) {
  for (std::size_t first_object = 0; first_object < 2 * customers;
       first_object += kObjectsPerChange) {
    messages::Command command;
    command.change.change_id = fmt::format("customers-{}", first_object);
    command.change.base_revision = state.configuration().Revision();
    command.change.author = "committee";
    for (std::size_t i = first_object;
         i < std::min(first_object + kObjectsPerChange, 2 * customers); ++i) {
      command.change.objects.push_back(
          i < customers ? MakeCustomer(CustomerName(i))
                        : MakeKey(i - customers, i - customers));
    }
    command.__isset.change = true;
    state.Apply(command);
  }
  for (std::size_t i = 0; i < instances; ++i)
    state.Apply(MakeRegisterInstance(i));
  for (std::size_t i = 0; i < 3 * groups; ++i)
    state.Apply(MakeRegisterEndpoint(i));
  for (std::size_t i = 0; i < groups; ++i)
    state.Apply(MakeAssignCoordinator(i, i % instances));
}

messages::EntryReport MakeIdleReport(std::size_t instance,
                                     const control::ControlState& state) {
  messages::EntryReport report;
  report.instance = MakeInstance(instance);
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
  FillState(state, instances, groups, customers);
  Time now = TimeFromMicros(1'000'000);
  control::Leader leader(
      &state, "control-1", 1, control::LeaderOptions(),
      [] { return std::string(32, 's'); }, now);
  std::vector<messages::EntryReport> reports;
  for (std::size_t i = 0; i < instances; ++i)
    reports.push_back(MakeIdleReport(i, state));
  std::size_t sent_messages = 0;
  for (const messages::EntryReport& report : reports)
    sent_messages += leader.OnReport(report, now).messages.size();
  std::size_t report_index = 0;
  const double report_micros = MicrosPerCall([&] {
    report_index = (report_index + 1) % instances;
    reports[report_index].sequence += 1;
    sent_messages +=
        leader.OnReport(reports[report_index], now).messages.size();
  });
  const double tick_micros = MicrosPerCall([&] {
    sent_messages += leader.Tick(1'700'000'000'000, now).messages.size();
  });
  // Load in processor cores at 4 reports a second from each entry and 100 ticks
  // a second.
  const double load_cores =
      (report_micros * 4 * static_cast<double>(instances) + tick_micros * 100) /
      1e6;
  messages::EntryReport stale_report = reports[0];
  stale_report.applied_groups_revision -= 1;
  const auto update =
      leader.OnReport(stale_report, now).messages.front().second;
  const std::string encoded_update = messages::Encode(update);
  std::size_t merged_updates = 0;
  const double merge_micros = MicrosPerCall([&] {
    entry::ControlView view;
    messages::ControlUpdate full_update = update.update;
    full_update.base_groups_revision = 0;
    merged_updates += view.Merge(full_update) ? 1 : 0;
  });
  const std::string snapshot = messages::Encode(state.Save());
  fmt::print(
      "{:>9} {:>7} {:>9} | {:>10.1f} {:>9.1f} {:>12.4f} | {:>12} {:>10.0f} | "
      "{:>10} {:>8}\n",
      instances, groups, customers, report_micros, tick_micros, load_cores,
      encoded_update.size(), merge_micros, snapshot.size(),
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
  FillState(state, 11, 33, 0);
  messages::PeerMessage report;
  report.__set_report(MakeIdleReport(1, state));
  std::size_t total_bytes = 0;
  fmt::print("\nCodec, in us a message\n\n{:<34} {:>8} | {:>8} {:>8}\n",
             "message", "bytes", "encode", "decode");
  const auto print_row = [&](std::string_view label,
                             const messages::PeerMessage& message) {
    const std::string encoded = messages::Encode(message);
    const double encode_micros =
        MicrosPerCall([&] { total_bytes += messages::Encode(message).size(); });
    const double decode_micros = MicrosPerCall(
        [&] { total_bytes += messages::DecodePeerMessage(encoded) ? 1 : 0; });
    fmt::print("{:<34} {:>8} | {:>8.2f} {:>8.2f}\n", label, encoded.size(),
               encode_micros, decode_micros);
  };
  print_row("report, idle, 3 groups", report);
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
  print_row("report, 10 shares, 3 groups", report);
  messages::PeerMessage ping;
  ping.__set_ping(123'456);
  print_row("ping", ping);
}

// ---- control traffic of fleets in virtual time ---------------------------

struct Traffic {
  double report_bytes = 0;  // bytes a second for each entry
  double update_bytes = 0;
  double consensus_bytes = 0;  // bytes a second of the whole fleet
};

Traffic CountTraffic(sessions::Fleet& fleet,
                     const std::function<void(Duration)>& run) {
  const auto before = fleet.control_bytes();
  fleet.CountControlBytes(true);
  run(kTrafficCountingDuration);
  fleet.CountControlBytes(false);
  const double entry_count = static_cast<double>(fleet.instances().size());
  const double seconds_counted =
      std::chrono::duration<double>(kTrafficCountingDuration).count();
  const auto bytes_per_second = [&](const std::string& kind) {
    const auto current = fleet.control_bytes().find(kind);
    const auto previous = before.find(kind);
    return (static_cast<double>(
                current == fleet.control_bytes().end() ? 0 : current->second) -
            static_cast<double>(previous == before.end() ? 0
                                                         : previous->second)) /
           seconds_counted;
  };
  return {bytes_per_second("report") / entry_count,
          bytes_per_second("update") / entry_count,
          bytes_per_second("consensus")};
}

void PrintTraffic(std::string_view label,
                  std::size_t entries,
                  std::size_t groups,
                  const Traffic& traffic,
                  double baseline) {
  const double total = traffic.report_bytes + traffic.update_bytes;
  fmt::print(
      "{:<30} {:>7} {:>6} | {:>8.0f} {:>8.0f} {:>8.0f} {:>8.0f} | "
      "{:>9.0f}\n",
      label, entries, groups, traffic.report_bytes, traffic.update_bytes, total,
      total - baseline, traffic.consensus_bytes);
}

// Each entry receives 20 requests a second, from kBusyCustomers customers in
// turn.
void RunBusyCustomers(sessions::Fleet& fleet, Duration length) {
  const auto names = fleet.instances();
  const Time end = fleet.now() + length;
  for (int number = 0; fleet.now() < end; ++number) {
    for (const std::string& name : names) {
      fleet.Call(fmt::format("{}-{}", name, number), name,
                 MakeRead(static_cast<std::size_t>(number % kBusyCustomers),
                          "bookings"));
    }
    fleet.Run(milliseconds(50));
  }
}

// Prints and returns the report and update bytes a second for each entry of an
// idle fleet. The first call's figure is the baseline of the rows that it and
// later calls print.
double MeasureIdleTraffic(int entries, int groups) {
  sessions::Fleet fleet(entries, 3);
  for (int i = 1; i < groups; ++i)
    fleet.AddGroup(GroupName(static_cast<std::size_t>(i)), 3, 3);
  StartFleet(fleet, kBusyCustomers, 3,
             CustomerPolicy{.rate = 1'000, .burst = 1'000});
  fleet.Run(seconds(5));
  const Traffic traffic =
      CountTraffic(fleet, [&](Duration length) { fleet.Run(length); });
  static double first_total = 0;
  const double total = traffic.report_bytes + traffic.update_bytes;
  if (first_total == 0)
    first_total = total;
  PrintTraffic("idle", static_cast<std::size_t>(entries),
               static_cast<std::size_t>(groups), traffic, first_total);
  return total;
}

void MeasureTraffic() {
  fmt::print(
      "\nControl bytes a second an entry (virtual time; 'more' beside "
      "the first line)\n\n{:<30} {:>7} {:>6} | {:>8} {:>8} {:>8} {:>8} "
      "| {:>9}\n",
      "state", "entries", "groups", "reports", "updates", "all", "more",
      "log, all");
  const double idle_total = MeasureIdleTraffic(11, 1);
  MeasureIdleTraffic(5, 1);
  MeasureIdleTraffic(22, 1);
  MeasureIdleTraffic(11, 12);
  MeasureIdleTraffic(11, 34);
  sessions::Fleet fleet(11, 3);
  StartFleet(fleet, kBusyCustomers, 3,
             CustomerPolicy{.rate = 1'000, .burst = 1'000});
  RunBusyCustomers(fleet, seconds(5));
  PrintTraffic(
      "10 busy customers", 11, 1,
      CountTraffic(fleet,
                   [&](Duration length) { RunBusyCustomers(fleet, length); }),
      idle_total);
  fleet.Run(seconds(30));
  const Traffic idle_traffic =
      CountTraffic(fleet, [&](Duration length) { fleet.Run(length); });
  const Traffic change_traffic = CountTraffic(fleet, [&](Duration length) {
    const Time end = fleet.now() + length;
    AddKeyToFirstCustomer(fleet, 1'000);
    fleet.Run(end - fleet.now());
  });
  PrintTraffic("the same customers, at rest", 11, 1, idle_traffic, idle_total);
  PrintTraffic("one change in 10 s", 11, 1, change_traffic,
               idle_traffic.report_bytes + idle_traffic.update_bytes);
  fmt::print(
      "one change costs {:.0f} bytes an entry and {:.0f} bytes of log "
      "messages\n",
      10 * (change_traffic.report_bytes + change_traffic.update_bytes -
            idle_traffic.report_bytes - idle_traffic.update_bytes),
      10 * (change_traffic.consensus_bytes - idle_traffic.consensus_bytes));
}

// ---- recovery ------------------------------------------------------------

double MeasureWallMillis(const std::function<void()>& run) {
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
    entry.command = messages::Encode(MakeChangeCommand(i));
    state.Apply(MakeChangeCommand(i));
    entries.push_back(std::move(entry));
  }
  consensus::HardState hard_state;
  hard_state.term = 1;
  bool succeeded = static_cast<bool>(store->Apply({hard_state}));
  const double append_millis = MeasureWallMillis([&] {
    for (const messages::LogEntry& entry : entries) {
      succeeded =
          succeeded &&
          static_cast<bool>(store->Apply({consensus::AppendEntries{{entry}}}));
    }
  });
  store.reset();
  const double open_millis =
      MeasureWallMillis([&] { store = OpenStore(folder, &restored); });
  const double replay_millis = MeasureWallMillis([&] {
    control::ControlState rebuilt_state;
    for (const messages::LogEntry& entry : restored.entries)
      rebuilt_state.Apply(*messages::DecodeCommand(entry.command));
  });
  consensus::SaveSnapshot save;
  save.snapshot.last_index = changes;
  save.snapshot.last_term = 1;
  save.snapshot.members = {"control-1"};
  const double encode_millis = MeasureWallMillis(
      [&] { save.snapshot.data = messages::Encode(state.Save()); });
  succeeded =
      succeeded && store != nullptr && static_cast<bool>(store->Apply({save}));
  store.reset();
  const double load_millis = MeasureWallMillis([&] {
    store = OpenStore(folder, &restored);
    control::ControlState rebuilt_state;
    const auto snapshot =
        messages::DecodeControlSnapshot(restored.snapshot.data);
    succeeded = succeeded && snapshot.has_value();
    if (snapshot)
      rebuilt_state.Load(*snapshot);
  });
  std::uintmax_t log_bytes = 0;
  for (const messages::LogEntry& entry : entries)
    log_bytes += messages::Encode(entry).size();
  fmt::print(
      "{:>8} | {:>10.3f} {:>10} {:>9.1f} {:>9.1f} | {:>10} {:>9.1f} "
      "{:>9.1f} | {}\n",
      changes, append_millis / static_cast<double>(changes), log_bytes,
      open_millis, replay_millis, save.snapshot.data.size(), encode_millis,
      load_millis, succeeded ? "ok" : "FAILED");
  store.reset();
  std::filesystem::remove_all(folder);
}

}  // namespace

void RunControlCost() {
  MeasureCodec();
  fmt::print(
      "\nEncoded bytes in an update: endpoint {}, group with 4 terms {}, "
      "instance {}, share {}\n",
      EncodedEndpointBytes(), EncodedGroupBytes(), EncodedInstanceBytes(),
      EncodedShareBytes());
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
