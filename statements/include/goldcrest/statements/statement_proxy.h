#ifndef GOLDCREST_STATEMENTS_STATEMENT_PROXY_H_
#define GOLDCREST_STATEMENTS_STATEMENT_PROXY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "goldcrest/quota/holder.h"
#include "goldcrest/routing/endpoint_directory.h"
#include "goldcrest/routing/routing_table.h"
#include "goldcrest/routing/zone_balance.h"
#include "goldcrest/routing/zone_evacuations.h"
#include "goldcrest/statements/connection_pool.h"
#include "goldcrest/statements/position_history.h"
#include "goldcrest/statements/primary_view.h"
#include "goldcrest/statements/relay_directory.h"
#include "goldcrest/statements/remote_entries.h"
#include "goldcrest/statements/retry_advice.h"
#include "goldcrest/statements/service_forecast.h"
#include "goldcrest/statements/statement.h"
#include "goldcrest/statements/statement_queue.h"
#include "goldcrest/statements/token_forecast.h"
#include "goldcrest/statements/write_holds.h"

namespace goldcrest::statements {

//! A decision, for the log: about a caller's statement, a connection, or what
//! the entry knows of endpoints and the configuration.
struct Decision {
  std::string event;         //!< Such as "refused", "retried".
  std::string statement_id;  //!< Empty when it concerns no statement.
  std::string group;
  std::string endpoint;
  std::string cause;
  Duration age{};  //!< Of the statement or the connection's state.
  std::int64_t configuration_version = 0;
  std::string customer;  //!< Empty when it concerns no session.
};

//! What a session makes the process hold, in bytes.
struct SessionMemory {
  std::size_t queued_bytes = 0;  //!< Statements that wait for earlier ones.
  std::size_t total_bytes = 0;   //!< Also those that run, values and names.
  ConnectionId connection = 0;   //!< To the endpoint, 0 for none.
};

struct ProxyHooks {
  //! Answers the session's oldest unanswered statement.
  std::function<void(SessionId, const Answer&)> answer;
  //! Passes on rows of the answer that follows; see OnRows().
  std::function<void(SessionId, const std::vector<std::string>&)> rows;
  //! True if the caller reads its answers too slowly to be given more. The
  //! session's next statement then waits for OnOutputRoom(). Optional.
  std::function<bool(SessionId)> is_output_full;
  //! Closes the session once the answers before it are sent.
  std::function<void(SessionId)> close_session;
  //! True if the caller has sent something that was not passed on yet.
  std::function<bool(SessionId)> has_unread_input;
  std::function<void(ConnectionId, const ConnectionTarget&)> open;
  std::function<void(ConnectionId, const std::vector<EndpointCommand>&)> send;
  std::function<void(ConnectionId)> close;
  //! Hands a message to the relay, or the answer to the entry that sent the
  //! request.
  std::function<void(const std::string& relay, const messages::RelayRequest&)>
      send_to_relay;
  std::function<void(const std::string& entry, const messages::RelayAnswer&)>
      answer_relayed;
  std::function<void(const Decision&)> log_decision;
  //! One operation has ended.
  std::function<void(const routing::Route&, Outcome, Duration)> completed;
  // Optional, for metrics.
  //! A caller was told to retry after this time. `cause`: a label.
  std::function<void(std::string_view cause, Duration retry_after)> rejected;
  //! A statement was sent this long after its operation was admitted.
  std::function<void(int priority, Duration)> waited;
  //! The division of reads among the availability zones has changed.
  std::function<void(const routing::ShareChange&)> shares_changed;
};

struct ProxyOptions {
  std::string zone;
  std::string relay;          //!< This entry's name towards other entries.
  bool offers_relay = false;  //!< Runs operations for other entries.
  //! Identifies this process of the entry; differs after a restart.
  std::int64_t process = 0;
  quota::LimitWindow limit_window;
  int entry_count = 11;  //!< Used until a controller reports the number.
  //! A caller is told that a database or key does not exist only if the
  //! configuration was the newest at most this long ago.
  Duration max_configuration_age = Duration::max();
  //! A transaction that depends on a key is rolled back when the configuration
  //! has not been confirmed as the newest one for this long.
  Duration confirmation_lease = Duration::max();
  //! Bound from the acknowledgement of a zone's evacuation to the last
  //! statement that is sent to it; absent where no bound is in effect.
  std::optional<Duration> evacuation_timeout;
  //! Differs between entries; see routing::ZoneBalanceOptions.
  std::uint64_t zone_salt = 0;
  //! What a byte between availability zones costs, as latency.
  Duration zone_byte_cost = routing::ZoneBalanceOptions().byte_cost;
  //! From when a primary is known to drain until it gets no new work.
  Duration draining_primary_timeout = Duration::max();
  // Bounds of what a session keeps; what exceeds them is refused as too large.
  std::size_t max_value_bytes = std::size_t{2} << 20U;     //!< Of SET.
  std::size_t max_prepared_bytes = std::size_t{2} << 20U;  //!< Of PREPARE.
  std::size_t max_names = 2'000;                           //!< Of each.
};

//! The callers' sessions of one entry: chooses for each statement an endpoint
//! that may run it, forwards it and passes on the answer. Does no I/O and reads
//! no clock; not thread-safe.
class StatementProxy {
 public:
  StatementProxy(ProxyOptions options, ProxyHooks hooks);

