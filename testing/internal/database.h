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

//! One database server without its network side: terms, statements, slots,
//! transactions and the replica's side of replication. Thread-safe.
class Database {
 public:
  struct Options {
    int slots = 3;
    std::chrono::milliseconds statement_time{0};
  };

  struct Status {
    bool primary = false;
    std::int64_t term = 0;      //!< Lower terms are refused.
    std::int64_t position = 0;  //!< 0 until the log is known to be a prefix of
                                //!< the followed primary's.
    std::int64_t log_term = 0;  //!< Of the last entry; with log_position it
    std::int64_t log_position = 0;     //!< ranks the members for a promotion.
    std::chrono::milliseconds age{0};  //!< Of the data.
    int running = 0;
    int transactions = 0;
  };

  //! The primary that this server pulls from.
  struct Source {
    std::int64_t term = 0;
    std::string host;
    std::uint16_t port = 0;
  };

  struct PullAnswer {
    std::vector<TermRun> runs;
    std::vector<LogEntry> entries;
    bool complete = false;  //!< No further entry is older than the lag.
  };

  explicit Database(Options options) : options_(options) {}

  //! Waits for a slot until the request's deadline. `connection` owns the
  //! transaction that a begin opens.
  StatementAnswer Execute(const StatementRequest& request,
                          std::uint64_t connection);
  //! Rolls back what `connection` has open.
  void CloseConnection(std::uint64_t connection);

  //! False when `term` is not higher than the server's own.
  bool Promote(std::int64_t term);
  //! False when `term` is lower than the server's own or its own primary's.
  bool Follow(const Source& source);

  Status status() const;
  std::optional<Store::Known> FindRequest(const std::string& request_id) const;

  struct Outcome {
    bool refused = false;  //!< Not the primary of that term.
    std::optional<Store::Known> known;
  };
  //! As FindRequest; an id that is not known is refused from now on, so that
  //! the answer stays true while a request with it is on its way.
  Outcome Fence(std::int64_t term, const std::string& request_id);

  std::optional<Source> source() const;
  std::int64_t NextPosition() const;
  //! Takes the answer to a pull sent at `sent`, unless the source has changed.
  void ApplyPull(const Source& source,
                 PullAnswer answer,
                 std::chrono::steady_clock::time_point sent,
                 std::chrono::milliseconds lag);
  //! Nullopt unless this server is the primary of `term`.
  std::optional<PullAnswer> ReadLog(std::int64_t term,
                                    std::int64_t from,
                                    std::chrono::milliseconds lag) const;

 private:
  using Lock = std::unique_lock<std::mutex>;

  struct Transaction {
    std::uint64_t connection = 0;
    std::map<std::string, std::string> writes;
    std::vector<RequestResult> results;
  };

  std::string Refusal(const StatementRequest& request,
                      std::uint64_t connection) const;
  //! Fills `answer` when the request id already has a result.
  bool AnswerKnown(const StatementRequest& request,
                   StatementAnswer& answer) const;
  void Dispatch(Lock& lock,
                const StatementRequest& request,
                std::uint64_t connection,
                StatementAnswer& answer);
  void Begin(Lock& lock,
             const StatementRequest& request,
             std::uint64_t connection,
             StatementAnswer& answer);
  void Commit(const StatementRequest& request, StatementAnswer& answer);
  void Run(Lock& lock,
           const StatementRequest& request,
           std::uint64_t connection,
           StatementAnswer& answer);
  void Apply(Lock& lock,
             const StatementRequest& request,
             std::uint64_t connection,
             StatementAnswer& answer);
  bool TakeSlot(Lock& lock, std::chrono::steady_clock::time_point deadline);
  //! Ends a transaction without applying it and frees its slot and keys.
  void Discard(const std::string& transaction);
  void DiscardAll();
  void Append(std::vector<RequestResult> results, std::vector<KeyValue> writes);
  std::int64_t VisiblePosition() const;

  const Options options_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  Store store_;
  std::int64_t term_ = 0;
  std::int64_t term_start_ = 0;  // position of this primary's first entry
  bool primary_ = false;
  bool verified_ = true;
  std::optional<Source> source_;
  std::chrono::steady_clock::time_point complete_at_ =
      std::chrono::steady_clock::now();
  int used_slots_ = 0;
  int running_ = 0;
  std::uint64_t next_transaction_ = 1;
  std::map<std::string, Transaction> transactions_;
  std::map<std::string, std::string> locked_keys_;  // to their transaction
  std::set<std::string> fenced_ids_;
};

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_DATABASE_H_
