#include "proxy_fixture.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace goldcrest::statements {

using std::chrono::milliseconds;

namespace {

// The transaction state of an endpoint's connection after a command.
TransactionState StateAfter(TransactionState state,
                            const EndpointCommand& command,
                            bool commits,
                            Outcome outcome) {
  if (outcome == Outcome::kBusy)
    return state;
  if (outcome != Outcome::kDone)
    return state == TransactionState::kIdle ? state : TransactionState::kFailed;
  switch (command.kind) {
    case EndpointCommand::Kind::kBegin:
    case EndpointCommand::Kind::kBeginReadOnly:
      return TransactionState::kOpen;
    case EndpointCommand::Kind::kRollback:
      return TransactionState::kIdle;
    default:
      return commits ? TransactionState::kIdle : state;
  }
}

}  // namespace

ProxyFixture::ProxyFixture(Duration max_configuration_age,
                           Duration confirmation_lease,
                           std::optional<Duration> evacuation_timeout,
                           std::uint64_t zone_salt,
                           std::int64_t process) {
  options_.process = process;
  options_.zone = "z1";
  options_.relay = "self:1";
  options_.offers_relay = true;
  options_.entry_count = 2;
  options_.max_value_bytes = 50'000;
  options_.max_prepared_bytes = 50'000;
  options_.max_names = 5;
  options_.draining_primary_timeout = std::chrono::seconds(6);
  options_.max_configuration_age = max_configuration_age;
  options_.confirmation_lease = confirmation_lease;
  options_.evacuation_timeout = evacuation_timeout;
  options_.zone_salt = zone_salt;
  StartEntry();

  const auto add = [this](const std::string& database,
                          routing::Consistency consistency) {
    routing::Route route;
    route.name = database;
    route.database = database;
    route.group = "g";
    route.consistency = consistency;
    route.statement_timeout = milliseconds(1000);
    route.target_latency = milliseconds(400);
    route.max_staleness = milliseconds(1500);
    table.routes[database] = route;
  };
  add("strict", routing::Consistency::kPrimary);
  add("stale", routing::Consistency::kBoundedStaleness);
  add("own", routing::Consistency::kReadYourWrites);
  table.groups["g"] = {"g", 20, 0};
  table.customers.push_back({"customer", {"key"}, 1000, 1000});
  table.keys["key"] = 0;
  table.transaction_idle_timeout = milliseconds(3000);
  ApplyTable(1);
  ConfirmVersion(1);
  proxy->holder().SetLimit("customer", std::nullopt);
  SetRole("p", true);
  SetRole("r1", false);
  SetRole("r2", false);
}

void ProxyFixture::StartEntry() {
  ProxyHooks hooks;
  hooks.answer = [this](SessionId id, const Answer& answer) {
    answers[id].push_back(answer);
  };
  hooks.rows = [this](SessionId id, const std::vector<std::string>& rows) {
    passed_rows[id] += rows.size();
  };
  hooks.is_output_full = [this](SessionId id) {
    return full_outputs.contains(id);
  };
  hooks.close_session = [this](SessionId id) { closed_sessions.push_back(id); };
  hooks.has_unread_input = [this](SessionId id) {
    return unread_input.contains(id);
  };
  hooks.open = [this](ConnectionId id, const ConnectionTarget& target) {
    opening_connections.emplace_back(id, target);
    endpoint_of[id] = target.endpoint;
  };
  hooks.send = [this](ConnectionId id,
                      const std::vector<EndpointCommand>& commands) {
    sent[id].insert(sent[id].end(), commands.begin(), commands.end());
  };
  hooks.close = [this](ConnectionId id) { closed.push_back(id); };
  hooks.send_to_relay = [this](const std::string& relay,
                               const messages::RelayRequest& request) {
    relay_requests.emplace_back(relay, request);
  };
  hooks.answer_relayed = [this](const std::string& entry,
                                const messages::RelayAnswer& answer) {
    relay_answers.emplace_back(entry, answer);
  };
  hooks.log_decision = [](const Decision&) {};
  hooks.completed = [](const routing::Route&, Outcome, Duration) {};
  proxy = std::make_unique<StatementProxy>(options_, hooks);
}

void ProxyFixture::ApplyTable(std::int64_t version) {
  table.version = version;
  proxy->OnRoutingTable(now, std::make_shared<routing::RoutingTable>(table));
}

void ProxyFixture::ConfirmVersion(std::int64_t version) {
  proxy->OnNewestVersion(now, version, now);
}

