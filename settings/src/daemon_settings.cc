#include "goldcrest/settings/daemon_settings.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "table_reader.h"

namespace goldcrest::settings {
namespace {

using Need = TableReader::Need;

constexpr std::int64_t kMaxConnections = 1'000'000;
constexpr std::int64_t kMaxBodyBytes = std::int64_t{1} << 30U;
constexpr std::int64_t kMaxWorkers = 256;

template <typename Value, typename Read>
void Assign(Value& value, Read read) {
  if (read)
    value = std::move(*read);
}

template <typename Value>
void AssignInteger(Value& value, std::optional<std::int64_t> read) {
  if (read)
    value = static_cast<Value>(*read);
}

void ReadEntry(TableReader table, EntrySettings& entry) {
  Assign(entry.caller_listen,
         table.ReadAddress("caller_listen", Need::kRequired));
  Assign(entry.operator_listen,
         table.ReadAddress("operator_listen", Need::kRequired));
  Assign(entry.peer_listen, table.ReadAddress("peer_listen", Need::kRequired));
  AssignInteger(entry.max_connections,
                table.Integer("max_connections", 1, kMaxConnections));
  AssignInteger(entry.max_body_bytes,
                table.Integer("max_body_bytes", 1, kMaxBodyBytes));
  table.Millis("header_timeout_ms", entry.header_timeout);
  table.Millis("body_timeout_ms", entry.body_timeout);
  table.Millis("idle_timeout_ms", entry.idle_timeout);
  table.Millis("drain_grace_ms", entry.drain_grace);
  AssignInteger(entry.workers, table.Integer("workers", 1, kMaxWorkers));
  table.CheckUnknownKeys();
}

void ReadMembers(TableReader& table,
                 const std::string& instance,
                 ControlSettings& control) {
  std::set<std::string> names;
  for (TableReader& reader : table.Tables("members", Need::kRequired)) {
    ControlMember member;
    Assign(member.instance, reader.Text("instance", Need::kRequired));
    Assign(member.address, reader.ReadAddress("address", Need::kRequired));
    reader.CheckUnknownKeys();
    if (!member.instance.empty() && !names.insert(member.instance).second)
      reader.Note("instance", ResultCode::kSettingsOutOfRange,
                  "each instance once");
    control.members.push_back(std::move(member));
  }
  if (control.enabled && !control.members.empty() && !names.contains(instance))
    table.Note("members", ResultCode::kSettingsOutOfRange,
               "this instance among the members, as control is enabled");
}

void ReadControl(TableReader table,
                 const std::filesystem::path& folder,
                 const std::string& instance,
                 ControlSettings& control) {
  Assign(control.enabled, table.Flag("enabled"));
  const auto data_folder = table.Text(
      "data_folder", control.enabled ? Need::kRequired : Need::kOptional);
  if (data_folder)
    control.data_folder = folder / *data_folder;
  ReadMembers(table, instance, control);
  if (const auto file = table.Text("session_secret_file", Need::kOptional))
    control.session_secret_file = folder / *file;
  table.CheckUnknownKeys();
}

void ReadAll(TableReader file,
             const std::filesystem::path& folder,
             DaemonSettings& settings) {
  Assign(settings.cluster, file.Text("cluster", Need::kRequired));
  Assign(settings.instance, file.Text("instance", Need::kRequired));
  Assign(settings.zone, file.Text("zone", Need::kRequired));
  ReadEntry(file.Table("entry"), settings.entry);
  ReadControl(file.Table("control"), folder, settings.instance,
              settings.control);
  TableReader operators = file.Table("operator");
  Assign(settings.operators.token_digest,
         operators.Digest("token_digest", Need::kRequired));
  operators.CheckUnknownKeys();
  TableReader announce = file.Table("announce");
  if (const auto secret = announce.Text("secret_file", Need::kRequired))
    settings.announce.secret_file = folder / *secret;
  announce.CheckUnknownKeys();
  TableReader log = file.Table("log");
  Assign(settings.log.level, log.Level("level"));
  log.CheckUnknownKeys();
  file.CheckUnknownKeys();
}

}  // namespace

LoadedSettings LoadSettings(const std::filesystem::path& path) {
  LoadedSettings loaded;
  const std::string file = path.string();
  try {
    const toml::table table = toml::parse_file(file);
    ReadAll(TableReader(&table, "", file, 1, &loaded.problems),
            path.parent_path(), loaded.settings);
  } catch (const toml::parse_error& error) {
    loaded.problems.push_back(
        {file, error.source().begin.line, "", ResultCode::kSettingsUnreadable,
         "valid TOML: " + std::string(error.description())});
  }
  std::ranges::stable_sort(loaded.problems, {}, &Problem::line);
  return loaded;
}

std::vector<Problem> CheckSettings(const std::filesystem::path& path) {
  return LoadSettings(path).problems;
}

}  // namespace goldcrest::settings
