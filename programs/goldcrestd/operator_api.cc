#include "programs/goldcrestd/operator_api.h"

#include <openssl/crypto.h>

#include <chrono>

#include "goldcrest/adapters/json.h"
#include "goldcrest/adapters/system_clock.h"
#include "goldcrest/settings/object_json.h"
#include "goldcrest/types/digest.h"
#include "programs/goldcrestd/caller_api.h"

namespace goldcrest {
namespace {

using adapters::JsonObject;
using adapters::JsonWriter;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxControlMembers = 17;
constexpr std::size_t kMaxChangeBytes = std::size_t{4} << 20U;
constexpr std::string_view kKeysPathPrefix = "/v1/keys/";
constexpr Duration kQueryTimeout = std::chrono::seconds(3);

std::string ResultJson(ResultCode code, std::string_view message) {
  const ResultCodeInfo& info = InfoOf(code);
  JsonWriter json;
  json.BeginObject()
      .Member("code", ToNumber(code))
      .Member("name", info.name)
      .Member("outcome", ToString(info.outcome))
      .Member("message", message.empty() ? info.meaning : message)
      .EndObject();
  return json.Take();
}

adapters::HttpResponse InvalidFieldResponse(
    const std::vector<adapters::JsonError>& errors) {
  return adapters::ResultResponse(ResultCode::kInvalidField,
                                  adapters::ToString(errors));
}

}  // namespace

OperatorApi::OperatorApi(std::string token_digest, OperatorApiHooks hooks)
    : token_digest_(std::move(token_digest)), hooks_(std::move(hooks)) {}

void OperatorApi::Handle(const adapters::HttpRequest& request,
                         Respond respond) {
  const std::string digest = Sha256(BearerToken(request));
  if (token_digest_.size() != digest.size() ||
      CRYPTO_memcmp(digest.data(), token_digest_.data(), digest.size()) != 0) {
    respond(adapters::ResultResponse(ResultCode::kOperatorUnauthorized));
    return;
  }
  const std::string route = request.method + " " + request.path;
  const std::string subject =
      adapters::QueryParameter(request.query, "subject");
  if (route == "POST /v1/changes")
    HandleChange(request, std::move(respond));
  else if (route == "POST /v1/keys")
    HandleKeyIssue(request, std::move(respond));
  else if (request.method == "DELETE" &&
           request.path.starts_with(kKeysPathPrefix))
    HandleKeyWithdrawal(request, std::move(respond));
  else if (route == "GET /v1/objects")
    HandleObjects(request, respond);
  else if (route == "POST /v1/members")
    HandleMembers(request, std::move(respond));
  else if (route == "POST /v1/drain")
    HandleDrain(request, respond);
  else if (route == "GET /v1/status" || route == "GET /v1/journal" ||
           route == "GET /v1/explain")
    HandleQuery(request.path, subject, std::move(respond));
  else
    respond(adapters::ResultResponse(ResultCode::kUnknownPath));
}

void OperatorApi::HandleChange(const adapters::HttpRequest& request,
                               Respond respond) {
  JsonObject json =
      JsonObject::Parse(request.body, {.max_bytes = kMaxChangeBytes});
  messages::Change change;
  change.change_id = json.RequiredString("change_id", kMaxNameBytes);
  change.base_revision = json.RequiredInteger("base_revision", 0, INT64_MAX);
  change.author = json.RequiredString("author", kMaxNameBytes);
  const std::string objects = json.OptionalRaw("objects").value_or("[]");
  auto errors = json.Finish();
  std::vector<std::string> object_errors;
  change.objects = settings::ParseObjects(objects, &object_errors);
  for (const std::string& error : object_errors)
    errors.push_back({"objects", error});
  if (!errors.empty()) {
    respond(InvalidFieldResponse(errors));
    return;
  }
  if (adapters::QueryParameter(request.query, "dry_run") == "1")
    DryRun(change, respond);
  else
    Propose(change, std::move(respond));
}

void OperatorApi::HandleKeyIssue(const adapters::HttpRequest& request,
                                 Respond respond) {
  JsonObject json = JsonObject::Parse(request.body);
  messages::Object key;
  key.kind = messages::ObjectKind::KEY;
  key.name = json.RequiredString("name", kMaxNameBytes);
  key.__set_customer(json.RequiredString("customer", kMaxNameBytes));
  key.__set_digest(FromHex(json.RequiredString("digest", kMaxNameBytes)));
  key.labels = json.OptionalLabels("labels").value_or(Labels());
  messages::Change change;
  change.change_id = json.RequiredString("change_id", kMaxNameBytes);
  change.author =
      json.OptionalString("author", kMaxNameBytes).value_or("operator");
  const auto errors = json.Finish();
  if (!errors.empty()) {
    respond(InvalidFieldResponse(errors));
    return;
  }
  change.objects.push_back(key);
  change.base_revision = -1;
  Propose(change, std::move(respond));
}

void OperatorApi::HandleKeyWithdrawal(const adapters::HttpRequest& request,
                                      Respond respond) {
  messages::Object key;
  key.kind = messages::ObjectKind::KEY;
  key.name = request.path.substr(kKeysPathPrefix.size());
  key.deleted = true;
  messages::Change change;
  change.change_id = adapters::QueryParameter(request.query, "change_id");
  change.author = "operator";
  change.objects.push_back(key);
  change.base_revision = -1;
  Propose(change, std::move(respond));
}

void OperatorApi::HandleObjects(const adapters::HttpRequest& request,
                                const Respond& respond) {
  const std::string kind = adapters::QueryParameter(request.query, "kind");
  const std::string name = adapters::QueryParameter(request.query, "name");
  JsonWriter json;
  json.BeginObject().MemberRaw("result", ResultJson(ResultCode::kOk, ""));
  hooks_.read_configuration(
      [&](const policy::Configuration& configuration, const auto&) {
        json.Member("revision", configuration.Revision()).BeginArray("objects");
        for (const messages::Object& object : configuration.ChangedSince(0)) {
          if (object.deleted || (!name.empty() && object.name != name) ||
              (!kind.empty() && settings::ToText(object.kind) != kind))
            continue;
          json.ElementRaw(settings::ToJson(object));
        }
        json.EndArray();
      });
  json.EndObject();
  respond({.body = json.Take()});
}

void OperatorApi::HandleDrain(const adapters::HttpRequest& request,
                              const Respond& respond) {
  JsonObject json = JsonObject::Parse(request.body);
  const std::string instance = json.RequiredString("instance", kMaxNameBytes);
  const auto errors = json.Finish();
  if (!errors.empty()) {
    respond(InvalidFieldResponse(errors));
    return;
  }
  if (hooks_.drain(instance))
    respond(adapters::ResultResponse(ResultCode::kOk, "drain started"));
  else
    respond(adapters::ResultResponse(ResultCode::kUnknownReference,
                                     "there is no instance " + instance));
}

void OperatorApi::HandleMembers(const adapters::HttpRequest& request,
                                Respond respond) {
  JsonObject json = JsonObject::Parse(request.body);
  messages::ProposeRequest proposal;
  proposal.__set_members(
      json.OptionalStrings("members", kMaxControlMembers, kMaxNameBytes));
  if (proposal.members.empty())
    json.AddError("members", "must name at least one instance");
  const auto errors = json.Finish();
  if (!errors.empty()) {
    respond(InvalidFieldResponse(errors));
    return;
  }
  Propose(proposal, std::move(respond));
}

void OperatorApi::HandleQuery(const std::string& path,
                              const std::string& subject,
                              Respond respond) {
  messages::QueryRequest query;
  query.path = path + "?" + subject;
  {
    const std::lock_guard lock(mutex_);
    query.id = static_cast<std::int64_t>(next_id_++);
    pending_queries_[query.id] = {std::move(respond), subject,
                                  path == "/v1/explain",
                                  adapters::SystemClock::Now() + kQueryTimeout};
  }
  hooks_.query(query);
}

void OperatorApi::DryRun(const messages::Change& change,
                         const Respond& respond) {
  policy::DryRunReport report;
  hooks_.read_configuration(
      [&](const policy::Configuration& configuration,
          const std::vector<messages::EndpointInfo>& endpoints) {
        report = configuration.DryRun(change, endpoints);
      });
  const ResultCode code = ResultCodeFromNumber(report.result.code);
  JsonWriter json;
  json.BeginObject()
      .MemberRaw("result", ResultJson(code, report.result.message))
      .Member("revision", report.result.revision);
  const auto add_array = [&](std::string_view name,
                             const std::vector<std::string>& values) {
    json.BeginArray(name);
    for (const std::string& value : values)
      json.Element(value);
    json.EndArray();
  };
  add_array("customers", report.customers);
  add_array("keys", report.keys);
  add_array("endpoints", report.endpoints);
  json.Member("callers_without_key", report.callers_without_key).EndObject();
  respond({.status = InfoOf(code).http_status, .body = json.Take()});
}

void OperatorApi::Propose(const messages::Change& change, Respond respond) {
  messages::ProposeRequest request;
  request.command.__set_change(change);
  request.wait_in_force = true;
  Propose(request, std::move(respond));
}

void OperatorApi::Propose(const messages::ProposeRequest& request,
                          Respond respond) {
  std::uint64_t id = 0;
  {
    const std::lock_guard lock(mutex_);
    id = next_id_++;
    pending_changes_[id] = std::move(respond);
  }
  hooks_.propose(id, request);
}

void OperatorApi::OnProposalAnswer(std::uint64_t id,
                                   const messages::ProposeResponse& response) {
  Respond respond;
  {
    const std::lock_guard lock(mutex_);
    const auto node = pending_changes_.extract(id);
    if (node.empty())
      return;
    respond = node.mapped();
  }
  const ResultCode code = ResultCodeFromNumber(response.code);
  JsonWriter json;
  json.BeginObject()
      .MemberRaw("result", ResultJson(code, response.message))
      .Member("revision", response.revision)
      .BeginArray("missing");
  for (const std::string& instance : response.missing)
    json.Element(instance);
  json.EndArray().EndObject();
  respond({.status = InfoOf(code).http_status, .body = json.Take()});
}

void OperatorApi::OnQueryAnswer(const messages::QueryResponse& response) {
  PendingQuery query;
  {
    const std::lock_guard lock(mutex_);
    const auto node = pending_queries_.extract(response.id);
    if (node.empty())
      return;
    query = node.mapped();
  }
  const ResultCode code = ResultCodeFromNumber(response.code);
  if (code != ResultCode::kOk) {
    query.respond(adapters::ResultResponse(code, response.body));
    return;
  }
  JsonWriter json;
  json.BeginObject()
      .MemberRaw("result", ResultJson(code, ""))
      .MemberRaw("control", response.body);
  if (query.explain) {
    json.BeginArray("refusals_here");
    for (const RefusalCounters::Row& row :
         hooks_.refusals->Rows(query.subject)) {
      JsonWriter item;
      item.BeginObject()
          .Member("code", ToNumber(row.code))
          .Member("name", InfoOf(row.code).name)
          .Member("meaning", InfoOf(row.code).meaning)
          .Member("customer", row.customer)
          .Member("group", row.group)
          .Member("count", row.count)
          .Member("first_wall_ms", row.first_wall_ms)
          .Member("last_wall_ms", row.last_wall_ms)
          .EndObject();
      json.ElementRaw(item.Take());
    }
    json.EndArray();
  }
  json.EndObject();
  query.respond({.body = json.Take()});
}

void OperatorApi::ExpireQueries(Time now) {
  std::vector<Respond> overdue;
  {
    const std::lock_guard lock(mutex_);
    std::erase_if(pending_queries_, [&](auto& entry) {
      if (now < entry.second.deadline)
        return false;
      overdue.push_back(std::move(entry.second.respond));
      return true;
    });
  }
  for (const Respond& respond : overdue)
    respond(adapters::ResultResponse(ResultCode::kNotLeader));
}

}  // namespace goldcrest