  // Events of callers. Each session gets its answers in the order of its
  // statements.
  void OnSessionStart(Time now,
                      SessionId session,
                      const std::string& database,
                      const std::string& key);
  void OnStatement(Time now, SessionId session, Statement statement);
  void OnSessionClosed(Time now, SessionId session);
  //! The caller has taken answers after the hook `is_output_full` was true.
  void OnOutputRoom(Time now, SessionId session);

  // Events of the endpoint connections that the `open` hook has opened.
  void OnOpened(Time now, ConnectionId id);
  void OnOpenFailed(Time now, ConnectionId id, Outcome outcome);
  void OnAnswer(Time now, ConnectionId id, const Answer& answer);
  //! The first rows of an answer that is too long to be kept. The rows are
  //! passed on; the statement is not repeated after that, and its timeout
  //! starts anew. Returns the session that gets the rows, 0 if it has left.
  SessionId OnRows(Time now,
                   ConnectionId id,
                   const std::vector<std::string>& rows);
  void OnConnectionClosed(Time now, ConnectionId id);

  // Updates from controllers.
  void OnRoutingTable(Time now, routing::RoutingTablePtr table);
  //! A controller has this version.
  void OnVersionAnnounced(std::int64_t version);
  //! By the word of the leading controller, no version newer than `version`
  //! had been acknowledged at `time`.
  void OnNewestVersion(Time now, std::int64_t version, Time time);
  void OnEndpoint(Time now, const messages::EndpointRecord& record);
  void OnAssignment(Time now, const messages::PrimaryAssignment& assignment);
  //! Sends no commit of the group, nor a write outside a transaction, to other
  //! endpoints than the promoted one until the hold is lifted or lapses.
  void OnWriteHold(Time now, const messages::WriteHold& hold);
  //! By group: the number of the hold in effect, once no commit is under way
  //! that it would have held.
  std::map<std::string, std::int64_t> HeldWrites(Time now);
  //! A primary confirmed `position` after this entry's clock showed
  //! `requested_at`.
  void OnConfirmedPosition(const std::string& group,
                           Time requested_at,
                           LogPosition position);
  void OnEntryCount(int entries);
  void OnRelay(const messages::RelayInstance& relay);
  void OnEvacuatedZones(Time now, const messages::EvacuatedZones& set);
  //! By the word of the leading controller, no change after the known set of
  //! evacuated zones had been acknowledged at `time`.
  void OnEvacuationsConfirmed(Time now, Time time);
  //! Admits waiting operations after the holder's shares have changed.
  void OnShares(Time now);

  // Events of the links to other entries.
  void OnRelayLink(Time now, const std::string& relay, bool up);
  void OnRelayRequest(Time now,
                      const std::string& from,
                      const messages::RelayRequest& request);
  void OnRelayAnswer(Time now,
                     const std::string& from,
                     const messages::RelayAnswer& answer);
  //! Relays to which this entry needs a link.
  const std::set<std::string>& WantedRelays() const { return relays_.Wanted(); }
  //! This entry as a relay, as far as controllers have to know.
  messages::RelayInstance OwnRelay() const;

  //! Applies timeouts and retries; has to be called at least every
  //! kTickInterval.
  void Tick(Time now);
  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);

  // A planned stop, in this order.
  //! From now on, closes each session once it is between two operations: with
  //! the answer that ends one, or when it has been idle for a while.
  void BeginDrain(Time now);
  //! From now on, refuses new operations as not run, and rolls back open
  //! transactions at their next statement. Statements that have been accepted
  //! go on.
  void RefuseOperations(Time now);
  //! Answers every statement that is still outstanding and closes all sessions.
  //! Returns the number of statements that an endpoint had not answered.
  int EndSessions(Time now);

