#ifndef GOLDCREST_SETTINGS_TABLE_READER_H_
#define GOLDCREST_SETTINGS_TABLE_READER_H_

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "goldcrest/settings/daemon_settings.h"
#include "goldcrest/settings/problem.h"

namespace goldcrest::settings {

//! Reads the values of one TOML table and records every problem. The Read
//! functions return nullopt when there is no valid value.
class TableReader {
 public:
  enum class Need : std::uint8_t { kOptional, kRequired };

  //! `name` is the table's full name, empty for the root table. If `table`
  //! is null, its required keys are reported missing at `line`.
  TableReader(const toml::table* table,
              std::string name,
              std::string file,
              std::uint32_t line,
              std::vector<Problem>* problems);

  std::optional<std::string> ReadText(std::string_view key, Need need);
  std::optional<std::string> ReadDigest(std::string_view key, Need need);
  std::optional<Address> ReadAddress(std::string_view key, Need need);
  std::optional<std::int64_t> ReadInteger(std::string_view key,
                                          std::int64_t low,
                                          std::int64_t high);
  //! Sets `value` if the key has a valid value, from 1 ms to one day.
  void ReadMilliseconds(std::string_view key, std::chrono::milliseconds& value);
  std::optional<bool> ReadBool(std::string_view key);
  std::optional<LogLevel> ReadLogLevel(std::string_view key);
  TableReader ReadTable(std::string_view key);
  //! Returns a reader for each table of an array; with kRequired the array must
  //! not be empty.
  std::vector<TableReader> ReadTables(std::string_view key, Need need);

  //! Adds a problem for each key that no Read function was called with.
  void AddUnknownKeyProblems();
  void AddProblem(std::string_view key, ResultCode code, std::string expected);

 private:
  const toml::node* FindNode(std::string_view key);
  void AddMissingKeyProblem(std::string_view key,
                            Need need,
                            std::string expected);
  std::optional<std::string> ReadNonEmptyText(std::string_view key,
                                              Need need,
                                              std::string expected);

  const toml::table* table_;
  std::string name_;
  std::string file_;
  std::uint32_t line_;
  std::vector<Problem>* problems_;
  std::set<std::string, std::less<>> read_keys_;
};

}  // namespace goldcrest::settings

#endif  // GOLDCREST_SETTINGS_TABLE_READER_H_