void ProxyFixture::SetRole(const std::string& endpoint,
                           bool primary,
                           bool draining) {
  messages::EndpointRecord record;
  record.endpoint = endpoint;
  record.group = "g";
  record.address = "10.0.0.1:1";
  record.zone = zones.try_emplace(endpoint, "z1").first->second;
  record.primary = primary;
  record.draining = draining;
  record.sequence = ++sequence_;
  proxy->OnEndpoint(now, record);
}

void ProxyFixture::SetZone(const std::string& endpoint,
                           const std::string& zone) {
  zones[endpoint] = zone;
  SetRole(endpoint, endpoint == "p");
}

void ProxyFixture::OpenSession(SessionId id,
                               const std::string& database,
                               const std::string& key) {
  proxy->OnSessionStart(now, id, database, key);
}

void ProxyFixture::SendStatement(SessionId id,
                                 StatementKind kind,
                                 const std::string& text) {
  Statement statement;
  statement.kind = kind;
  statement.id = "id" + std::to_string(++statements_);
  statement.text = text;
  statement.writes = kind == StatementKind::kWrite;
  if (kind == StatementKind::kCommit)
    commits_.insert(statement.id);
  if (kind == StatementKind::kSet || kind == StatementKind::kPrepare ||
      kind == StatementKind::kExecute) {
    const std::size_t blank = text.find(' ');
    statement.name = text.substr(0, blank);
    statement.value = text.substr(blank + 1);
  }
  proxy->OnStatement(now, id, statement);
}

ConnectionId ProxyFixture::AcceptConnection() {
  REQUIRE_FALSE(opening_connections.empty());
  const ConnectionId id = opening_connections.back().first;
  opening_connections.pop_back();
  proxy->OnOpened(now, id);
  return id;
}

void ProxyFixture::Reply(ConnectionId id,
                         LogPosition position,
                         Outcome outcome) {
  PassAnswer(id, NextState(id, outcome), outcome, position);
}

void ProxyFixture::Reply(ConnectionId id,
                         std::nullopt_t position,
                         Outcome outcome) {
  PassAnswer(id, NextState(id, outcome), outcome, position);
}

TransactionState ProxyFixture::NextState(ConnectionId id, Outcome outcome) {
  const EndpointState& endpoint = endpoint_states_[id];
  const EndpointCommand& command =
      SentCommands(id).at(endpoint.answered_commands);
  return StateAfter(endpoint.transaction, command,
                    command.text == "COMMIT" || commits_.contains(command.id),
                    outcome);
}

void ProxyFixture::ReplyInState(ConnectionId id,
                                TransactionState state,
                                Outcome outcome) {
  PassAnswer(id, state, outcome, LogPosition{1, 5});
}

void ProxyFixture::PassAnswer(ConnectionId id,
                              TransactionState state,
                              Outcome outcome,
                              std::optional<LogPosition> position) {
  EndpointState& endpoint = endpoint_states_[id];
  const EndpointCommand& command =
      SentCommands(id).at(endpoint.answered_commands);
  ++endpoint.answered_commands;
  endpoint.transaction = state;
  Answer answer;
  answer.outcome = outcome;
  answer.signature = "signature of " + command.id;
  answer.state = state;
  answer.position = position;
  proxy->OnAnswer(now, id, answer);
}

void ProxyFixture::Advance(Duration duration) {
  now += duration;
  proxy->Tick(now);
}

void ProxyFixture::ConfirmPosition(LogPosition position) {
  constexpr SessionId writer = 1000;
  OpenSession(writer, "strict");
  SendStatement(writer, StatementKind::kWrite, "WRITE a b");
  const ConnectionId id = AcceptConnection();
  Reply(id, position);
  proxy->OnSessionClosed(now, writer);
  Advance(milliseconds(200));  // The idle connection is closed.
}

const Answer& ProxyFixture::LastAnswer(SessionId id) const {
  REQUIRE(answers.count(id) == 1);
  return answers.at(id).back();
}

std::size_t ProxyFixture::AnswerCount(SessionId id) const {
  const auto it = answers.find(id);
  return it == answers.end() ? 0 : it->second.size();
}

bool ProxyFixture::HasOutstanding(ConnectionId id) const {
  const auto commands = sent.find(id);
  const auto endpoint = endpoint_states_.find(id);
  return commands != sent.end() &&
         commands->second.size() > (endpoint == endpoint_states_.end()
                                        ? 0
                                        : endpoint->second.answered_commands);
}

const std::vector<EndpointCommand>& ProxyFixture::SentCommands(
    ConnectionId id) const {
  REQUIRE(sent.count(id) == 1);
  return sent.at(id);
}

}  // namespace goldcrest::statements