  //! True once the configuration has been confirmed as the newest one since
  //! this object was made. Until then it serves and denies nothing.
  bool HasConfirmedConfiguration() const {
    return table_ != nullptr && configuration_confirmed_at_.has_value();
  }

  //! Sessions, with those that wait for the first configuration.
  std::size_t SessionCount() const {
    return sessions_.size() + pending_session_starts_.size();
  }
  std::int64_t Version() const { return table_ ? table_->version : 0; }
  //! Zeros for a session that is not open.
  SessionMemory MemoryOf(SessionId session) const;
  //! The session that uses the connection; 0 for none.
  SessionId SessionOf(ConnectionId id);
  //! The entry for which this one runs the session; empty for one of its own.
  std::string RemoteEntryOf(SessionId session) const;
  quota::Holder& holder() { return holder_; }
  //! The availability zone that the next read on `route` should go to when it
  //! may run on any member of the route's group; the entry's own zone when the
  //! group has no member that may get reads.
  std::string ChooseZone(Time now, const routing::Route& route);
  //! Takes the outcome of reads that were sent to other zones past the proxy.
  routing::ZoneBalance& zones() { return zones_; }
  std::vector<messages::PrimaryContact> Contacts(Time now) const {
    return primaries_.Contacts(now);
  }
  const routing::EndpointDirectory& directory() const { return directory_; }
  const routing::ZoneEvacuations& evacuations() const { return evacuations_; }

 private:
  struct PendingStatement {
    Statement statement;
    Time arrival;
    Time deadline;             // by the route's statement timeout
    Time give_up_at;           // refused then if it has not been sent
    Time queued_at;            // when it began to wait for an endpoint
    bool promised = false;     // its caller has returned when it was told to
    bool token_taken = false;  // its operation has taken a token
    bool sent = false;         // it may have reached an endpoint
    bool rows_passed = false;  // the caller has a part of the answer
    int attempts = 0;
    std::map<std::string, Time> avoided_until;  // by endpoint
    ConnectionId awaited_connection = 0;        // until it becomes idle
    std::string zone;    // that a read was assigned to; may be empty
    Time leave_zone_at;  // it may go to another zone from then on
    std::optional<LogPosition> required_position;  // sent with the statement
    Time retry_at;
    std::string last_cause = "no endpoint";
  };
  struct PreparedStatement {
    //! Its name on endpoint connections, where sessions share it. A single
    //! field, different for each shape.
    std::string SharedName() const;

    bool writes = false;
    std::string shape;
  };
  // The operation of another entry that a session runs.
  struct RemoteOperation {
    RemoteOperationId id;
    std::int32_t received_statements = 0;
    std::int32_t answered_statements = 0;
    // As the other entry has told it.
    std::optional<Time> unplaced_commit_at;
  };
  struct Session {
    SessionId id = 0;
    std::optional<RemoteOperation> remote;
    std::string database;
    std::string key;
    // Of the running operation. Without a customer, `customer` is "-".
    std::string customer;
    bool has_customer = false;
    TransactionState state = TransactionState::kIdle;
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedStatement> prepared;
    LogPosition last_commit;
    // When a commit after `last_commit` was acknowledged without a position.
    std::optional<Time> unplaced_commit_at;
    // The running operation, which keeps its route until it ends.
    routing::RoutingTablePtr table;
    const routing::Route* route = nullptr;
    Time started_at;
    bool read_only = false;
    bool statement_succeeded = false;  // of the running transaction
    bool aborted = false;  // the transaction was rolled back; not yet reported
    ConnectionId connection = 0;
    std::string relay;  // runs the operation; empty: this entry
    std::string relay_zone;
    std::int64_t relayed_operation = 0;
    std::int32_t relayed_statements = 0;  // sent to the relay
    std::optional<PendingStatement> pending;
    // A list, since an empty one takes no memory.
    std::list<Statement> queued_statements;
    // Of queued_statements, values and prepared.
    std::size_t queued_bytes = 0;
    std::size_t value_bytes = 0;
    std::size_t prepared_bytes = 0;
    // When the open transaction is rolled back unless a statement arrives.
    Time transaction_idle_deadline = kNever;
    Time answered_at;
    bool operation_ended = false;     // by the last answer
    Time retry_promised_at = kNever;  // as told with the last refusal
  };

