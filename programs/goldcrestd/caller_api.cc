#include "programs/goldcrestd/caller_api.h"

#include "goldcrest/adapters/json.h"
#include "goldcrest/types/digest.h"

namespace goldcrest {
namespace {

using adapters::JsonObject;
using messages::Operation;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxStatementBytes = std::size_t{1} << 20U;
constexpr std::int64_t kDefaultTimeoutMs = 5'000;
constexpr std::int64_t kMaxTimeoutMs = 60'000;
constexpr std::int64_t kMaxAgeMs = 86'400'000;
constexpr std::string_view kBearerPrefix = "Bearer ";

void ParseExecuteFields(JsonObject& json, entry::CallerRequest* request) {
  request->statement = json.RequiredString("statement", kMaxStatementBytes);
  const std::string kind = json.RequiredString("kind", kMaxNameBytes);
  if (kind == "read")
    request->operation = Operation::READ;
  else if (kind == "write")
    request->operation = Operation::WRITE;
  else if (!kind.empty())
    json.AddError("kind", "must be \"read\" or \"write\"");
  request->idempotent = json.OptionalBool("idempotent").value_or(false);
  if (const auto max_age = json.OptionalInteger("max_age_ms", 0, kMaxAgeMs))
    request->max_age = std::chrono::milliseconds(*max_age);
  request->transaction =
      json.OptionalString("transaction", kMaxNameBytes).value_or("");
}

}  // namespace

std::string BearerToken(const adapters::HttpRequest& http) {
  const std::string_view header = http.Header("Authorization");
  if (!header.starts_with(kBearerPrefix))
    return {};
  return std::string(header.substr(kBearerPrefix.size()));
}

std::variant<entry::CallerRequest, adapters::HttpResponse> ParseCallerRequest(
    const adapters::HttpRequest& http) {
  entry::CallerRequest request;
  const bool executes = http.path == "/v1/execute";
  if (http.path == "/v1/begin")
    request.operation = Operation::BEGIN_WORK;
  else if (http.path == "/v1/commit")
    request.operation = Operation::COMMIT;
  else if (http.path == "/v1/rollback")
    request.operation = Operation::ROLLBACK;
  else if (!executes)
    return adapters::ResultResponse(ResultCode::kUnknownPath);
  if (http.method != "POST")
    return adapters::ResultResponse(ResultCode::kUnknownPath);

  JsonObject json = JsonObject::Parse(http.body);
  request.group = json.RequiredString("group", kMaxNameBytes);
  request.request_id =
      json.OptionalString("request_id", kMaxNameBytes).value_or("");
  request.timeout = std::chrono::milliseconds(
      json.OptionalInteger("timeout_ms", 1, kMaxTimeoutMs)
          .value_or(kDefaultTimeoutMs));
  if (executes)
    ParseExecuteFields(json, &request);
  else if (request.operation != Operation::BEGIN_WORK)
    request.transaction = json.RequiredString("transaction", kMaxNameBytes);
  const auto errors = json.Finish();
  if (!errors.empty()) {
    const bool not_json = errors.size() == 1 && errors.front().field.empty();
    return adapters::ResultResponse(
        not_json ? ResultCode::kMalformedRequest : ResultCode::kInvalidField,
        adapters::ToString(errors));
  }
  request.session_token = std::string(http.Header("Goldcrest-Session"));
  const std::string key = BearerToken(http);
  if (!key.empty())
    request.key_digest = Sha256(key);
  return request;
}

adapters::HttpResponse ToHttp(const entry::CallerAnswer& answer) {
  const ResultCodeInfo& info = InfoOf(answer.code);
  adapters::HttpResponse http;
  http.status = info.http_status;
  adapters::JsonWriter body;
  body.BeginObject().BeginObject("result");
  body.Member("code", ToNumber(answer.code))
      .Member("name", info.name)
      .Member("outcome", ToString(info.outcome))
      .Member("message", answer.message)
      .EndObject();
  if (info.outcome == Outcome::kDone) {
    body.Member("value", answer.value).Member("served_by", answer.served_by);
    if (!answer.transaction.empty())
      body.Member("transaction", answer.transaction);
  }
  if (answer.retry_after) {
    body.Member("retry_after_ms", answer.retry_after->count());
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*answer.retry_after);
    http.headers.push_back({"Retry-After", std::to_string(seconds.count())});
  }
  body.EndObject();
  http.body = body.Take();
  if (!answer.session_token.empty())
    http.headers.push_back({"Goldcrest-Session", answer.session_token});
  return http;
}

}  // namespace goldcrest
