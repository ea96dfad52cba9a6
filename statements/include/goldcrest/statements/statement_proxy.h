#ifndef GOLDCREST_STATEMENTS_STATEMENT_PROXY_H_
#define GOLDCREST_STATEMENTS_STATEMENT_PROXY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/quota/holder.h"
#include "goldcrest/routing/endpoint_directory.h"
#include "goldcrest/routing/routing_table.h"
#include "goldcrest/statements/connection_pool.h"
#include "goldcrest/statements/position_history.h"
#include "goldcrest/statements/primary_view.h"
#include "goldcrest/statements/statement.h"

namespace goldcrest::statements {

//! A decision that touches a caller's statement or what the entry believes.
struct Decision {
  std::string event;         //!< Such as "refused", "retried".
  std::string statement_id;  //!< Empty when it concerns no statement.
  std::string group;
  std::string endpoint;
  std::string cause;
  Duration age{};  //!< Of the statement, or of the belief.
  std::int64_t configuration_version = 0;
  std::string customer;  //!< Empty when it concerns no session.
};

struct ProxyHooks {
  //! Answers the session's oldest unanswered statement.
  std::function<void(SessionId, const Answer&)> answer;
  //! Closes the session after what was sent.
  std::function<void(SessionId)> close_session;
  std::function<void(ConnectionId, const ConnectionTarget&)> open;
  std::function<void(ConnectionId, const std::vector<EndpointCommand>&)> send;
  std::function<void(ConnectionId)> close;
  std::function<void(const Decision&)> decided;
  //! One operation has ended.
  std::function<void(const routing::Route&, Outcome, Duration)> completed;
};

struct ProxyOptions {
  std::string zone;
  quota::LimitWindow limit_window;
  int entries = 11;  //!< Until a controller tells how many there are.
};

//! The sessions of one entry: takes callers' statements, finds an endpoint that
//! may run each, and answers. Does no I/O and reads no clock; not thread-safe.
class StatementProxy {
 public:
  StatementProxy(ProxyOptions options, ProxyHooks hooks);

  // Callers. A session is answered in the order of its statements.
  void OnSessionStart(Time now,
                      SessionId session,
                      const std::string& database,
                      const std::string& key);
  void OnStatement(Time now, SessionId session, Statement statement);
  void OnSessionClosed(Time now, SessionId session);

  // Endpoint connections, as opened by the hook.
  void OnOpened(Time now, ConnectionId id);
  void OnOpenFailed(Time now, ConnectionId id, Outcome outcome);
  void OnAnswer(Time now, ConnectionId id, const Answer& answer);
  void OnConnectionClosed(Time now, ConnectionId id);

  // What controllers tell.
  void OnRoutingTable(Time now, routing::RoutingTablePtr table);
  void OnEndpoint(Time now, const messages::EndpointRecord& record);
  void OnAssignment(Time now, const messages::PrimaryAssignment& assignment);
  //! A primary confirmed `position` after this entry's clock showed
  //! `asked_at`.
  void OnConfirmedPosition(const std::string& group,
                           Time asked_at,
                           LogPosition position);
  void OnEntryCount(int entries);
  //! After the holder's shares have changed.
  void OnShares(Time now);

  //! Carries out what is due; call it at least every kTickInterval.
  void Tick(Time now);
  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);

  //! Closes sessions between two operations from now on.
  void BeginDrain(Time now);
  //! Ends transactions that are still open.
  void AbortTransactions(Time now);

  std::size_t SessionCount() const { return sessions_.size(); }
  std::int64_t Version() const { return table_ ? table_->version : 0; }
  quota::Holder& holder() { return holder_; }
  std::vector<messages::PrimaryContact> Contacts(Time now) const {
    return primaries_.Contacts(now);
  }
  const routing::EndpointDirectory& directory() const { return directory_; }

 private:
  struct Pending {
    Statement statement;
    Time arrival;
    Time deadline;         // of the route's statement timeout
    Time give_up;          // unless it has been sent by then
    bool counted = false;  // a token was taken for its operation
    bool sent = false;     // it may have reached an endpoint
    int attempts = 0;
    std::map<std::string, Time> avoid;  // endpoint: until
    ConnectionId opening = 0;
    std::optional<LogPosition> after;  // asked of the endpoint
    Time retry_at;
    std::string last_cause = "no endpoint";
  };
  struct PreparedStatement {
    //! Its name on connections, which sessions share.
    std::string SharedName() const { return (writes ? "w" : "r") + shape; }

