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

// Entries in one answer to a pull; bounds its size.
constexpr std::size_t kMaxPulledEntries = 2000;
constexpr std::int64_t kMaxSleepMs = 60'000;

struct Words {
  std::string verb;
  std::string key;
  std::string rest;
};

Words Split(const std::string& statement) {
  Words words;
  const std::size_t first = statement.find(' ');
  words.verb = statement.substr(0, first);
  if (first == std::string::npos)
    return words;
  const std::size_t second = statement.find(' ', first + 1);
  words.key = statement.substr(first + 1, second - first - 1);
  if (second != std::string::npos)
    words.rest = statement.substr(second + 1);
  return words;
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

// Time that a statement takes, beyond what the server adds to each.
milliseconds SleepTime(const std::string& statement) {
  const Words words = Split(statement);
  if (words.verb != "sleep")
    return milliseconds(0);
  const std::int64_t time = ParseNumber(words.key).value_or(0);
  return milliseconds(std::clamp<std::int64_t>(time, 0, kMaxSleepMs));
}

// Nullopt when the statement fails.
std::optional<std::string> NewValue(const Words& words,
                                    const std::string& old_value) {
  if (words.verb == "set")
    return words.rest;
  if (words.verb == "append")
    return old_value + words.rest;
  const auto number = ParseNumber(old_value.empty() ? "0" : old_value);
  if (!number || *number == INT64_MAX)
    return std::nullopt;
  return std::to_string(*number + 1);
}

}  // namespace

StatementAnswer Database::Execute(const StatementRequest& request,
                                  std::uint64_t connection) {
  Lock lock(mutex_);
  StatementAnswer answer;
  answer.call_id = request.call_id;
  answer.reason = Refusal(request, connection);
  // A resent commit names a transaction that has ended, so the request id is
  // looked up before that is a reason to refuse.
  const bool may_be_known =
      answer.reason.empty() || answer.reason == "unknown_transaction";
  const bool answered = may_be_known && AnswerKnown(request, answer);
  if (!answered && answer.reason.empty())
    Dispatch(lock, request, connection, answer);
  answer.term = term_;
  if (answer.position == 0)
    answer.position = VisiblePosition();
  return answer;
}

