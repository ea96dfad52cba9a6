#include "database.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <thread>
#include <utility>

namespace goldcrest::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Bounds the size of a pull response.
constexpr std::size_t kMaxPulledEntries = 2000;
constexpr std::int64_t kMaxSleepMs = 60'000;

struct ParsedStatement {
  std::string verb;
  std::string key;
  std::string argument;
};

ParsedStatement ParseStatement(const std::string& statement) {
  ParsedStatement parsed;
  const std::size_t first = statement.find(' ');
  parsed.verb = statement.substr(0, first);
  if (first == std::string::npos)
    return parsed;
  const std::size_t second = statement.find(' ', first + 1);
  parsed.key = statement.substr(first + 1, second - first - 1);
  if (second != std::string::npos)
    parsed.argument = statement.substr(second + 1);
  return parsed;
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return number;
}

bool IsWriteVerb(const std::string& verb) {
  return verb == "set" || verb == "incr" || verb == "append";
}

// Duration of a sleep statement, without the delay added to every statement;
// 0 for other statements.
milliseconds GetSleepDuration(const std::string& statement) {
  const ParsedStatement parsed = ParseStatement(statement);
  if (parsed.verb != "sleep")
    return milliseconds(0);
  const std::int64_t duration_ms = ParseNumber(parsed.key).value_or(0);
  return milliseconds(std::clamp<std::int64_t>(duration_ms, 0, kMaxSleepMs));
}

// Returns nullopt when the old value can't be incremented.
std::optional<std::string> ComputeNewValue(const ParsedStatement& parsed,
                                           const std::string& old_value) {
  if (parsed.verb == "set")
    return parsed.argument;
  if (parsed.verb == "append")
    return old_value + parsed.argument;
  const auto number = ParseNumber(old_value.empty() ? "0" : old_value);
  if (!number || *number == INT64_MAX)
    return std::nullopt;
  return std::to_string(*number + 1);
}

}  // namespace

StatementResponse Database::Execute(const StatementRequest& request,
                                    std::uint64_t connection) {
  Lock lock(mutex_);
  StatementResponse response;
  response.call_id = request.call_id;
  response.reason = FindRefusalReason(request, connection);
  // A resent commit names a transaction that has already ended, so the request
  // id is looked up before the unknown transaction leads to a refusal.
  const bool may_have_result =
      response.reason.empty() || response.reason == "unknown_transaction";
  const bool result_found =
      may_have_result && AnswerFromStoredResult(request, response);
  if (!result_found && response.reason.empty())
    Dispatch(lock, request, connection, response);
  response.term = term_;
  if (response.position == 0)
    response.position = VisiblePosition();
  return response;
}

void Database::Dispatch(Lock& lock,
                        const StatementRequest& request,
                        std::uint64_t connection,
                        StatementResponse& response) {
  switch (request.kind) {
    case StatementKind::kBegin:
      Begin(lock, request, connection, response);
      return;
    case StatementKind::kCommit:
      Commit(request, response);
      return;
    case StatementKind::kRollback:
      DiscardTransaction(request.transaction);
      response.status = StatementStatus::kDone;
      return;
    case StatementKind::kRead:
    case StatementKind::kWrite:
      RunStatement(lock, request, connection, response);
      return;
  }
}

void Database::CloseConnection(std::uint64_t connection) {
  const Lock lock(mutex_);
  std::vector<std::string> open;
  for (const auto& [id, transaction] : transactions_) {
    if (transaction.connection == connection)
      open.push_back(id);
  }
  for (const std::string& id : open)
    DiscardTransaction(id);
}

bool Database::Promote(std::int64_t term) {
  const Lock lock(mutex_);
  if (term == term_ && primary_)
    return true;  // the promotion was resent
  if (term <= term_)
    return false;
  DiscardAllTransactions();
  term_ = term;
  primary_ = true;
  log_verified_ = true;
  source_.reset();
  // An empty entry starts the term. A member that holds an entry of this term
  // holds all entries before it; the position of an entry of an earlier term
  // does not guarantee that.
  AppendEntry({}, {});
  term_start_position_ = store_.position();
  return true;
}

bool Database::Follow(const Source& source) {
  const Lock lock(mutex_);
  if (source.term < term_ || (source.term == term_ && primary_))
    return false;
  if (source.term > term_) {
    DiscardAllTransactions();
    term_ = source.term;
    primary_ = false;
    log_verified_ = false;
  }
  source_ = source;
  return true;
}

Database::Status Database::status() const {
  const Lock lock(mutex_);
  Status status;
  status.primary = primary_;
  status.term = term_;
  status.position = VisiblePosition();
  status.log_term = store_.last_term();
  status.log_position = store_.position();
  if (!primary_)
    status.age = std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                          complete_as_of_);
  status.running_statements = running_statements_;
  status.open_transactions = static_cast<int>(transactions_.size());
  return status;
}

