#ifndef GOLDCREST_STATEMENTS_STATEMENT_QUEUE_H_
#define GOLDCREST_STATEMENTS_STATEMENT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "goldcrest/types/time.h"

namespace goldcrest::statements {

//! A statement that waits for an endpoint.
struct WaitingStatement {
  std::uint64_t session = 0;
  std::string customer;
  std::int64_t weight = 1;  //!< Of the customer, relative to the others.
  int priority = 0;         //!< 0 is the highest.
  Time arrival;
  //! When its target latency has passed since its operation began, or since it
  //! was refused, if it is repeated.
  Time due;
  bool repeated = false;  //!< It has been sent before.
  //! Its caller has returned at the time that it was told.
  bool promised = false;
};

//! Order of the statements that wait for the endpoints of one group in one
//! entry: by priority; first attempts before repeated ones; then with
//! start-time fair queueing between customers. Statements of customers that use
//! less than their share are ordered by the time at which they are due. A
//! returned caller goes first in its priority, but takes at most one of
//! kStartsPerPromise starts. Fairness applies as long as statements wait: a
//! customer without waiting statements keeps no debt for longer than
//! kMaxIdleDebt. Not thread-safe.
class StatementQueue {
 public:
  //! Statements that wait for one group at most. Callers with a statement
  //! timeout of 500 ms would not be served further back: an entry sends at most
  //! a few hundred statements a second.
  static constexpr std::size_t kMaxWaiting = 128;
  static constexpr int kStartsPerPromise = 4;
  static constexpr Duration kMaxIdleDebt = std::chrono::seconds(1);

  //! Sorts all statements that wait; the first is to be sent next.
  void Sort(Time now, std::vector<WaitingStatement>& waiting);

  //! A statement was sent while others waited.
  void OnStarted(const WaitingStatement& statement);

 private:
  struct Customer {
    double start = 0;  // virtual time of its next statement
    Time last_waiting;
  };
  struct Level {
    double virtual_time = 0;  // lowest start of a customer that waits
    std::map<std::string, Customer> customers;
  };

  std::map<int, Level> levels_;  // by priority
  int starts_since_promise_ = kStartsPerPromise;
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_STATEMENT_QUEUE_H_
