#include "standin_json.h"

#include <array>
#include <cstddef>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace goldcrest::testing {
namespace {

namespace json = boost::json;

constexpr std::int64_t kDefaultTimeoutMs = 1000;
constexpr std::array<std::pair<std::string_view, StatementKind>, 5>
    kStatementKinds = {{
        {"read", StatementKind::kRead},
        {"write", StatementKind::kWrite},
        {"begin", StatementKind::kBegin},
        {"commit", StatementKind::kCommit},
        {"rollback", StatementKind::kRollback},
    }};

std::string_view ToString(StatementStatus status) {
  switch (status) {
    case StatementStatus::kDone:
      return "done";
    case StatementStatus::kFailed:
      return "failed";
    case StatementStatus::kNotRun:
      return "not_run";
  }
  return "not_run";
}

const json::array* ArrayAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value ? value->if_array() : nullptr;
}

json::value ToJsonValue(const LogEntry& entry) {
  json::array results;
  for (const RequestResult& result : entry.results)
    results.push_back({{"request_id", result.request_id},
                       {"statement", result.statement},
                       {"value", result.value}});
  json::array writes;
  for (const KeyValue& write : entry.writes)
    writes.push_back({{"key", write.key}, {"value", write.value}});
  return {{"position", entry.position},
          {"term", entry.term},
          {"results", std::move(results)},
          {"writes", std::move(writes)}};
}

LogEntry ToLogEntry(const json::object& object) {
  LogEntry entry;
  entry.position = NumberAt(object, "position");
  entry.term = NumberAt(object, "term");
  if (const json::array* results = ArrayAt(object, "results")) {
    for (const json::value& value : *results) {
      const json::object& result = value.as_object();
      entry.results.push_back({TextAt(result, "request_id"),
                               TextAt(result, "statement"),
                               TextAt(result, "value")});
    }
  }
  if (const json::array* writes = ArrayAt(object, "writes")) {
    for (const json::value& value : *writes) {
      const json::object& write = value.as_object();
      entry.writes.push_back({TextAt(write, "key"), TextAt(write, "value")});
    }
  }
  return entry;
}

}  // namespace

std::optional<json::object> ParseObject(std::string_view body) {
  boost::system::error_code error;
  json::value value = json::parse({body.data(), body.size()}, error);
  if (error || !value.is_object())
    return std::nullopt;
  return std::move(value.get_object());
}

std::string TextAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (!value || !value->is_string())
    return "";
  return std::string(value->get_string());
}

std::int64_t NumberAt(const json::object& object,
                      std::string_view key,
                      std::int64_t default_value) {
  const json::value* value = object.if_contains(key);
  boost::system::error_code error;
  if (!value || !value->is_number())
    return default_value;
  const auto number = value->to_number<std::int64_t>(error);
  return error ? default_value : number;
}

std::int64_t NumberAt(const json::object& object, std::string_view key) {
  return NumberAt(object, key, 0);
}

std::optional<StatementRequest> ToStatementRequest(const json::object& object) {
  StatementRequest request;
  bool kind_found = false;
  for (const auto& [name, kind] : kStatementKinds) {
    if (name != TextAt(object, "kind"))
      continue;
    request.kind = kind;
    kind_found = true;
  }
  if (!kind_found)
    return std::nullopt;
  request.call_id = NumberAt(object, "call_id");
  request.term = NumberAt(object, "term");
  request.statement = TextAt(object, "statement");
  request.request_id = TextAt(object, "request_id");
  request.transaction = TextAt(object, "transaction");
  request.deadline = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(
                         NumberAt(object, "timeout_ms", kDefaultTimeoutMs));
  return request;
}

std::string ToJson(const StatementResponse& response) {
  return json::serialize(json::value{{"call_id", response.call_id},
                                     {"status", ToString(response.status)},
                                     {"reason", response.reason},
                                     {"term", response.term},
                                     {"position", response.position},
                                     {"value", response.value},
                                     {"transaction", response.transaction}});
}

std::string ToJson(const Database::PullResponse& response, std::int64_t term) {
  json::array runs;
  for (const TermRange& range : response.term_ranges)
    runs.push_back({{"term", range.term}, {"last", range.last_position}});
  json::array entries;
  for (const LogEntry& entry : response.entries)
    entries.push_back(ToJsonValue(entry));
  return json::serialize(json::value{{"term", term},
                                     {"runs", std::move(runs)},
                                     {"entries", std::move(entries)},
                                     {"complete", response.complete}});
}

std::optional<Database::PullResponse> ToPullResponse(std::string_view body,
                                                     std::int64_t term) {
  const auto object = ParseObject(body);
  if (!object || NumberAt(*object, "term") != term)
    return std::nullopt;
  Database::PullResponse response;
  const json::value* complete = object->if_contains("complete");
  response.complete = complete && complete->is_bool() && complete->get_bool();
  if (const json::array* runs = ArrayAt(*object, "runs")) {
    for (const json::value& run : *runs)
      response.term_ranges.push_back({NumberAt(run.as_object(), "term"),
                                      NumberAt(run.as_object(), "last")});
  }
  if (const json::array* entries = ArrayAt(*object, "entries")) {
    for (const json::value& entry : *entries)
      response.entries.push_back(ToLogEntry(entry.as_object()));
  }
  return response;
}

}  // namespace goldcrest::testing
