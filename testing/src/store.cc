#include "store.h"

#include <algorithm>
#include <utility>

namespace goldcrest::testing {

void Store::Append(LogEntry entry) {
  IndexEntry(entry);
  log_.push_back(std::move(entry));
}

void Store::Truncate(std::int64_t position) {
  if (position >= this->position())
    return;
  log_.resize(static_cast<std::size_t>(position));
  values_.clear();
  results_by_request_id_.clear();
  for (const LogEntry& entry : log_)
    IndexEntry(entry);
}

std::string Store::Get(const std::string& key) const {
  const auto it = values_.find(key);
  return it == values_.end() ? "" : it->second;
}

std::optional<Store::StoredResult> Store::FindResult(
    const std::string& request_id) const {
  const auto it = results_by_request_id_.find(request_id);
  if (it == results_by_request_id_.end())
    return std::nullopt;
  return it->second;
}

std::vector<TermRange> Store::TermRanges() const {
  std::vector<TermRange> ranges;
  for (const LogEntry& entry : log_) {
    if (ranges.empty() || ranges.back().term != entry.term)
      ranges.push_back({entry.term, entry.position});
    ranges.back().last_position = entry.position;
  }
  return ranges;
}

std::int64_t Store::CommonPrefix(const std::vector<TermRange>& ranges) const {
  std::int64_t common = 0;
  std::int64_t first = 1;
  for (const TermRange& range : ranges) {
    for (std::int64_t p = std::min(range.last_position, position()); p >= first;
         --p) {
      if (log_[static_cast<std::size_t>(p - 1)].term != range.term)
        continue;
      common = p;
      break;
    }
    first = range.last_position + 1;
  }
  return common;
}

void Store::IndexEntry(const LogEntry& entry) {
  for (const KeyValue& write : entry.writes)
    values_[write.key] = write.value;
  for (const RequestResult& result : entry.results) {
    if (result.request_id.empty())
      continue;
    results_by_request_id_.try_emplace(
        result.request_id,
        StoredResult{entry.position, result.statement, result.value});
  }
}

}  // namespace goldcrest::testing