std::optional<Store::StoredResult> Database::FindRequestResult(
    const std::string& request_id) const {
  const Lock lock(mutex_);
  if (!log_verified_)
    return std::nullopt;
  return store_.FindResult(request_id);
}

Database::FenceResult Database::FindOrFenceRequest(
    std::int64_t term,
    const std::string& request_id) {
  const Lock lock(mutex_);
  FenceResult result;
  result.refused = !primary_ || term != term_;
  if (result.refused)
    return result;
  result.stored = store_.FindResult(request_id);
  if (result.stored)
    result.stored->position =
        std::max(result.stored->position, term_start_position_);
  else
    fenced_ids_.insert(request_id);
  return result;
}

std::optional<Database::Source> Database::source() const {
  const Lock lock(mutex_);
  return source_;
}

std::int64_t Database::NextPosition() const {
  const Lock lock(mutex_);
  return store_.position() + 1;
}

void Database::ApplyPullResponse(const Source& source,
                                 PullResponse response,
                                 steady_clock::time_point sent_at,
                                 milliseconds lag) {
  const Lock lock(mutex_);
  if (!source_ || source_->term != source.term || source_->port != source.port)
    return;
  const std::int64_t old_end = store_.position();
  store_.Truncate(store_.CommonPrefix(response.term_ranges));
  log_verified_ = true;
  if (store_.position() != old_end)
    return;  // the entries were requested for the position after old_end
  for (LogEntry& entry : response.entries) {
    if (entry.position != store_.position() + 1)
      continue;
    entry.added_at = steady_clock::now();
    store_.Append(std::move(entry));
  }
  if (response.complete)
    complete_as_of_ = sent_at - lag;
}

std::optional<Database::PullResponse> Database::ReadLog(
    std::int64_t term,
    std::int64_t first_position,
    milliseconds lag) const {
  const Lock lock(mutex_);
  if (!primary_ || term != term_)
    return std::nullopt;
  PullResponse response;
  response.term_ranges = store_.TermRanges();
  response.complete = true;
  const auto newest_added = steady_clock::now() - lag;
  for (std::int64_t p = std::max<std::int64_t>(first_position, 1);
       p <= store_.position(); ++p) {
    const LogEntry& entry = store_.log()[static_cast<std::size_t>(p - 1)];
    if (entry.added_at > newest_added)
      break;
    if (response.entries.size() == kMaxPulledEntries) {
      response.complete = false;
      break;
    }
    response.entries.push_back(entry);
  }
  return response;
}

std::string Database::FindRefusalReason(const StatementRequest& request,
                                        std::uint64_t connection) const {
  if (request.term < term_)
    return "stale_term";
  if (request.term > term_)
    return "unknown_term";
  const bool is_plain_read =
      request.kind == StatementKind::kRead && request.transaction.empty();
  if (!is_plain_read && !primary_)
    return "not_primary";
  if (!log_verified_)
    return "not_synced";
  if (fenced_ids_.contains(request.request_id))
    return "fenced";
  const bool ends_transaction = request.kind == StatementKind::kCommit ||
                                request.kind == StatementKind::kRollback;
  if (!ends_transaction && request.transaction.empty())
    return "";
  const auto it = transactions_.find(request.transaction);
  if (it == transactions_.end() || it->second.connection != connection)
    return "unknown_transaction";
  return "";
}

bool Database::AnswerFromStoredResult(const StatementRequest& request,
                                      StatementResponse& response) const {
  const bool has_result = request.kind == StatementKind::kWrite ||
                          request.kind == StatementKind::kCommit;
  if (!has_result || request.request_id.empty())
    return false;
  auto stored = store_.FindResult(request.request_id);
  const auto it = transactions_.find(request.transaction);
  if (!stored && response.reason.empty() && it != transactions_.end()) {
    for (const RequestResult& result : it->second.results) {
      if (result.request_id == request.request_id)
        stored = Store::StoredResult{0, result.statement, result.value};
    }
  }
  if (!stored)
    return false;
  if (stored->statement != request.statement) {
    response.reason = "request_id_reused";
    return true;
  }
  response.reason.clear();
  response.status = StatementStatus::kDone;
  response.value = stored->value;
  // An entry of an earlier term is durable only once the first entry of this
  // term is replicated.
  if (stored->position != 0)
    response.position = std::max(stored->position, term_start_position_);
  return true;
}

void Database::Begin(Lock& lock,
                     const StatementRequest& request,
                     std::uint64_t connection,
                     StatementResponse& response) {
  for (const auto& [id, transaction] : transactions_) {
    if (transaction.connection != connection)
      continue;
    response.reason = "transaction_open";
    return;
  }
  if (!AcquireSlot(lock, request.deadline)) {
    response.reason = "no_slot";
    return;
  }
  response.reason = FindRefusalReason(request, connection);
  if (!response.reason.empty()) {
    --used_slots_;
    state_changed_.notify_all();
    return;
  }
  response.transaction =
      std::to_string(term_) + "-" + std::to_string(next_transaction_++);
  transactions_[response.transaction].connection = connection;
  response.status = StatementStatus::kDone;
}

