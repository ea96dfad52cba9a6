#ifndef GOLDCREST_TESTING_DATABASE_H_
#define GOLDCREST_TESTING_DATABASE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "statement.h"
#include "store.h"

namespace goldcrest::testing {

//! State of one database server, without networking: terms, statements, slots,
//! transactions and both sides of log replication. Thread-safe.
class Database {
 public:
  struct Options {
    int slots = 3;  //!< Maximum concurrent statements and transactions.
    std::chrono::milliseconds statement_duration{0};  //!< Added to each.
  };

  struct Status {
    bool primary = false;
    std::int64_t term = 0;  //!< Requests of lower terms are refused.
    //! Of the last entry; 0 until the log is known to be a prefix of the log of
    //! the followed primary.
    std::int64_t position = 0;
    //! Term and position of the last entry. A promotion ranks the members by
    //! this pair.
    std::int64_t log_term = 0;
    std::int64_t log_position = 0;
    //! Staleness of the data; 0 at a primary.
    std::chrono::milliseconds age{0};
    int running_statements = 0;
    int open_transactions = 0;
  };

  //! The primary whose log this server pulls.
  struct Source {
    std::int64_t term = 0;
    std::string host;
    std::uint16_t port = 0;
  };

  //! Log entries from the requested position on, with the term ranges of the
  //! whole log.
  struct PullResponse {
    std::vector<TermRange> term_ranges;
    std::vector<LogEntry> entries;
    bool complete = false;  //!< Includes every entry older than the lag.
  };

  explicit Database(Options options) : options_(options) {}

  //! Blocks until a slot is free, up to the request's deadline. A transaction
  //! belongs to the connection that opened it.
  StatementResponse Execute(const StatementRequest& request,
                            std::uint64_t connection);
  //! Rolls back the open transaction of `connection`, if any.
  void CloseConnection(std::uint64_t connection);

  //! Returns false when `term` is not higher than the server's own, unless the
  //! server is already primary of `term`.
  bool Promote(std::int64_t term);
  //! Returns false when the term of `source` is lower than the server's own, or
  //! equal while the server is primary.
  bool Follow(const Source& source);

  Status status() const;
  std::optional<Store::StoredResult> FindRequestResult(
      const std::string& request_id) const;

  struct FenceResult {
    bool refused = false;  //!< This server is not the primary of the term.
    std::optional<Store::StoredResult> stored;
  };
  //! Returns the stored result of `request_id`. When there is none, refuses the
  //! id from now on, so that a request still in transit can't run after it was
  //! reported as unknown.
  FenceResult FindOrFenceRequest(std::int64_t term,
                                 const std::string& request_id);

  std::optional<Source> source() const;
  std::int64_t NextPosition() const;
  //! Truncates entries that the primary's log does not have and appends the
  //! pulled ones. Ignores the response when the source has changed since the
  //! request was sent.
  void ApplyPullResponse(const Source& source,
                         PullResponse response,
                         std::chrono::steady_clock::time_point sent_at,
                         std::chrono::milliseconds lag);
  //! Returns the entries from `first_position` on that are older than `lag`, up
  //! to a maximum count; nullopt unless this server is the primary of `term`.
  std::optional<PullResponse> ReadLog(std::int64_t term,
                                      std::int64_t first_position,
                                      std::chrono::milliseconds lag) const;

 private:
  using Lock = std::unique_lock<std::mutex>;

  struct Transaction {
    std::uint64_t connection = 0;
    std::map<std::string, std::string> writes;
    std::vector<RequestResult> results;
  };

  //! Returns "" when the request may run.
  std::string FindRefusalReason(const StatementRequest& request,
                                std::uint64_t connection) const;
  //! Returns true when the request id already has a result, and fills
  //! `response` with it, or with a refusal when the id belongs to another
  //! statement.
  bool AnswerFromStoredResult(const StatementRequest& request,
                              StatementResponse& response) const;
  void Dispatch(Lock& lock,
                const StatementRequest& request,
                std::uint64_t connection,
                StatementResponse& response);
  void Begin(Lock& lock,
             const StatementRequest& request,
             std::uint64_t connection,
             StatementResponse& response);
  void Commit(const StatementRequest& request, StatementResponse& response);
  //! Waits for a slot and for the duration of the statement, then applies it.
  void RunStatement(Lock& lock,
                    const StatementRequest& request,
                    std::uint64_t connection,
                    StatementResponse& response);
  //! Waits until the key is not locked by a transaction, then reads or writes.
  void ApplyStatement(Lock& lock,
                      const StatementRequest& request,
                      std::uint64_t connection,
                      StatementResponse& response);
  bool AcquireSlot(Lock& lock, std::chrono::steady_clock::time_point deadline);
  //! Ends a transaction without applying it and frees its slot and key locks.
  void DiscardTransaction(const std::string& transaction);
  void DiscardAllTransactions();
  void AppendEntry(std::vector<RequestResult> results,
                   std::vector<KeyValue> writes);
  //! Returns 0 until the log is verified against the followed primary's.
  std::int64_t VisiblePosition() const;

  const Options options_;
  mutable std::mutex mutex_;
  std::condition_variable state_changed_;
  Store store_;
  std::int64_t term_ = 0;
  // Position of the first entry that this server wrote as primary of term_.
  std::int64_t term_start_position_ = 0;
  bool primary_ = false;
  // The log is known to be a prefix of the followed primary's.
  bool log_verified_ = true;
  std::optional<Source> source_;
  // Time up to which this replica has all entries of the primary.
  std::chrono::steady_clock::time_point complete_as_of_ =
      std::chrono::steady_clock::now();
  int used_slots_ = 0;
  int running_statements_ = 0;
  std::uint64_t next_transaction_ = 1;
  std::map<std::string, Transaction> transactions_;
  std::map<std::string, std::string> locked_keys_;  // key to transaction id
  std::set<std::string> fenced_ids_;
};

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_DATABASE_H_