    bool writes = false;
    std::string shape;
  };
  struct Session {
    SessionId id = 0;
    std::string database;
    std::string key;
    std::string customer;
    TransactionState state = TransactionState::kIdle;
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedStatement> prepared;
    LogPosition own_commit;
    // The operation that runs: its route stays the same until it ends.
    routing::RoutingTablePtr table;
    const routing::Route* route = nullptr;
    Time started_at;
    bool read_only = false;
    bool ran = false;      // a statement of the transaction has succeeded
    bool aborted = false;  // the transaction was lost; the caller isn't told
    ConnectionId connection = 0;
    std::optional<Pending> pending;
    std::deque<Statement> inbox;
    Time idle_until = kNever;  // an idle transaction is ended then
    Time answered_at;
  };

  // A session that was opened before there was a configuration.
  struct WaitingStart {
    SessionId session = 0;
    std::string database;
    std::string key;
    Time until;
  };

  // Sessions.
  void RefuseWaitingStarts(Time now);
  void Handle(Time now, Session& session, Statement statement);
  void HandleBegin(Time now, Session& session, Statement statement);
  void HandleRollback(Time now, Session& session);
  void HandlePrepare(Time now, Session& session, const Statement& statement);
  void HandleRunnable(Time now, Session& session, Statement statement);
  bool StartOperation(Time now, Session& session);
  void Submit(Time now, Session& session, Statement statement);
  void Reply(Time now, Session& session, Answer answer);
  void ReplyLocally(Time now, Session& session, Answer answer);
  void ReplyError(Time now,
                  Session& session,
                  Outcome outcome,
                  const char* message);
  static void FailTransaction(Session& session);
  void Refuse(Time now,
              Session& session,
              Outcome outcome,
              const std::string& message);
  void EndOperation(Time now, Session& session, Outcome outcome);
  void NextFromInbox(Time now, SessionId id);
  void ServeWaitingForTokens(Time now);
  void CloseIdleSessions(Time now);
  bool Admit(Time now, Session& session);

  void SetLimits(const routing::RoutingTable& table);

  // Dispatch.
  bool NeedsPrimary(const Session& session) const;
  bool Writes(const Session& session, const Statement& statement) const;
  void DispatchGroup(Time now, const std::string& group);
  //! Whether a dispatch may open a connection, or uses an idle one only.
  enum class Opening { kAllowed, kLater };
  void Dispatch(Time now, Session& session, Opening opening);
  void DispatchToPrimary(Time now, Session& session, Opening opening);
  void DispatchToAny(Time now,
                     Session& session,
                     LogPosition after,
                     Opening opening);
  bool Acquire(Time now,
               Session& session,
               const std::string& endpoint,
               Opening opening);
  std::optional<LogPosition> ReadPosition(const Session& session);
  void Run(Time now,
           Session& session,
           Connection& connection,
           std::optional<LogPosition> after);
  void SendStatement(Time now,
                     Session& session,
                     Connection& connection,
                     std::optional<LogPosition> after);
  void AppendSetup(const Session& session,
                   Connection& connection,
                   std::vector<EndpointCommand>& commands) const;
  void Send(const Connection& connection,
            const std::vector<EndpointCommand>& commands);
  int EvenPart(const std::string& endpoint) const;
  int ConnectionLimit(const std::string& endpoint) const;

  // Answers.
  void OnBeginAnswer(Time now,
                     Connection& connection,
                     const Answer& answer,
                     Time sent_at);
  void OnStatementAnswer(Time now,
                         Connection& connection,
                         const Answer& answer,
                         Time sent_at);
  void OnSingleAnswer(Time now,
                      Session& session,
                      Connection& connection,
                      const Answer& answer);
  void OnTransactionAnswer(Time now,
                           Session& session,
                           Connection& connection,
                           const Answer& answer);
  void Learn(Time now,
             const Connection& connection,
             const Answer& answer,
             Time sent_at);
  bool Retry(Time now,
             Session& session,
             const std::string& endpoint,
             Outcome outcome);
  void CleanUp(Time now, Connection& connection);
  void Abandon(Time now, Session& session);
  void LoseConnection(Time now, Session& session, const std::string& cause);
  void OnStatementTimeout(Time now, Session& session);
  void NoteUnreachable(Time now,
                       const std::string& group,
                       const std::string& endpoint);
  void DecideOnConnection(const Connection& connection,
                          const std::string& event,
                          const std::string& cause,
                          Duration age = Duration::zero());
  void Decide(Time now,
              const Session& session,
              const std::string& event,
              const std::string& endpoint,
              const std::string& cause);

  ProxyOptions options_;
  ProxyHooks hooks_;
  routing::RoutingTablePtr table_;
  routing::EndpointDirectory directory_;
  PrimaryView primaries_{&directory_};
  ConnectionPool pool_;
  quota::Holder holder_;
  std::map<std::string, PositionHistory> positions_;  // by group
  std::map<SessionId, Session> sessions_;
  std::map<std::string, std::vector<SessionId>> waiting_;  // by group
  std::vector<SessionId> token_waiters_;
  std::vector<WaitingStart> waiting_starts_;
  bool draining_ = false;
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_STATEMENT_PROXY_H_