void Database::Commit(const StatementRequest& request,
                      StatementResponse& response) {
  Transaction transaction = std::move(transactions_[request.transaction]);
  DiscardTransaction(request.transaction);
  for (const RequestResult& result : transaction.results) {
    if (!store_.FindResult(result.request_id))
      continue;
    // The id also ran outside the transaction.
    response.reason = "request_id_reused";
    return;
  }
  response.status = StatementStatus::kDone;
  if (transaction.writes.empty() && request.request_id.empty())
    return;
  if (!request.request_id.empty())
    transaction.results.push_back({request.request_id, request.statement, ""});
  std::vector<KeyValue> writes;
  for (const auto& [key, value] : transaction.writes)
    writes.push_back({key, value});
  AppendEntry(std::move(transaction.results), std::move(writes));
}

void Database::RunStatement(Lock& lock,
                            const StatementRequest& request,
                            std::uint64_t connection,
                            StatementResponse& response) {
  const bool needs_slot = request.transaction.empty();
  if (needs_slot && !AcquireSlot(lock, request.deadline)) {
    response.reason = "no_slot";
    return;
  }
  ++running_statements_;
  const milliseconds duration =
      options_.statement_duration + GetSleepDuration(request.statement);
  if (duration.count() > 0) {
    lock.unlock();
    std::this_thread::sleep_for(duration);
    lock.lock();
  }
  ApplyStatement(lock, request, connection, response);
  --running_statements_;
  if (needs_slot)
    --used_slots_;
  state_changed_.notify_all();
}

void Database::ApplyStatement(Lock& lock,
                              const StatementRequest& request,
                              std::uint64_t connection,
                              StatementResponse& response) {
  const ParsedStatement parsed = ParseStatement(request.statement);
  const bool is_write = IsWriteVerb(parsed.verb);
  const auto key_is_free = [&] {
    const auto it = locked_keys_.find(parsed.key);
    return !is_write || it == locked_keys_.end() ||
           it->second == request.transaction;
  };
  if (!state_changed_.wait_until(lock, request.deadline, key_is_free)) {
    response.reason = "key_locked";
    return;
  }
  // While this request waited, the term may have changed or a copy of the
  // request may have run.
  response.reason = FindRefusalReason(request, connection);
  if (!response.reason.empty() || AnswerFromStoredResult(request, response))
    return;
  response.status = StatementStatus::kFailed;
  if (is_write && request.kind == StatementKind::kRead) {
    response.reason = "not_a_read";
    return;
  }
  if (parsed.verb == "sleep") {
    response.status = StatementStatus::kDone;
    return;
  }
  if (parsed.key.empty() || (!is_write && parsed.verb != "get")) {
    response.reason = "unknown_statement";
    return;
  }
  Transaction* transaction = request.transaction.empty()
                                 ? nullptr
                                 : &transactions_[request.transaction];
  std::string old_value = store_.Get(parsed.key);
  if (transaction && transaction->writes.contains(parsed.key))
    old_value = transaction->writes[parsed.key];
  if (!is_write) {
    response.status = StatementStatus::kDone;
    response.value = old_value;
    return;
  }
  const auto value = ComputeNewValue(parsed, old_value);
  if (!value) {
    response.reason = "not_a_number";
    return;
  }
  response.status = StatementStatus::kDone;
  response.value = *value;
  RequestResult result{request.request_id, request.statement, *value};
  if (!transaction) {
    AppendEntry({std::move(result)}, {{parsed.key, *value}});
    return;
  }
  locked_keys_[parsed.key] = request.transaction;
  transaction->writes[parsed.key] = *value;
  if (!request.request_id.empty())
    transaction->results.push_back(std::move(result));
}

bool Database::AcquireSlot(Lock& lock, steady_clock::time_point deadline) {
  const bool free = state_changed_.wait_until(
      lock, deadline, [this] { return used_slots_ < options_.slots; });
  if (free)
    ++used_slots_;
  return free;
}

void Database::DiscardTransaction(const std::string& transaction) {
  transactions_.erase(transaction);
  std::erase_if(locked_keys_, [&](const auto& locked) {
    return locked.second == transaction;
  });
  --used_slots_;
  state_changed_.notify_all();
}

void Database::DiscardAllTransactions() {
  while (!transactions_.empty()) {
    const std::string id = transactions_.begin()->first;
    DiscardTransaction(id);
  }
}

void Database::AppendEntry(std::vector<RequestResult> results,
                           std::vector<KeyValue> writes) {
  store_.Append({store_.position() + 1, term_, std::move(results),
                 std::move(writes), steady_clock::now()});
}

std::int64_t Database::VisiblePosition() const {
  return log_verified_ ? store_.position() : 0;
}

}  // namespace goldcrest::testing
