#include "table_reader.h"

#include <array>
#include <charconv>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/ip/address.hpp>

#include "goldcrest/types/digest.h"

namespace goldcrest::settings {
namespace {

constexpr std::size_t kDigestBytes = 32;
constexpr std::chrono::milliseconds kMaxTimeout = std::chrono::hours(24);

constexpr std::array<std::pair<std::string_view, LogLevel>, 4> kLogLevelNames =
    {{
        {"error", LogLevel::kError},
        {"warning", LogLevel::kWarning},
        {"info", LogLevel::kInfo},
        {"debug", LogLevel::kDebug},
    }};

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::string_view host = text.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']'))
    host = host.substr(1, host.size() - 2);
  const std::string_view port = text.substr(colon + 1);
  Address address{std::string(host), 0};
  const auto [end, port_error] =
      std::from_chars(port.data(), port.data() + port.size(), address.port);
  boost::system::error_code host_error;
  boost::asio::ip::make_address(address.host, host_error);
  const bool whole = end == port.data() + port.size();
  if (host_error || port_error != std::errc() || !whole || address.port == 0)
    return std::nullopt;
  return address;
}

}  // namespace

TableReader::TableReader(const toml::table* table,
                         std::string name,
                         std::string file,
                         std::uint32_t line,
                         std::vector<Problem>* problems)
    : table_(table),
      name_(std::move(name)),
      file_(std::move(file)),
      line_(line),
      problems_(problems) {}

std::optional<std::string> TableReader::ReadText(std::string_view key,
                                                 Need need) {
  return ReadNonEmptyText(key, need, "text");
}

std::optional<std::string> TableReader::ReadDigest(std::string_view key,
                                                   Need need) {
  const std::string expected = "64 hexadecimal digits in lower case";
  const auto text = ReadNonEmptyText(key, need, expected);
  if (!text)
    return std::nullopt;
  std::string digest = FromHex(*text);
  if (digest.size() == kDigestBytes)
    return digest;
  AddProblem(key, ResultCode::kSettingsOutOfRange, expected);
  return std::nullopt;
}

std::optional<Address> TableReader::ReadAddress(std::string_view key,
                                                Need need) {
  const std::string expected = "an IP number and a port, as 192.0.2.1:7000";
  const auto text = ReadNonEmptyText(key, need, expected);
  if (!text)
    return std::nullopt;
  auto address = ParseAddress(*text);
  if (!address)
    AddProblem(key, ResultCode::kSettingsOutOfRange, expected);
  return address;
}

std::optional<std::int64_t> TableReader::ReadInteger(std::string_view key,
                                                     std::int64_t low,
                                                     std::int64_t high) {
  const toml::node* node = FindNode(key);
  if (!node)
    return std::nullopt;
  const std::string expected =
      fmt::format("an integer from {} to {}", low, high);
  if (!node->is_integer()) {
    AddProblem(key, ResultCode::kSettingsWrongType, expected);
    return std::nullopt;
  }
  const std::int64_t number = node->as_integer()->get();
  if (number >= low && number <= high)
    return number;
  AddProblem(key, ResultCode::kSettingsOutOfRange, expected);
  return std::nullopt;
}

void TableReader::ReadMilliseconds(std::string_view key,
                                   std::chrono::milliseconds& value) {
  if (const auto number = ReadInteger(key, 1, kMaxTimeout.count()))
    value = std::chrono::milliseconds(*number);
}

std::optional<bool> TableReader::ReadBool(std::string_view key) {
  const toml::node* node = FindNode(key);
  if (!node)
    return std::nullopt;
  if (node->is_boolean())
    return node->as_boolean()->get();
  AddProblem(key, ResultCode::kSettingsWrongType, "true or false");
  return std::nullopt;
}

std::optional<LogLevel> TableReader::ReadLogLevel(std::string_view key) {
  const std::string expected = "error, warning, info or debug";
  const auto text = ReadNonEmptyText(key, Need::kOptional, expected);
  if (!text)
    return std::nullopt;
  for (const auto& [name, level] : kLogLevelNames) {
    if (name == *text)
      return level;
  }
  AddProblem(key, ResultCode::kSettingsOutOfRange, expected);
  return std::nullopt;
}

TableReader TableReader::ReadTable(std::string_view key) {
  const toml::node* node = FindNode(key);
  if (node && !node->is_table())
    AddProblem(key, ResultCode::kSettingsWrongType, "a table");
  return {node ? node->as_table() : nullptr, std::string(key), file_,
          node ? node->source().begin.line : line_, problems_};
}

std::vector<TableReader> TableReader::ReadTables(std::string_view key,
                                                 Need need) {
  const std::string expected = "an array of tables";
  const toml::node* node = FindNode(key);
  if (!node) {
    AddMissingKeyProblem(key, need, expected);
    return {};
  }
  const toml::array* array = node->as_array();
  const bool empty = array && array->empty();
  if (!array || (!empty && !array->is_homogeneous(toml::node_type::table))) {
    AddProblem(key, ResultCode::kSettingsWrongType, expected);
    return {};
  }
  if (empty && need == Need::kRequired)
    AddProblem(key, ResultCode::kSettingsOutOfRange, "at least one table");
  std::vector<TableReader> readers;
  for (const toml::node& item : *array) {
    readers.emplace_back(item.as_table(),
                         fmt::format("{}.{}[{}]", name_, key, readers.size()),
                         file_, item.source().begin.line, problems_);
  }
  return readers;
}

void TableReader::AddUnknownKeyProblems() {
  if (!table_)
    return;
  for (const auto& [key, node] : *table_) {
    if (!read_keys_.contains(key.str()))
      AddProblem(key.str(), ResultCode::kSettingsUnknownKey, "no such key");
  }
}

void TableReader::AddProblem(std::string_view key,
                             ResultCode code,
                             std::string expected) {
  const toml::node* node = table_ ? table_->get(key) : nullptr;
  const std::string full_key =
      name_.empty() ? std::string(key) : fmt::format("{}.{}", name_, key);
  problems_->push_back({file_, node ? node->source().begin.line : line_,
                        full_key, code, std::move(expected)});
}

const toml::node* TableReader::FindNode(std::string_view key) {
  read_keys_.emplace(key);
  return table_ ? table_->get(key) : nullptr;
}

void TableReader::AddMissingKeyProblem(std::string_view key,
                                       Need need,
                                       std::string expected) {
  if (need == Need::kRequired)
    AddProblem(key, ResultCode::kSettingsMissingKey, std::move(expected));
}

std::optional<std::string> TableReader::ReadNonEmptyText(std::string_view key,
                                                         Need need,
                                                         std::string expected) {
  const toml::node* node = FindNode(key);
  if (!node) {
    AddMissingKeyProblem(key, need, std::move(expected));
    return std::nullopt;
  }
  if (!node->is_string()) {
    AddProblem(key, ResultCode::kSettingsWrongType, std::move(expected));
    return std::nullopt;
  }
  if (!node->as_string()->get().empty())
    return node->as_string()->get();
  AddProblem(key, ResultCode::kSettingsOutOfRange, std::move(expected));
  return std::nullopt;
}

}  // namespace goldcrest::settings