  // A session that was opened before the configuration was confirmed.
  struct PendingSessionStart {
    SessionId session = 0;
    std::string database;
    std::string key;
    Time deadline;
  };

  // Sessions and statements that need no endpoint.
  void RefuseSessionStarts(Time now);
  void HandleStatement(Time now, Session& session, Statement statement);
  void HandleBegin(Time now, Session& session, Statement statement);
  void HandleRollback(Time now, Session& session);
  bool StoreValue(Session& session, const Statement& statement);
  bool StorePrepared(Session& session, const Statement& statement);
  static bool ErasePrepared(Session& session, const std::string& name);
  void HandleSet(Time now, Session& session, const Statement& statement);
  void HandlePrepare(Time now, Session& session, const Statement& statement);
  void RefuseTooLarge(Time now, Session& session, const char* message);
  static void Enqueue(Session& session, Statement statement);
  static Statement Dequeue(Session& session);
  void HandleEndpointStatement(Time now, Session& session, Statement statement);
  bool StartOperation(Time now, Session& session);
  //! Runs an operation that has been started, here or on a relay.
  void RunOperation(Time now, Session& session, Statement statement);
  void BeginTransaction(Time now, Session& session, Statement statement);
  void SubmitStatement(Time now, Session& session, Statement statement);
  //! When a statement that may be sent from `now` on is refused unless it was
  //! sent.
  static Time GiveUpAt(Time now, const routing::Route& route);
  static void SetGiveUpTime(Time now, Session& session);
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
  //! Handles the session's queued statements. Closes the session if a planned
  //! stop has begun and it is between two operations.
  void ContinueSession(Time now, SessionId id);
  void AdmitWaitingOperations(Time now);
  bool MayCloseSession(Time now, const Session& session) const;
  void CloseSession(Time now, SessionId id);
  void CloseSessionsBetweenOperations(Time now);
  void AbortTransaction(Time now, Session& session, const std::string& cause);
  //! Answers the pending statement, which goes on no further.
  void AbandonStatement(Time now, Session& session, const std::string& cause);
  bool AdmitOperation(Time now, Session& session);

  // Order of waiting statements, early rejection and retry-after times.
  //! A refusal whose caller is told when to retry.
  struct Rejection {
    std::string_view cause;  // label of the metric
    std::string message;
    std::string resource;       // what the caller waits for
    Time capacity_at = kNever;  // when it is expected
    Duration interval{};        // between two units of it
    Outcome outcome = Outcome::kBusy;
  };
  void EnqueueStatement(Time now, Session& session);
  static bool IsWaiting(const Session& session, const std::string& group);
  std::string QueueOf(const Session& session) const;
  WaitingStatement DescribeWaiting(const Session& session) const;
  std::vector<WaitingStatement> WaitingIn(const std::string& group) const;
  void OnDispatched(Time now, Session& session);
  void UpdateQueueLengths(Time now, const std::string& group);
  //! Refuses an operation that can't be served in time, before it takes a
  //! token.
  bool RejectOnArrival(Time now, Session& session);
  bool RejectWithoutToken(Time now, Session& session);
  Rejection RateRejection(Time now, const Session& session);
  void Reject(Time now, Session& session, const Rejection& rejection);
  void RejectUnsent(Time now,
                    Session& session,
                    std::string_view cause,
                    const std::string& message,
                    Outcome outcome = Outcome::kBusy);
  //! The end of a refusal's text, such as "; retry after 40 ms".
  std::string AdviseRetry(Time now,
                          const Rejection& rejection,
                          const RetrySituation& situation,
                          Session* session);
  std::string AdviseRetryForConfiguration(Time now);

  // Operations whose key has been withdrawn since they began.
  bool IsKeyWithdrawn(const Session& session) const;
  void EndWithdrawnOperations(Time now);
  void EndWithdrawnOperation(Time now, Session& session);
  void RefuseWithdrawn(Time now, Session& session);
  void EndUnconfirmedTransactions(Time now);

