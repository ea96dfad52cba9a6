#ifndef GOLDCREST_SETTINGS_DAEMON_SETTINGS_H_
#define GOLDCREST_SETTINGS_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/settings/problem.h"

namespace goldcrest::settings {

//! IP address and port.
struct Address {
  std::string host;
  std::uint16_t port = 0;
};

struct EntrySettings {
  Address caller_listen;
  Address operator_listen;
  Address peer_listen;
  int max_connections = 1000;
  std::size_t max_body_bytes = std::size_t{1} << 20U;
  std::chrono::milliseconds header_timeout{5'000};
  std::chrono::milliseconds body_timeout{10'000};
  std::chrono::milliseconds idle_timeout{60'000};
  //! Time between failing the health check and closing the listener.
  std::chrono::milliseconds drain_grace{2'000};
  int workers = 2;
};

struct ControlMember {
  std::string instance;
  Address address;  //!< Address of the peer listener.
};

struct ControlSettings {
  bool enabled = false;
  std::filesystem::path data_folder;
  std::vector<ControlMember> members;
  std::optional<std::filesystem::path> session_secret_file;
};

struct OperatorSettings {
  std::string token_digest;  //!< 32 bytes: SHA-256 of the token.
};

struct AnnounceSettings {
  std::filesystem::path secret_file;
};

enum class LogLevel : std::uint8_t { kError, kWarning, kInfo, kDebug };

struct LogSettings {
  LogLevel level = LogLevel::kInfo;
};

//! Settings of goldcrestd; docs/settings.md lists the keys.
struct DaemonSettings {
  std::string cluster;
  std::string instance;
  std::string zone;
  EntrySettings entry;
  ControlSettings control;
  OperatorSettings operators;
  AnnounceSettings announce;
  LogSettings log;
};

struct LoadedSettings {
  DaemonSettings settings;        //!< Complete only if there are no problems.
  std::vector<Problem> problems;  //!< All problems of the file, sorted by line.
};

//! Reads a TOML file. Paths in it are relative to its folder.
LoadedSettings LoadSettings(const std::filesystem::path& path);

//! Returns only the problems that LoadSettings finds.
std::vector<Problem> CheckSettings(const std::filesystem::path& path);

}  // namespace goldcrest::settings

#endif  // GOLDCREST_SETTINGS_DAEMON_SETTINGS_H_
