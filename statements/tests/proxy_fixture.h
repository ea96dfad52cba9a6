#ifndef GOLDCREST_STATEMENTS_TESTS_PROXY_FIXTURE_H_
#define GOLDCREST_STATEMENTS_TESTS_PROXY_FIXTURE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {

//! A proxy with one group `g` of primary `p` and replicas `r1` and `r2`. The
//! test provides the answers of the endpoints.
class ProxyFixture {
 public:
  explicit ProxyFixture(Duration max_configuration_age = Duration::max(),
                        Duration confirmation_lease = Duration::max(),
                        std::optional<Duration> evacuation_timeout = {},
                        std::uint64_t zone_salt = 0,
                        std::int64_t process = 1);

  //! Replaces the proxy by a new one, which knows nothing yet.
  void StartEntry();
  void OpenSession(SessionId id,
                   const std::string& database,
                   const std::string& key = "key");
  void SendStatement(SessionId id, StatementKind kind, const std::string& text);
  //! Accepts the newest connection that is being opened.
  ConnectionId AcceptConnection();
  //! Answers the oldest outstanding command of a connection, at `position` and
  //! in the transaction state that follows from the commands answered so far.
  void Reply(ConnectionId id,
             LogPosition position,
             Outcome outcome = Outcome::kDone);
  //! The same without a position.
  void Reply(ConnectionId id,
             std::nullopt_t position,
             Outcome outcome = Outcome::kDone);
  //! The same for an endpoint that reports `state`.
  void ReplyInState(ConnectionId id,
                    TransactionState state,
                    Outcome outcome = Outcome::kDone);
  void Advance(Duration duration);
  //! Runs a write that the primary confirms at `position`.
  void ConfirmPosition(LogPosition position);
  void SetRole(const std::string& endpoint,
               bool primary,
               bool draining = false);
  //! Places an endpoint in another availability zone than z1.
  void SetZone(const std::string& endpoint, const std::string& zone);
  void ApplyTable(std::int64_t version);
  //! The leader says now that `version` is the newest one.
  void ConfirmVersion(std::int64_t version);

  //! The last answer to a session; fails the test when there is none.
  const Answer& LastAnswer(SessionId id) const;
  std::size_t AnswerCount(SessionId id) const;
  const std::vector<EndpointCommand>& SentCommands(ConnectionId id) const;
  //! True if the endpoint has commands of the connection to answer.
  bool HasOutstanding(ConnectionId id) const;

  Time now = TimeFromMicros(100'000'000);
  routing::RoutingTable table;
  std::vector<std::pair<ConnectionId, ConnectionTarget>> opening_connections;
  std::map<ConnectionId, std::string> endpoint_of;
  std::map<ConnectionId, std::vector<EndpointCommand>> sent;
  std::vector<ConnectionId> closed;
  std::vector<SessionId> closed_sessions;
  std::set<SessionId> unread_input;
  std::map<std::string, std::string> zones;  // by endpoint; "z1" if absent
  std::set<SessionId> full_outputs;
  std::map<SessionId, std::size_t> passed_rows;
  std::map<SessionId, std::vector<Answer>> answers;
  std::vector<std::pair<std::string, messages::RelayRequest>> relay_requests;
  std::vector<std::pair<std::string, messages::RelayAnswer>> relay_answers;
  std::unique_ptr<StatementProxy> proxy;

 private:
  // What the endpoint knows of a connection.
  struct EndpointState {
    std::size_t answered_commands = 0;
    TransactionState transaction = TransactionState::kIdle;
  };
  TransactionState NextState(ConnectionId id, Outcome outcome);
  void PassAnswer(ConnectionId id,
                  TransactionState state,
                  Outcome outcome,
                  std::optional<LogPosition> position);

  std::map<ConnectionId, EndpointState> endpoint_states_;
  std::set<std::string> commits_;  // ids of the statements
  ProxyOptions options_;
  std::int64_t sequence_ = 0;
  int statements_ = 0;
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_TESTS_PROXY_FIXTURE_H_
