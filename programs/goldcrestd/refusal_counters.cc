#include "programs/goldcrestd/refusal_counters.h"

namespace goldcrest {
namespace {

// Callers can send any number of unknown group names, so the number of rows is
// bounded.
constexpr std::size_t kMaxRows = 2'000;

}  // namespace

void RefusalCounters::Add(ResultCode code,
                          const std::string& customer,
                          const std::string& group,
                          std::int64_t wall_ms) {
  const std::lock_guard lock(mutex_);
  const Key key(code, customer, group);
  if (rows_.size() >= kMaxRows && !rows_.contains(key))
    return;
  Row& row = rows_[key];
  if (row.count == 0) {
    row.code = code;
    row.customer = customer;
    row.group = group;
    row.first_wall_ms = wall_ms;
  }
  ++row.count;
  row.last_wall_ms = wall_ms;
}

std::vector<RefusalCounters::Row> RefusalCounters::Rows(
    const std::string& subject) const {
  const std::lock_guard lock(mutex_);
  std::vector<Row> rows;
  for (const auto& [key, row] : rows_) {
    if (!subject.empty() && row.customer != subject && row.group != subject)
      continue;
    rows.push_back(row);
  }
  return rows;
}

}  // namespace goldcrest
