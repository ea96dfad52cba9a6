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
void AssignIfSet(Value& value, Read read) {
  if (read)
    value = std::move(*read);
}

template <typename Value>
void AssignIntegerIfSet(Value& value, std::optional<std::int64_t> read) {
  if (read)
    value = static_cast<Value>(*read);
}

void ReadEntry(TableReader table, EntrySettings& entry) {
  AssignIfSet(entry.caller_listen,
              table.ReadAddress("caller_listen", Need::kRequired));
  AssignIfSet(entry.operator_listen,
              table.ReadAddress("operator_listen", Need::kRequired));
  AssignIfSet(entry.peer_listen,
              table.ReadAddress("peer_listen", Need::kRequired));
  AssignIntegerIfSet(entry.max_connections,
                     table.ReadInteger("max_connections", 1, kMaxConnections));
  AssignIntegerIfSet(entry.max_body_bytes,
                     table.ReadInteger("max_body_bytes", 1, kMaxBodyBytes));
  table.ReadMilliseconds("header_timeout_ms", entry.header_timeout);
  table.ReadMilliseconds("body_timeout_ms", entry.body_timeout);
  table.ReadMilliseconds("idle_timeout_ms", entry.idle_timeout);
  table.ReadMilliseconds("drain_grace_ms", entry.drain_grace);
  AssignIntegerIfSet(entry.workers,
                     table.ReadInteger("workers", 1, kMaxWorkers));
  table.AddUnknownKeyProblems();
}

void ReadMembers(TableReader& table,
                 const std::string& instance,
                 ControlSettings& control) {
  std::set<std::string> names;
  for (TableReader& reader : table.ReadTables("members", Need::kRequired)) {
    ControlMember member;
    AssignIfSet(member.instance, reader.ReadText("instance", Need::kRequired));
    AssignIfSet(member.address, reader.ReadAddress("address", Need::kRequired));
    reader.AddUnknownKeyProblems();
    if (!member.instance.empty() && !names.insert(member.instance).second)
      reader.AddProblem("instance", ResultCode::kSettingsOutOfRange,
                        "each instance once");
    control.members.push_back(std::move(member));
  }
  if (control.enabled && !control.members.empty() && !names.contains(instance))
    table.AddProblem("members", ResultCode::kSettingsOutOfRange,
                     "this instance among the members, as control is enabled");
}

void ReadControl(TableReader table,
                 const std::filesystem::path& folder,
                 const std::string& instance,
                 ControlSettings& control) {
  AssignIfSet(control.enabled, table.ReadBool("enabled"));
  const auto data_folder = table.ReadText(
      "data_folder", control.enabled ? Need::kRequired : Need::kOptional);
  if (data_folder)
    control.data_folder = folder / *data_folder;
  ReadMembers(table, instance, control);
  if (const auto file = table.ReadText("session_secret_file", Need::kOptional))
    control.session_secret_file = folder / *file;
  table.AddUnknownKeyProblems();
}

void ReadSettings(TableReader file,
                  const std::filesystem::path& folder,
                  DaemonSettings& settings) {
  AssignIfSet(settings.cluster, file.ReadText("cluster", Need::kRequired));
  AssignIfSet(settings.instance, file.ReadText("instance", Need::kRequired));
  AssignIfSet(settings.zone, file.ReadText("zone", Need::kRequired));
  ReadEntry(file.ReadTable("entry"), settings.entry);
  ReadControl(file.ReadTable("control"), folder, settings.instance,
              settings.control);
  TableReader operators = file.ReadTable("operator");
  AssignIfSet(settings.operators.token_digest,
              operators.ReadDigest("token_digest", Need::kRequired));
  operators.AddUnknownKeyProblems();
  TableReader announce = file.ReadTable("announce");
  if (const auto secret = announce.ReadText("secret_file", Need::kRequired))
    settings.announce.secret_file = folder / *secret;
  announce.AddUnknownKeyProblems();
  TableReader log = file.ReadTable("log");
  AssignIfSet(settings.log.level, log.ReadLogLevel("level"));
  log.AddUnknownKeyProblems();
  file.AddUnknownKeyProblems();
}

}  // namespace

LoadedSettings LoadSettings(const std::filesystem::path& path) {
  LoadedSettings loaded;
  const std::string file = path.string();
  try {
    const toml::table table = toml::parse_file(file);
    ReadSettings(TableReader(&table, "", file, 1, &loaded.problems),
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