  // Operations that another entry runs.
  bool UsesRelays(const std::string& group) const;
  std::string ZoneForOperation(Time now,
                               const Session& session,
                               const Statement& statement);
  bool RelayOperation(Time now, Session& session, const Statement& statement);
  bool ForwardStatement(Time now, Session& session, const Statement& statement);
  enum class RelayMessage { kFirst, kFollowing };
  void SendRelayedStatement(Time now,
                            Session& session,
                            const Statement& statement,
                            RelayMessage message);
  messages::RelayedSession DescribeSession(Time now,
                                           const Session& session,
                                           const Statement& statement) const;
  enum class RelayEnd { kEndedThere, kAbandon };
  void LeaveRelay(Session& session, RelayEnd end);
  void ObserveRelayAnswer(Time now,
                          const Session& session,
                          const messages::RelayAnswer& message);
  void RestartOperation(Time now, Session& session);
  void OnRelayLost(Time now,
                   const std::string& relay,
                   const std::string& cause);
  void ProbeRelays(Time now);
  // Operations that this entry runs for others.
  bool AcceptProcess(Time now, const std::string& from, std::int64_t process);
  void RollBackRemoteOperations(Time now, const std::string& entry);
  SessionId OpenRemoteSession(Time now,
                              const RemoteOperationId& operation,
                              const messages::RelayedSession& session);
  void RunRemoteStatement(Time now,
                          SessionId id,
                          const messages::RelayRequest& request);
  void AnswerUnknownOperation(const std::string& from,
                              const messages::RelayRequest& request,
                              Outcome commit_outcome);
  static messages::RelayAnswer NextAnswer(const RemoteOperation& operation);
  void SendRelayAnswer(Session& session, const Answer& answer);
  void SendRelayedRows(const Session& session,
                       const std::vector<std::string>& rows);
  // Commits that are held while a promotion is under way.
  //! True for a single write, and a commit of what the connection has written.
  bool Commits(const Session& session, const Connection& connection) const;
  bool IsCommitUnderWay(Time now, const Session& session);
  void SendHeldCommits(Time now);
  void GiveUpCommits(Time now);
  // Operations at endpoints of evacuated availability zones.
  //! True when the statement that is next on the connection may be sent.
  bool MaySend(Time now, const Connection& connection) const;
  bool IsClosedTo(Time now, const std::string& endpoint) const;
  //! True when idle connections to the endpoint serve no further work.
  bool IsUnused(Time now, const std::string& endpoint) const;
  //! Ends operations whose endpoint may get no more work, and resumes those
  //! that were held until the evacuated zones were known.
  void ContinueHeldOperations(Time now);
  void EndEvacuatedOperation(Time now, Session& session);

  void SetLimits(const routing::RoutingTable& table);
  void ConfirmConfiguration(Time now);
  //! False if a newer configuration may be in force elsewhere.
  bool IsConfigurationCurrent(Time now) const;
  //! The refusal of a caller whose database or key is not configured:
  //! `outcome`, or kBusy while a newer configuration may know it.
  std::pair<Outcome, std::string> RefuseUnknown(Time now,
                                                Outcome outcome,
                                                const std::string& what);

  // Choice of the endpoint and the connection for a statement.
  bool NeedsPrimary(const Session& session) const;
  bool Writes(const Session& session, const Statement& statement) const;
  void DispatchGroup(Time now, const std::string& group);
  //! Whether a dispatch may open a connection or only use an idle one.
  enum class ConnectionPolicy { kMayOpen, kIdleOnly };
  void Dispatch(Time now, Session& session, ConnectionPolicy policy);
  void DispatchToPrimary(Time now, Session& session, ConnectionPolicy policy);
  //! An endpoint that can serve a read.
  struct Candidate {
    Duration cost;
    std::string endpoint;
    std::string zone;
  };
  bool HasDrainedTooLong(Time now, const std::string& primary) const;
  void DispatchToAnyMember(Time now,
                           Session& session,
                           LogPosition required_position,
                           ConnectionPolicy policy);
  std::vector<routing::ZoneMember> ZoneMembers(Time now,
                                               const std::string& group) const;
  //! Assigns the session's read to a zone if the group has members in several.
  void AssignZone(Time now,
                  Session& session,
                  const std::vector<Candidate>& candidates);
  void ObserveAnswer(Time now,
                     const Connection& connection,
                     const Connection::ExpectedAnswer& expected,
                     const Answer& answer);
  void ObserveRefusal(Time now,
                      const std::string& group,
                      const std::string& endpoint);
  bool MayGetReads(Time now,
                   const routing::EndpointDirectory::Entry& member) const;
  std::string ZoneOf(const std::string& endpoint) const;
  bool AcquireConnection(Time now,
                         Session& session,
                         const std::string& endpoint,
                         ConnectionPolicy policy);
  std::optional<LogPosition> RequiredReadPosition(const Session& session);
  static void RecordCommit(Time now, Session& session, const Answer& answer);
  void StartStatement(Time now,
                      Session& session,
                      Connection& connection,
                      std::optional<LogPosition> required_position);
  void SendStatement(Time now, Session& session, Connection& connection);
  static std::vector<EndpointCommand> ValueCommands(
      const Session& session,
      const Connection& connection);
  static std::vector<EndpointCommand> PrepareCommands(
      const Session& session,
      const Connection& connection);
  static void ExpectSetupAnswers(Time now,
                                 Connection& connection,
                                 const std::vector<EndpointCommand>& commands);
  void Send(const Connection& connection,
            const std::vector<EndpointCommand>& commands);
  int EqualConnectionShare(const std::string& endpoint) const;
  int KeptConnections(const std::string& endpoint) const;
  int ConnectionLimit(const std::string& endpoint) const;

