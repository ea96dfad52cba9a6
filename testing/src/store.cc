#include "store.h"

#include <algorithm>
#include <utility>

namespace goldcrest::testing {

void Store::Append(LogEntry entry) {
  Index(entry);
  log_.push_back(std::move(entry));
}

void Store::Truncate(std::int64_t position) {
  if (position >= this->position())
    return;
  log_.resize(static_cast<std::size_t>(position));
  values_.clear();
  known_.clear();
  for (const LogEntry& entry : log_)
    Index(entry);
}

std::string Store::Get(const std::string& key) const {
  const auto it = values_.find(key);
  return it == values_.end() ? "" : it->second;
}

std::optional<Store::Known> Store::Find(const std::string& request_id) const {
  const auto it = known_.find(request_id);
  if (it == known_.end())
    return std::nullopt;
  return it->second;
}

std::vector<TermRun> Store::Runs() const {
  std::vector<TermRun> runs;
  for (const LogEntry& entry : log_) {
    if (runs.empty() || runs.back().term != entry.term)
      runs.push_back({entry.term, entry.position});
    runs.back().last = entry.position;
  }
  return runs;
}

std::int64_t Store::CommonPrefix(const std::vector<TermRun>& runs) const {
  std::int64_t common = 0;
  std::int64_t first = 1;
  for (const TermRun& run : runs) {
    for (std::int64_t p = std::min(run.last, position()); p >= first; --p) {
      if (log_[static_cast<std::size_t>(p - 1)].term != run.term)
        continue;
      common = p;
      break;
    }
    first = run.last + 1;
  }
  return common;
}

void Store::Index(const LogEntry& entry) {
  for (const KeyValue& write : entry.writes)
    values_[write.key] = write.value;
  for (const RequestResult& result : entry.results) {
    if (result.request_id.empty())
      continue;
    known_.try_emplace(result.request_id,
                       Known{entry.position, result.statement, result.value});
  }
}

}  // namespace goldcrest::testing
