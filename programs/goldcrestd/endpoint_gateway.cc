#include "programs/goldcrestd/endpoint_gateway.h"

#include <algorithm>

#include "goldcrest/adapters/json.h"
#include "goldcrest/adapters/system_clock.h"

namespace goldcrest {
namespace {

using adapters::HttpDelivery;
using adapters::JsonObject;
using adapters::JsonWriter;
using coordinator::AnswerStatus;
using coordinator::CallResult;
using coordinator::Delivery;
using coordinator::EndpointAnswer;
using coordinator::EndpointCall;
using coordinator::EndpointOperation;
using coordinator::NotRunReason;
using coordinator::StatementKind;

constexpr std::size_t kMaxFieldBytes = std::size_t{1} << 20U;
constexpr int kMaxProbeConnections = 4;
constexpr int kHttpOk = 200;

std::string_view NameOf(StatementKind kind) {
  switch (kind) {
    case StatementKind::kRead:
      return "read";
    case StatementKind::kWrite:
      return "write";
    case StatementKind::kBegin:
      return "begin";
    case StatementKind::kCommit:
      return "commit";
    case StatementKind::kRollback:
      return "rollback";
  }
  return "read";
}

std::int64_t MillisecondsUntil(Time deadline) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - adapters::SystemClock::Now());
  return std::max<std::int64_t>(left.count(), 1);
}

adapters::HttpCall ToHttpCall(const EndpointCall& call) {
  adapters::HttpCall http;
  http.deadline = call.deadline;
  JsonWriter body;
  body.BeginObject();
  switch (call.operation) {
    case EndpointOperation::kStatement:
      http.path = "/v1/statement";
      body.Member("call_id", static_cast<std::int64_t>(call.id))
          .Member("term", call.term)
          .Member("kind", NameOf(call.kind))
          .Member("statement", call.statement)
          .Member("request_id", call.request_id)
          .Member("transaction", call.transaction)
          .Member("timeout_ms", MillisecondsUntil(call.deadline));
      break;
    case EndpointOperation::kStatus:
      http.method = "GET";
      http.path = "/v1/status";
      return http;
    case EndpointOperation::kPromote:
      http.path = "/v1/promote";
      body.Member("term", call.term);
      break;
    case EndpointOperation::kFollow:
      http.path = "/v1/follow";
      body.Member("term", call.term)
          .Member("primary", call.primary)
          .Member("host", call.primary_host)
          .Member("port", call.primary_port);
      break;
    case EndpointOperation::kOutcome:
      http.path = "/v1/outcome";
      body.Member("term", call.term)
          .Member("request_id", call.request_id)
          .Member("fence", true);
      break;
  }
  body.EndObject();
  http.body = body.Take();
  return http;
}

NotRunReason ParseNotRunReason(const std::string& name) {
  if (name == "stale_term")
    return NotRunReason::kStaleTerm;
  if (name == "not_primary")
    return NotRunReason::kNotPrimary;
  if (name == "no_slot")
    return NotRunReason::kNoSlot;
  return NotRunReason::kOther;
}

// Nullopt if `body` is not a valid answer to `call`.
std::optional<EndpointAnswer> ParseAnswer(const EndpointCall& call,
                                          const std::string& body) {
  JsonObject json = JsonObject::Parse(body);
  EndpointAnswer answer;
  constexpr std::int64_t max = INT64_MAX;
  answer.term = json.OptionalInteger("term", 0, max).value_or(0);
  answer.position = json.OptionalInteger("position", 0, max).value_or(0);
  answer.log_term = json.OptionalInteger("log_term", 0, max).value_or(0);
  // Promotion candidates are ranked by the position of the last entry in their
  // log, whether or not that entry has been compared with the primary's log.
  if (const auto log_position = json.OptionalInteger("log_position", 0, max))
    answer.position = *log_position;
  answer.endpoint =
      json.OptionalString("endpoint", kMaxFieldBytes).value_or("");
  answer.value = json.OptionalString("value", kMaxFieldBytes).value_or("");
  answer.transaction =
      json.OptionalString("transaction", kMaxFieldBytes).value_or("");
  answer.known = json.OptionalBool("known").value_or(false);
  answer.call_id = call.id;
  if (call.operation == EndpointOperation::kStatement) {
    answer.call_id =
        static_cast<std::uint64_t>(json.RequiredInteger("call_id", 0, max));
    const std::string status = json.RequiredString("status", kMaxFieldBytes);
    if (status == "not_run")
      answer.status = AnswerStatus::kNotRun;
    else if (status == "failed")
      answer.status = AnswerStatus::kFailed;
    else if (status != "done")
      json.AddError("status", "is unknown");
    const std::string reason =
        json.OptionalString("reason", kMaxFieldBytes).value_or("");
    answer.reason = ParseNotRunReason(reason);
    if (answer.status == AnswerStatus::kFailed)
      answer.value = reason;
  }
  if (!json.Finish(adapters::UnknownFields::kIgnore).empty())
    return std::nullopt;
  return answer;
}

