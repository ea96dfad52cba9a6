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

//! Reads the values of one TOML table and notes every problem. A read returns
//! nullopt when there is no valid value.
class TableReader {
 public:
  enum class Need : std::uint8_t { kOptional, kRequired };

  //! `name` is the table's full name, empty for the whole file. The table may
  //! be null: then all its keys are missing, at `line`.
  TableReader(const toml::table* table,
              std::string name,
              std::string file,
              std::uint32_t line,
              std::vector<Problem>* problems);

  std::optional<std::string> Text(std::string_view key, Need need);
  std::optional<std::string> Digest(std::string_view key, Need need);
  std::optional<Address> ReadAddress(std::string_view key, Need need);
  std::optional<std::int64_t> Integer(std::string_view key,
                                      std::int64_t low,
                                      std::int64_t high);
  //! Optional, from 1 ms to one day.
  void Millis(std::string_view key, std::chrono::milliseconds& value);
  std::optional<bool> Flag(std::string_view key);
  std::optional<LogLevel> Level(std::string_view key);
  TableReader Table(std::string_view key);
  //! Readers of an array of tables; with kRequired it may not be empty.
  std::vector<TableReader> Tables(std::string_view key, Need need);

  //! Notes the keys that no read has asked for.
  void CheckUnknownKeys();
  void Note(std::string_view key, ResultCode code, std::string expected);

 private:
  const toml::node* Find(std::string_view key);
  void NoteMissing(std::string_view key, Need need, std::string expected);
  //! Non-empty text.
  std::optional<std::string> TextOf(std::string_view key,
                                    Need need,
                                    std::string expected);

  const toml::table* table_;
  std::string name_;
  std::string file_;
  std::uint32_t line_;
  std::vector<Problem>* problems_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace goldcrest::settings

#endif  // GOLDCREST_SETTINGS_TABLE_READER_H_
