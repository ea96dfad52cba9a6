#ifndef GOLDCREST_STATEMENTS_CONNECTION_POOL_H_
#define GOLDCREST_STATEMENTS_CONNECTION_POOL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "goldcrest/statements/statement.h"
#include "goldcrest/types/time.h"

namespace goldcrest::statements {

using SessionId = std::uint64_t;
using ConnectionId = std::uint64_t;

//! State of one connection from an entry to an endpoint.
struct Connection {
  enum class State { kOpening, kIdle, kBusy, kRollingBack };
  //! An outstanding answer on the connection.
  struct ExpectedAnswer {
    enum class Kind { kSetup, kBegin, kStatement, kRollback };
    Kind kind = Kind::kStatement;
    Time sent_at;
    Time processing_since;  //!< The later of `sent_at` and the last answer.
    //! Only the primary answers the command with success.
    bool proves_primary = false;
    //! The transaction state that success implies.
    TransactionState state_after_success = TransactionState::kIdle;
    EndpointCommand command;  //!< kSetup: what was sent.
  };

  ConnectionId id = 0;
  std::string endpoint;
  std::string group;
  std::string customer;
  State state = State::kOpening;
  //! The session that uses a busy connection; 0 when none does any more.
  SessionId session = 0;
  //! As the endpoint's last answer told it.
  TransactionState transaction = TransactionState::kIdle;
  bool requires_primary = false;  //!< Its transaction is refused by a replica.
  bool has_written = false;       //!< Its transaction has run a write.
  // Session values and prepared names that the endpoint has accepted.
  std::map<std::string, std::string> values;
  std::set<std::string> prepared;
  std::size_t setup_bytes = 0;  //!< Of `values` and `prepared`.
  std::deque<ExpectedAnswer> expected_answers;
  Time state_since;
  bool awaited = false;  //!< A session waits until it becomes idle.
  //! kRollingBack: when to repeat a refused ROLLBACK.
  Time rollback_due = kNever;
};

//! Parameters for opening a connection.
struct ConnectionTarget {
  std::string endpoint;
  std::string group;
  std::string customer;
};

struct ConnectionPoolHooks {
  std::function<void(ConnectionId, const ConnectionTarget&)> open;
  std::function<void(ConnectionId)> close;
};

//! The connections of one entry to all endpoints. A connection belongs to one
//! customer, because the customer is sent to the endpoint when the connection
//! is opened. It is idle, and may be assigned to another session, only when the
//! endpoint has answered everything and has reported no open transaction. Each
//! endpoint enforces its connection limit over all entries. An
//! entry opens connections up to its equal share of that limit, exceeds the
//! share only while all of its connections are in use, and closes idle ones.
class ConnectionPool {
 public:
  explicit ConnectionPool(ConnectionPoolHooks hooks);

  //! Assigns an idle connection of the customer to `session` and makes it busy;
  //! nullptr when there is none.
  Connection* TakeIdle(Time now,
                       const std::string& endpoint,
                       const std::string& customer,
                       SessionId session);

  bool HasIdle(const std::string& endpoint, const std::string& customer) const;

  //! Starts to open a connection. When `limit` is reached, first closes an idle
  //! one of the endpoint. Returns 0 when no connection can be opened now.
  ConnectionId Open(Time now, const ConnectionTarget& target, int limit);

  //! True when Open() would start to open a connection.
  bool CanOpen(Time now, const std::string& endpoint, int limit) const;

  //! A connection of the customer that is being rolled back and that no session
  //! waits for; marks it as awaited. Returns 0 if there is none.
  ConnectionId AwaitRollback(Time now,
                             const std::string& endpoint,
                             const std::string& customer);

  //! True while the connection is being opened, or rolled back in good time.
  bool IsBecomingIdle(Time now, ConnectionId id) const;

  void OnOpened(Time now, ConnectionId id);
  //! `outcome`: kTooManyConnections, kWrongEndpoint, kTimedOut, or kFailed for
  //! any other cause.
  void OnOpenFailed(Time now, ConnectionId id, Outcome outcome);

  Connection* Find(ConnectionId id);

  //! Makes a connection idle. It must have no outstanding answer, and no open
  //! transaction at the endpoint.
  void Release(Time now, Connection& connection);

  //! Detaches the connection from its session until Release() is called. The
  //! caller sends ROLLBACK.
  void BeginRollback(Time now, Connection& connection);

  //! Connections whose refused ROLLBACK is due again.
  std::vector<ConnectionId> RollbacksDue(Time now) const;

  //! Closes the connection and removes it from the pool.
  void Close(ConnectionId id);

  //! Removes a connection that the endpoint has closed or refused.
  void Remove(ConnectionId id);

  //! The endpoint answered a statement after `latency`.
  void OnLatency(const std::string& endpoint, Duration latency);

  //! The endpoint failed; it is avoided for a time that grows with each
  //! consecutive failure.
  void OnFailure(Time now, const std::string& endpoint);

  //! The endpoint reported that its log has reached `position`.
  void OnPosition(const std::string& endpoint, LogPosition position);
  //! The endpoint refused a read: its log has not reached `required`.
  void OnBehind(Time now, const std::string& endpoint, LogPosition required);
  //! True when the endpoint would probably refuse a read that requires
  //! `position`.
  bool IsBehind(Time now,
                const std::string& endpoint,
                LogPosition position) const;

  //! The endpoint refused a statement because it was busy. Reduces the number
  //! of concurrent statements to it; at the minimum, sends none for a while.
  void OnBusy(Time now, const std::string& endpoint);
  //! True when another statement may be sent to the endpoint now.
  bool HasCapacity(Time now, const std::string& endpoint) const;

  //! Expected time for one more statement at the endpoint: the larger of its
  //! recent latency and the age of its oldest unanswered statement, multiplied
  //! by the number of this entry's statements there, the new one included.
  Duration ExpectedWait(Time now, const std::string& endpoint) const;

  bool IsAvoided(Time now, const std::string& endpoint) const;

  //! Closes connections that have been idle for too long or whose endpoint
  //! satisfies `unwanted`. `kept` tells how many connections to an endpoint are
  //! kept open for longer.
  void CloseIdle(Time now,
                 const std::function<bool(const std::string&)>& unwanted,
                 const std::function<int(const std::string&)>& kept);

  //! Connections that no session uses and whose oldest outstanding answer has
  //! been due since before `oldest`.
  std::vector<ConnectionId> UnansweredSince(Time oldest) const;

  //! Connections that have been opening since before `oldest`.
  std::vector<ConnectionId> OpeningSince(Time oldest) const;

  std::size_t Size() const { return connections_.size(); }

 private:
  struct EndpointHealth {
    Duration latency{};
    int failures = 0;
    Time avoid_until;
    Time next_open_at;  // set when the endpoint has too many connections
    LogPosition highest_position;  // as reported by the endpoint
    LogPosition refused_position;  // lowest required one that it refused
    Time behind_until;             // end of the validity of that refusal
    double window = 0;             // concurrent statements; 0: no limit
    Time window_reduced_at;
    Duration busy_backoff{};  // after the last refusal at the smallest window
    Time busy_until;
    int open_refusals = 0;  // consecutive, for too many connections
    int connections = 0;
    int opening_connections = 0;
  };

  int OutstandingAt(const std::string& endpoint) const;

  ConnectionPoolHooks hooks_;
  ConnectionId next_id_ = 1;
  std::map<ConnectionId, Connection> connections_;
  std::map<std::string, EndpointHealth> health_;
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_CONNECTION_POOL_H_