CallResult ToCallResult(const EndpointCall& call,
                        const adapters::HttpResult& http) {
  CallResult result;
  if (http.delivery == HttpDelivery::kNotSent) {
    result.delivery = Delivery::kNotSent;
    return result;
  }
  if (http.delivery != HttpDelivery::kAnswered || http.status != kHttpOk)
    return result;
  const auto answer = ParseAnswer(call, http.body);
  if (!answer || answer->call_id != call.id)
    return result;
  result.delivery = Delivery::kAnswered;
  result.answer = *answer;
  return result;
}

}  // namespace

void EndpointGateway::SetEndpoints(
    const std::vector<messages::EndpointInfo>& endpoints) {
  const std::lock_guard lock(mutex_);
  for (const messages::EndpointInfo& info : endpoints) {
    EndpointClients& client = clients_[info.endpoint];
    if (client.host == info.host && client.port == info.port) {
      client.statements->SetMaxConnections(
          static_cast<std::size_t>(info.connections));
      continue;
    }
    client.host = info.host;
    client.port = info.port;
    client.statements = MakeClient(info.host, info.port, info.connections);
    client.probes = MakeClient(info.host, info.port, kMaxProbeConnections);
  }
}

std::shared_ptr<adapters::HttpClient> EndpointGateway::MakeClient(
    const std::string& host,
    int port,
    int connections) {
  adapters::HttpClientOptions options;
  options.host = host;
  options.port = static_cast<std::uint16_t>(port);
  options.max_connections = static_cast<std::size_t>(connections);
  return std::make_shared<adapters::HttpClient>(context_, options);
}

void EndpointGateway::Call(const EndpointCall& call, const Callback& callback) {
  std::shared_ptr<adapters::HttpClient> client;
  const bool statement = call.operation == EndpointOperation::kStatement;
  {
    const std::lock_guard lock(mutex_);
    if (const auto it = clients_.find(call.endpoint); it != clients_.end())
      client = statement ? it->second.statements : it->second.probes;
  }
  if (client == nullptr) {
    CallResult result;
    result.delivery = Delivery::kNotSent;
    callback(result);
    return;
  }
  auto done = [call, callback](const adapters::HttpResult& http) {
    callback(ToCallResult(call, http));
  };
  if (call.pin == 0)
    client->Call(ToHttpCall(call), std::move(done));
  else
    CallPinned(call, client, ToHttpCall(call), std::move(done));
}

void EndpointGateway::CallPinned(
    const EndpointCall& call,
    const std::shared_ptr<adapters::HttpClient>& client,
    adapters::HttpCall http,
    adapters::HttpCallback done) {
  const PinKey key(call.endpoint, call.pin);
  std::shared_ptr<adapters::PinnedConnection> connection;
  {
    const std::lock_guard lock(mutex_);
    const auto [it, added] = pins_.try_emplace(key);
    connection = it->second.connection;
    if (!added && connection == nullptr) {
      done({});  // not sent: the connection is still being opened
      return;
    }
  }
  if (connection != nullptr) {
    connection->Call(std::move(http), std::move(done));
    return;
  }
  client->OpenPinned(
      call.deadline,
      [this, key, http = std::move(http), done = std::move(done)](
          std::shared_ptr<adapters::PinnedConnection> opened,
          const std::string&) {
        {
          const std::lock_guard lock(mutex_);
          const auto it = pins_.find(key);
          if (it == pins_.end() || opened == nullptr) {
            if (it != pins_.end())
              pins_.erase(it);
            opened = nullptr;  // the pin was closed while the connection opened
          } else {
            it->second.connection = opened;
          }
        }
        if (opened == nullptr)
          done({});
        else
          opened->Call(http, done);
      });
}

void EndpointGateway::ClosePin(const std::string& endpoint, std::uint64_t pin) {
  std::shared_ptr<adapters::PinnedConnection> connection;
  {
    const std::lock_guard lock(mutex_);
    const auto node = pins_.extract({endpoint, pin});
    if (!node.empty())
      connection = node.mapped().connection;
  }
  if (connection != nullptr)
    connection->Close();
}

void EndpointGateway::ReleasePin(const std::string& endpoint,
                                 std::uint64_t pin) {
  std::shared_ptr<adapters::PinnedConnection> connection;
  {
    const std::lock_guard lock(mutex_);
    const auto node = pins_.extract({endpoint, pin});
    if (!node.empty())
      connection = node.mapped().connection;
  }
  if (connection != nullptr)
    connection->Release();
}

void EndpointGateway::VerifyIdentity(const messages::EndpointInfo& info,
                                     Time deadline,
                                     std::function<void(bool)> callback) {
  const auto client = MakeClient(info.host, info.port, 1);
  adapters::HttpCall call;
  call.method = "GET";
  call.path = "/v1/status";
  call.deadline = deadline;
  client->Call(call, [client, info, callback = std::move(callback)](
                         const adapters::HttpResult& http) {
    if (http.delivery != HttpDelivery::kAnswered || http.status != kHttpOk) {
      callback(false);
      return;
    }
    JsonObject json = JsonObject::Parse(http.body);
    const bool matches =
        json.RequiredString("endpoint", kMaxFieldBytes) == info.endpoint &&
        json.RequiredString("group", kMaxFieldBytes) == info.group &&
        json.RequiredInteger("incarnation", 0, INT64_MAX) == info.incarnation;
    callback(matches && json.Finish(adapters::UnknownFields::kIgnore).empty());
  });
}

}  // namespace goldcrest
