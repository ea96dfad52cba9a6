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

//! What an entry knows of one connection to an endpoint.
struct Connection {
  enum class State { kOpening, kIdle, kBusy };
  //! What the next answers on the connection belong to.
  struct Expected {
    enum class Kind { kSetup, kBegin, kStatement, kCleanup };
    Kind kind = Kind::kStatement;
    Time sent_at;
    Time worked_on_since;  //!< `sent_at`, or the answer before it if later.
  };

  ConnectionId id = 0;
  std::string endpoint;
  std::string group;
  std::string customer;
  State state = State::kOpening;
  SessionId session = 0;  //!< kBusy: who uses it; 0: nobody waits any more.
  bool in_transaction = false;
  bool leads_checked = false;  //!< Its transaction runs on a primary only.
  std::map<std::string, std::string> values;
  std::set<std::string> prepared;
  std::deque<Expected> expected;
  Time since;  //!< Of `state`.
};

//! What opening a connection takes.
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
//! customer, since an endpoint is told the customer when it is opened. The
//! limit of an endpoint over all entries is kept by the endpoint: an entry
//! opens its even part freely and more while it needs them, and gives up what
//! idles.
class ConnectionPool {
 public:
  explicit ConnectionPool(ConnectionPoolHooks hooks);

  //! An idle connection for the customer, which becomes busy for `session`;
  //! nullptr when there is none.
  Connection* Take(Time now,
                   const std::string& endpoint,
                   const std::string& customer,
                   SessionId session);

  bool HasIdle(const std::string& endpoint, const std::string& customer) const;

  //! Begins to open a connection, closing an idle one of another customer when
  //! `limit` is reached. Returns 0 when that can't be done now.
  ConnectionId Open(Time now, const ConnectionTarget& target, int limit);

  //! True when Open() would begin to open a connection.
  bool MayOpen(Time now, const std::string& endpoint, int limit) const;

  bool IsOpening(ConnectionId id) const;

  void OnOpened(Time now, ConnectionId id);
  //! `outcome`: kTooManyConnections, kWrongEndpoint, or kFailed for any other
  //! cause.
  void OnOpenFailed(Time now, ConnectionId id, Outcome outcome);

  Connection* Find(ConnectionId id);

  //! Makes a busy connection idle. Answers may still be due on it.
  void Release(Time now, Connection& connection);

  //! Closes and forgets the connection.
  void Close(ConnectionId id);

  //! Forgets a connection that the endpoint has closed.
  void Forget(ConnectionId id);

  //! The endpoint answered a statement after `latency`.
  void OnLatency(const std::string& endpoint, Duration latency);

  //! The endpoint failed; it is left alone for a while, longer each time.
  void OnFailure(Time now, const std::string& endpoint);

  //! The endpoint's log was at `position`.
  void OnPosition(const std::string& endpoint, LogPosition position);
  //! The endpoint's log had not reached `asked`.
  void OnBehind(Time now, const std::string& endpoint, LogPosition asked);
  //! True when the endpoint would probably refuse to read after `position`.
  bool IsBehind(Time now,
                const std::string& endpoint,
                LogPosition position) const;

  //! The endpoint had no room for a statement: fewer are sent at a time, and
  //! when a single one was too many, none for a while.
  void OnBusy(Time now, const std::string& endpoint);
  //! True when another statement may be sent to the endpoint now.
  bool HasRoom(Time now, const std::string& endpoint) const;

  //! Expected time for one more statement at the endpoint: its recent latency,
  //! or the age of its oldest unanswered statement, times what this entry has
  //! outstanding there.
  Duration ExpectedWait(Time now, const std::string& endpoint) const;

  bool IsAvoided(Time now, const std::string& endpoint) const;

  //! Closes connections that have idled too long, or whose endpoint satisfies
  //! `unwanted`.
  void CloseIdle(Time now,
                 const std::function<bool(const std::string&)>& unwanted);

  //! Connections without an answer since before `oldest`, used by nobody.
  std::vector<ConnectionId> Stuck(Time oldest) const;

  std::size_t Size() const { return connections_.size(); }

 private:
  struct Health {
    Duration latency{};
    int failures = 0;
    Time avoid_until;
    Time open_after;     // the endpoint had too many connections
    LogPosition seen;    // the highest position told
    LogPosition behind;  // had not been reached
    Time behind_until;
    double window = 0;  // statements at a time; 0: not set yet
    Time narrowed_at;
    Duration busy_pause{};  // of the last refusal at the narrowest window
    Time busy_until;
    int refusals = 0;  // for too many connections, in a row
    int count = 0;
    int opening = 0;
  };

  int OutstandingAt(const std::string& endpoint) const;

  ConnectionPoolHooks hooks_;
  ConnectionId next_id_ = 1;
  std::map<ConnectionId, Connection> connections_;
  std::map<std::string, Health> health_;
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_CONNECTION_POOL_H_