  // Answers of endpoints, retries, timeouts and lost connections.
  void OnBeginAnswer(Time now, Connection& connection, const Answer& answer);
  void OnSetupAnswer(Time now,
                     Connection& connection,
                     const EndpointCommand& command,
                     const Answer& answer);
  void OnStatementAnswer(Time now, Connection& connection, Answer answer);
  void OnAutocommitAnswer(Time now,
                          Session& session,
                          Connection& connection,
                          const Answer& answer);
  void OnTransactionAnswer(Time now,
                           Session& session,
                           Connection& connection,
                           const Answer& answer);
  void RecordPrimaryAnswer(Time now,
                           const Connection& connection,
                           const Answer& answer,
                           Time sent_at);
  bool Retry(Time now,
             Session& session,
             const std::string& endpoint,
             Outcome outcome);
  void CleanUpConnection(Time now, Connection& connection);
  void SendRollback(Time now, Connection& connection);
  void OnRollbackAnswer(Time now, Connection& connection, const Answer& answer);
  void DetachConnection(Time now, Session& session);
  void DiscardConnection(Time now,
                         const Connection& connection,
                         const std::string& cause);
  void LeaveLostConnection(Time now,
                           const Connection& lost,
                           const std::string& cause);
  void OnConnectionLost(Time now, Session& session, const std::string& cause);
  void ReportUnreachablePrimary(Time now,
                                const std::string& group,
                                const std::string& endpoint);
  void ReportConnectionDecision(const Connection& connection,
                                const std::string& event,
                                const std::string& cause,
                                Duration age = Duration::zero());
  void ReportDecision(Time now,
                      const Session& session,
                      const std::string& event,
                      const std::string& endpoint,
                      const std::string& cause);

  ProxyOptions options_;
  ProxyHooks hooks_;
  routing::RoutingTablePtr table_;
  std::int64_t announced_version_ = 0;  // newest that a controller has
  // The leader's last word: the newest version, and when it was the newest.
  std::optional<std::pair<std::int64_t, Time>> newest_version_;
  std::optional<Time> configuration_confirmed_at_;
  routing::EndpointDirectory directory_;
  PrimaryView primaries_{&directory_};
  ConnectionPool pool_;
  quota::Holder holder_;
  RelayDirectory relays_;
  std::int64_t next_relayed_operation_ = 1;
  std::map<std::int64_t, SessionId> relayed_operations_;
  // The newest configuration that a relay has run an operation on.
  std::int64_t required_version_ = 0;
  SessionId next_remote_session_ = 0;
  std::map<RemoteOperationId, SessionId> remote_sessions_;
  RemoteEntries remote_entries_;
  routing::ZoneEvacuations evacuations_;
  WriteHolds write_holds_;
  bool commits_held_ = false;     // some have a connection
  bool operations_held_ = false;  // until the evacuated zones are known
  routing::ZoneBalance zones_;
  std::map<std::string, PositionHistory> positions_;  // by group
  std::map<SessionId, Session> sessions_;
  std::map<std::string, std::vector<SessionId>> waiting_sessions_;  // by group
  std::map<std::string, StatementQueue> queues_;                    // by group
  ServiceForecast service_forecast_;
  TokenForecast token_forecast_;
  RetryAdvisor retry_advisor_;
  std::vector<SessionId> token_waiters_;
  std::vector<PendingSessionStart> pending_session_starts_;
  enum class StopPhase { kNone, kClosingSessions, kRefusingOperations };
  StopPhase stop_phase_ = StopPhase::kNone;
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_STATEMENT_PROXY_H_