void Database::Dispatch(Lock& lock,
                        const StatementRequest& request,
                        std::uint64_t connection,
                        StatementAnswer& answer) {
  switch (request.kind) {
    case StatementKind::kBegin:
      Begin(lock, request, connection, answer);
      return;
    case StatementKind::kCommit:
      Commit(request, answer);
      return;
    case StatementKind::kRollback:
      Discard(request.transaction);
      answer.status = StatementStatus::kDone;
      return;
    case StatementKind::kRead:
    case StatementKind::kWrite:
      Run(lock, request, connection, answer);
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
    Discard(id);
}

bool Database::Promote(std::int64_t term) {
  const Lock lock(mutex_);
  if (term == term_ && primary_)
    return true;  // a resent order
  if (term <= term_)
    return false;
  DiscardAll();
  term_ = term;
  primary_ = true;
  verified_ = true;
  source_.reset();
  // An empty entry starts the term. A member that holds it holds everything
  // before it, which the position of an entry of an earlier term does not say.
  Append({}, {});
  term_start_ = store_.position();
  return true;
}

bool Database::Follow(const Source& source) {
  const Lock lock(mutex_);
  if (source.term < term_ || (source.term == term_ && primary_))
    return false;
  if (source.term > term_) {
    DiscardAll();
    term_ = source.term;
    primary_ = false;
    verified_ = false;
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
                                                          complete_at_);
  status.running = running_;
  status.transactions = static_cast<int>(transactions_.size());
  return status;
}

std::optional<Store::Known> Database::FindRequest(
    const std::string& request_id) const {
  const Lock lock(mutex_);
  if (!verified_)
    return std::nullopt;
  return store_.Find(request_id);
}

Database::Outcome Database::Fence(std::int64_t term,
                                  const std::string& request_id) {
  const Lock lock(mutex_);
  Outcome outcome;
  outcome.refused = !primary_ || term != term_;
  if (outcome.refused)
    return outcome;
  outcome.known = store_.Find(request_id);
  if (outcome.known)
    outcome.known->position = std::max(outcome.known->position, term_start_);
  else
    fenced_ids_.insert(request_id);
  return outcome;
}

std::optional<Database::Source> Database::source() const {
  const Lock lock(mutex_);
  return source_;
}

std::int64_t Database::NextPosition() const {
  const Lock lock(mutex_);
  return store_.position() + 1;
}

void Database::ApplyPull(const Source& source,
                         PullAnswer answer,
                         steady_clock::time_point sent,
                         milliseconds lag) {
  const Lock lock(mutex_);
  if (!source_ || source_->term != source.term || source_->port != source.port)
    return;
  const std::int64_t end = store_.position();
  store_.Truncate(store_.CommonPrefix(answer.runs));
  verified_ = true;
  if (store_.position() != end)
    return;  // the entries were asked for from the old end
  for (LogEntry& entry : answer.entries) {
    if (entry.position != store_.position() + 1)
      continue;
    entry.added = steady_clock::now();
    store_.Append(std::move(entry));
  }
  if (answer.complete)
    complete_at_ = sent - lag;
}

std::optional<Database::PullAnswer> Database::ReadLog(std::int64_t term,
                                                      std::int64_t from,
                                                      milliseconds lag) const {
  const Lock lock(mutex_);
  if (!primary_ || term != term_)
    return std::nullopt;
  PullAnswer answer;
  answer.runs = store_.Runs();
  answer.complete = true;
  const auto newest = steady_clock::now() - lag;
  for (std::int64_t p = std::max<std::int64_t>(from, 1); p <= store_.position();
       ++p) {
    const LogEntry& entry = store_.log()[static_cast<std::size_t>(p - 1)];
    if (entry.added > newest)
      break;
    if (answer.entries.size() == kMaxPulledEntries) {
      answer.complete = false;
      break;
    }
    answer.entries.push_back(entry);
  }
  return answer;
}

std::string Database::Refusal(const StatementRequest& request,
                              std::uint64_t connection) const {
  if (request.term < term_)
    return "stale_term";
  if (request.term > term_)
    return "unknown_term";
  const bool read =
      request.kind == StatementKind::kRead && request.transaction.empty();
  if (!read && !primary_)
    return "not_primary";
  if (!verified_)
    return "not_synced";
  if (fenced_ids_.contains(request.request_id))
    return "fenced";
  const bool ends = request.kind == StatementKind::kCommit ||
                    request.kind == StatementKind::kRollback;
  if (!ends && request.transaction.empty())
    return "";
  const auto it = transactions_.find(request.transaction);
  if (it == transactions_.end() || it->second.connection != connection)
    return "unknown_transaction";
  return "";
}

bool Database::AnswerKnown(const StatementRequest& request,
                           StatementAnswer& answer) const {
  const bool has_result = request.kind == StatementKind::kWrite ||
                          request.kind == StatementKind::kCommit;
  if (!has_result || request.request_id.empty())
    return false;
  auto known = store_.Find(request.request_id);
  const auto it = transactions_.find(request.transaction);
  if (!known && answer.reason.empty() && it != transactions_.end()) {
    for (const RequestResult& result : it->second.results) {
      if (result.request_id == request.request_id)
        known = Store::Known{0, result.statement, result.value};
    }
  }
  if (!known)
    return false;
  if (known->statement != request.statement) {
    answer.reason = "request_id_reused";
    return true;
  }
  answer.reason.clear();
  answer.status = StatementStatus::kDone;
  answer.value = known->value;
  // An entry of an earlier term is safe only with the first entry of this one.
  if (known->position != 0)
    answer.position = std::max(known->position, term_start_);
  return true;
}

void Database::Begin(Lock& lock,
                     const StatementRequest& request,
                     std::uint64_t connection,
                     StatementAnswer& answer) {
  for (const auto& [id, transaction] : transactions_) {
    if (transaction.connection != connection)
      continue;
    answer.reason = "transaction_open";
    return;
  }
  if (!TakeSlot(lock, request.deadline)) {
    answer.reason = "no_slot";
    return;
  }
  answer.reason = Refusal(request, connection);
  if (!answer.reason.empty()) {
    --used_slots_;
    changed_.notify_all();
    return;
  }
  answer.transaction =
      std::to_string(term_) + "-" + std::to_string(next_transaction_++);
  transactions_[answer.transaction].connection = connection;
  answer.status = StatementStatus::kDone;
}

void Database::Commit(const StatementRequest& request,
                      StatementAnswer& answer) {
  Transaction transaction = std::move(transactions_[request.transaction]);
  Discard(request.transaction);
  for (const RequestResult& result : transaction.results) {
    if (!store_.Find(result.request_id))
      continue;
    answer.reason = "request_id_reused";  // it ran outside the transaction
    return;
  }
  answer.status = StatementStatus::kDone;
  if (transaction.writes.empty() && request.request_id.empty())
    return;
  if (!request.request_id.empty())
    transaction.results.push_back({request.request_id, request.statement, ""});
  std::vector<KeyValue> writes;
  for (const auto& [key, value] : transaction.writes)
    writes.push_back({key, value});
  Append(std::move(transaction.results), std::move(writes));
}

void Database::Run(Lock& lock,
                   const StatementRequest& request,
                   std::uint64_t connection,
                   StatementAnswer& answer) {
  const bool own_slot = request.transaction.empty();
  if (own_slot && !TakeSlot(lock, request.deadline)) {
    answer.reason = "no_slot";
    return;
  }
  ++running_;
  const milliseconds time =
      options_.statement_time + SleepTime(request.statement);
  if (time.count() > 0) {
    lock.unlock();
    std::this_thread::sleep_for(time);
    lock.lock();
  }
  Apply(lock, request, connection, answer);
  --running_;
  if (own_slot)
    --used_slots_;
  changed_.notify_all();
}

void Database::Apply(Lock& lock,
                     const StatementRequest& request,
                     std::uint64_t connection,
                     StatementAnswer& answer) {
  const Words words = Split(request.statement);
  const bool writes = IsWriteVerb(words.verb);
  const auto key_is_free = [&] {
    const auto it = locked_keys_.find(words.key);
    return !writes || it == locked_keys_.end() ||
           it->second == request.transaction;
  };
  if (!changed_.wait_until(lock, request.deadline, key_is_free)) {
    answer.reason = "key_locked";
    return;
  }
  // The term, or a copy of the request, may have changed what holds.
  answer.reason = Refusal(request, connection);
  if (!answer.reason.empty() || AnswerKnown(request, answer))
    return;
  answer.status = StatementStatus::kFailed;
  if (writes && request.kind == StatementKind::kRead) {
    answer.reason = "not_a_read";
    return;
  }
  if (words.verb == "sleep") {
    answer.status = StatementStatus::kDone;
    return;
  }
  if (words.key.empty() || (!writes && words.verb != "get")) {
    answer.reason = "unknown_statement";
    return;
  }
  Transaction* transaction = request.transaction.empty()
                                 ? nullptr
                                 : &transactions_[request.transaction];
  std::string old_value = store_.Get(words.key);
  if (transaction && transaction->writes.contains(words.key))
    old_value = transaction->writes[words.key];
  if (!writes) {
    answer.status = StatementStatus::kDone;
    answer.value = old_value;
    return;
  }
  const auto value = NewValue(words, old_value);
  if (!value) {
    answer.reason = "not_a_number";
    return;
  }
  answer.status = StatementStatus::kDone;
  answer.value = *value;
  RequestResult result{request.request_id, request.statement, *value};
  if (!transaction) {
    Append({std::move(result)}, {{words.key, *value}});
    return;
  }
  locked_keys_[words.key] = request.transaction;
  transaction->writes[words.key] = *value;
  if (!request.request_id.empty())
    transaction->results.push_back(std::move(result));
}

bool Database::TakeSlot(Lock& lock, steady_clock::time_point deadline) {
  const bool free = changed_.wait_until(
      lock, deadline, [this] { return used_slots_ < options_.slots; });
  if (free)
    ++used_slots_;
  return free;
}

void Database::Discard(const std::string& transaction) {
  transactions_.erase(transaction);
  std::erase_if(locked_keys_, [&](const auto& locked) {
    return locked.second == transaction;
  });
  --used_slots_;
  changed_.notify_all();
}

void Database::DiscardAll() {
  while (!transactions_.empty()) {
    const std::string id = transactions_.begin()->first;
    Discard(id);
  }
}

void Database::Append(std::vector<RequestResult> results,
                      std::vector<KeyValue> writes) {
  store_.Append({store_.position() + 1, term_, std::move(results),
                 std::move(writes), steady_clock::now()});
}

std::int64_t Database::VisiblePosition() const {
  return verified_ ? store_.position() : 0;
}

}  // namespace goldcrest::testing
