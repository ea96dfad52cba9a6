#include "standin_server.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include "goldcrest/types/digest.h"
#include "standin_json.h"

namespace goldcrest::testing {
namespace {

namespace json = boost::json;
using settings::HttpCall;
using settings::HttpClient;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kPullInterval{10};
constexpr milliseconds kPullTimeout{500};
constexpr milliseconds kAnnounceInterval{200};
// Long enough for an entry to connect back to the endpoint before it responds.
constexpr milliseconds kAnnounceTimeout{500};
constexpr milliseconds kMaxLeaveTime{10'000};
constexpr milliseconds kIdleTimeout{30'000};
// Connections beyond the limit, reserved for probes, callbacks and replication.
// A connection that carries statements counts against the limit itself.
constexpr int kReservedConnections = 16;

std::int64_t GetWallClockMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

HttpReply ErrorReply(int status, std::string_view reason) {
  return {status, json::serialize(json::value{{"error", reason}})};
}

std::string GetPath(const std::string& target) {
  return target.substr(0, target.find('?'));
}

std::string GetParameter(const std::string& target, std::string_view name) {
  const auto url = boost::urls::parse_origin_form(target);
  if (!url)
    return "";
  const auto it = url->params().find(name);
  return it == url->params().end() ? "" : std::string((*it).value);
}

std::int64_t GetIntParameter(const std::string& target, std::string_view name) {
  try {
    return std::stoll(GetParameter(target, name));
  } catch (const std::exception&) {
    return 0;
  }
}

std::string HmacSha256Hex(const std::string& secret, const std::string& body) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(body.data()), body.size(),
       digest.data(), &size);
  return ToHex({reinterpret_cast<const char*>(digest.data()), size});
}

}  // namespace

StandinServer::StandinServer(StandinOptions options)
    : options_(std::move(options)),
      incarnation_(GetWallClockMicros()),
      database_({options_.slots, options_.statement_duration}),
      faults_(options_.lag) {
  listener_ = std::make_unique<HttpListener>(
      HttpListener::Options{options_.host, options_.port,
                            options_.connections + kReservedConnections,
                            options_.open_delay, kIdleTimeout},
      HttpListener::Hooks{
          [this](std::uint64_t connection) {
            faults_.RecordConnection(connection);
          },
          [this](const HttpRequest& request) { return HandleRequest(request); },
          [this](std::uint64_t connection) { CloseConnection(connection); }});
  options_.port = listener_->port();
  replicator_ = std::thread([this] { RunReplication(); });
  announcer_ = std::thread([this] { RunAnnouncements(); });
}

StandinServer::~StandinServer() {
  faults_.Stop();
  replicator_.join();
  announcer_.join();
  listener_.reset();
}

void StandinServer::Leave() {
  leaving_ = true;
  const auto start = steady_clock::now();
  while (true) {
    const auto elapsed = steady_clock::now() - start;
    const Database::Status status = database_.status();
    const bool idle =
        status.running_statements == 0 && status.open_transactions == 0;
    if ((elapsed >= options_.min_leave_time && idle) ||
        elapsed >= kMaxLeaveTime)
      return;
    std::this_thread::sleep_for(kPullInterval);
  }
}

HttpReply StandinServer::HandleRequest(const HttpRequest& request) {
  faults_.WaitWhileFrozen();
  faults_.WaitWhileSilenced(request.connection);
  if (faults_.stopped())
    return {.drop = true};
  RecordRequest(request);
  const std::string path = GetPath(request.target);
  const std::string route = request.method + " " + path;
  HttpReply reply = ErrorReply(404, "unknown_path");
  if (route == "POST /v1/statement")
    reply = HandleStatement(request);
  else if (route == "GET /v1/status")
    reply = {200, StatusJson()};
  else if (route == "POST /v1/promote")
    reply = HandlePromote(request);
  else if (route == "POST /v1/follow")
    reply = HandleFollow(request);
  else if (path == "/v1/outcome")
    reply = HandleOutcome(request);
  else if (route == "GET /v1/log")
    reply = HandleLog(request);
  else if (route == "POST /v1/test/fault")
    return HandleFault(request);  // not delayed by the freeze that it may set
  else if (route == "GET /v1/test/seen_headers")
    reply = {200, seen_requests_.ToJson()};
  faults_.WaitWhileFrozen();
  faults_.WaitWhileSilenced(request.connection);
  return reply;
}

HttpReply StandinServer::HandleStatement(const HttpRequest& request) {
  const auto object = ParseObject(request.body);
  if (!object)
    return ErrorReply(400, "not_json");
  const auto statement = ToStatementRequest(*object);
  if (!statement)
    return ErrorReply(400, "unknown_kind");
  if (!AdmitConnection(request.connection)) {
    StatementResponse refusal;
    refusal.call_id = statement->call_id;
    refusal.reason = "too_many_connections";
    return {.body = ToJson(refusal), .close = true};
  }
  const std::string response =
      ToJson(database_.Execute(*statement, request.connection));
  faults_.WaitResponseDelay();
  if (faults_.ConsumeResponseDrop())
    return {.drop = true};
  return {200, faults_.SubstituteResponse(response)};
}

HttpReply StandinServer::HandlePromote(const HttpRequest& request) {
  const auto object = ParseObject(request.body);
  if (!object)
    return ErrorReply(400, "not_json");
  const bool promoted = database_.Promote(NumberAt(*object, "term"));
  return {promoted ? 200 : 409, StatusJson()};
}

HttpReply StandinServer::HandleFollow(const HttpRequest& request) {
  const auto object = ParseObject(request.body);
  if (!object)
    return ErrorReply(400, "not_json");
  const std::string primary = TextAt(*object, "primary");
  HostPort address{TextAt(*object, "host"),
                   static_cast<std::uint16_t>(NumberAt(*object, "port"))};
  const auto member = options_.members.find(primary);
  if (address.port == 0 && member != options_.members.end())
    address = member->second;
  if (address.port == 0 || primary == options_.endpoint)
    return ErrorReply(400, "no_address_of_primary");
  const bool accepted =
      database_.Follow({NumberAt(*object, "term"), address.host, address.port});
  return {accepted ? 200 : 409, StatusJson()};
}

HttpReply StandinServer::HandleOutcome(const HttpRequest& request) {
  std::optional<Store::StoredResult> stored;
  if (request.method == "POST") {
    const auto object = ParseObject(request.body);
    if (!object)
      return ErrorReply(400, "not_json");
    const Database::FenceResult result = database_.FindOrFenceRequest(
        NumberAt(*object, "term"), TextAt(*object, "request_id"));
    if (result.refused)
      return ErrorReply(409, "not_primary_of_term");
    stored = result.stored;
  } else {
    stored =
        database_.FindRequestResult(GetParameter(request.target, "request_id"));
  }
  return {200, json::serialize(
                   json::value{{"known", stored.has_value()},
                               {"value", stored ? stored->value : ""},
                               {"position", stored ? stored->position : 0}})};
}

HttpReply StandinServer::HandleLog(const HttpRequest& request) const {
  if (faults_.replication_cut())
    return ErrorReply(503, "replication_cut");
  const std::int64_t term = GetIntParameter(request.target, "term");
  const auto response = database_.ReadLog(
      term, GetIntParameter(request.target, "from"),
      milliseconds(GetIntParameter(request.target, "lag_ms")));
  if (!response)
    return ErrorReply(409, "not_primary_of_term");
  return {200, ToJson(*response, term)};
}

HttpReply StandinServer::HandleFault(const HttpRequest& request) {
  const auto object = ParseObject(request.body);
  if (!object ||
      !faults_.Set(TextAt(*object, "kind"), NumberAt(*object, "value")))
    return ErrorReply(400, "unknown_fault");
  return {200, "{}"};
}

void StandinServer::RecordRequest(const HttpRequest& request) {
  seen_requests_.AddTarget(request.method + " " + request.target);
  for (const auto& [name, value] : request.headers)
    seen_requests_.AddHeader(fmt::format("{}: {}", name, value));
  if (!request.body.empty())
    seen_requests_.AddBody(request.body);
}

bool StandinServer::AdmitConnection(std::uint64_t connection) {
  const std::unique_lock lock(connections_mutex_);
  if (statement_connections_.contains(connection))
    return true;
  if (statement_connections_.size() >=
      static_cast<std::size_t>(options_.connections))
    return false;
  statement_connections_.insert(connection);
  peak_statement_connections_ =
      std::max(peak_statement_connections_, statement_connections_.size());
  return true;
}

void StandinServer::CloseConnection(std::uint64_t connection) {
  database_.CloseConnection(connection);
  const std::unique_lock lock(connections_mutex_);
  statement_connections_.erase(connection);
}

std::string StandinServer::StatusJson() const {
  const Database::Status status = database_.status();
  const std::unique_lock lock(connections_mutex_);
  return json::serialize(
      json::value{{"endpoint", options_.endpoint},
                  {"group", options_.group},
                  {"incarnation", incarnation_},
                  {"role", status.primary ? "primary" : "replica"},
                  {"term", status.term},
                  {"position", status.position},
                  {"log_term", status.log_term},
                  {"log_position", status.log_position},
                  {"age_ms", status.age.count()},
                  {"leaving", leaving_.load()},
                  {"running", status.running_statements},
                  {"transactions", status.open_transactions},
                  {"connections", statement_connections_.size()},
                  {"peak_connections", peak_statement_connections_}});
}

void StandinServer::RunReplication() {
  while (!faults_.stopped()) {
    faults_.WaitWhileFrozen();
    const auto source = database_.source();
    if (faults_.replication_cut()) {
      // The fault suppresses pulls.
    } else if (source) {
      PullLog(*source);
    } else if (database_.status().term == 0 &&
               !options_.skip_primary_discovery) {
      DiscoverPrimary();
    }
    std::this_thread::sleep_for(kPullInterval);
  }
}

void StandinServer::PullLog(const Database::Source& source) {
  const auto sent_at = steady_clock::now();
  const milliseconds lag = faults_.lag();
  HttpCall call;
  call.target = fmt::format("/v1/log?from={}&term={}&lag_ms={}",
                            database_.NextPosition(), source.term, lag.count());
  const auto response =
      ClientFor({source.host, source.port}).Call(call, kPullTimeout);
  if (!response || response->status != 200 || faults_.replication_cut())
    return;
  auto pulled = ToPullResponse(response->body, source.term);
  if (!pulled)
    return;
  database_.ApplyPullResponse(source, std::move(*pulled), sent_at, lag);
}

void StandinServer::DiscoverPrimary() {
  for (const auto& [name, address] : options_.members) {
    HttpCall call;
    call.target = "/v1/status";
    const auto response = ClientFor(address).Call(call, kPullTimeout);
    if (!response || response->status != 200)
      continue;
    const auto status = ParseObject(response->body);
    if (!status || TextAt(*status, "role") != "primary")
      continue;
    database_.Follow({NumberAt(*status, "term"), address.host, address.port});
  }
}

HttpClient& StandinServer::ClientFor(const HostPort& address) {
  auto& client = clients_[fmt::format("{}:{}", address.host, address.port)];
  if (!client)
    client = std::make_unique<HttpClient>(address.host, address.port);
  return *client;
}

void StandinServer::RunAnnouncements() {
  const auto& addresses = options_.announce_addresses;
  std::size_t next = 0;
  while (!faults_.stopped() && !addresses.empty()) {
    faults_.WaitWhileFrozen();
    ++announcement_sequence_;
    HttpCall call{"POST", "/v1/announce", BuildAnnouncementBody(), {}};
    call.headers["Goldcrest-Signature"] =
        HmacSha256Hex(options_.announce_secret, call.body);
    // Uses the same entry as long as it accepts the announcements, else tries
    // the next one.
    for (std::size_t attempt = 0; attempt < addresses.size(); ++attempt) {
      HttpClient client(addresses[next].host, addresses[next].port);
      const auto response = client.Call(call, kAnnounceTimeout);
      if (response && response->status == 200)
        break;
      next = (next + 1) % addresses.size();
    }
    std::this_thread::sleep_for(kAnnounceInterval);
  }
}

std::string StandinServer::BuildAnnouncementBody() const {
  const Database::Status status = database_.status();
  return json::serialize(
      json::value{{"info",
                   {{"endpoint", options_.endpoint},
                    {"group", options_.group},
                    {"zone", options_.zone},
                    {"host", options_.host},
                    {"port", options_.port},
                    {"slots", options_.slots},
                    {"connections", options_.connections},
                    {"incarnation", incarnation_},
                    {"leaving", leaving_.load()}}},
                  {"sequence", announcement_sequence_.load()},
                  {"term", status.term},
                  {"position", status.position}});
}

}  // namespace goldcrest::testing
