#include "caller.h"

#include <atomic>

#include <fmt/format.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace goldcrest::process_tests {
namespace {

namespace json = boost::json;

// Longer than any time limit that a test checks.
constexpr std::chrono::milliseconds kAnswerTimeout{10'000};

std::string StringMember(const json::object& object, std::string_view member) {
  const json::value* value = object.if_contains(member);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

std::optional<std::int64_t> IntegerMember(const json::object& object,
                                          std::string_view member) {
  const json::value* value = object.if_contains(member);
  if (value == nullptr || !value->is_number())
    return std::nullopt;
  return value->to_number<std::int64_t>();
}

}  // namespace

std::string Reply::Text(std::string_view member) const {
  return StringMember(body, member);
}

std::optional<std::int64_t> Reply::Number(std::string_view member) const {
  return IntegerMember(body, member);
}

Reply ParseReply(const std::optional<settings::HttpAnswer>& answer, bool sent) {
  Reply reply;
  reply.sent = sent;
  if (!answer)
    return reply;
  reply.status = answer->status;
  reply.headers = answer->headers;
  boost::system::error_code error;
  json::value value = json::parse(answer->body, error);
  if (error || !value.is_object())
    return reply;
  reply.body = std::move(value.get_object());
  const json::value* result = reply.body.if_contains("result");
  if (result != nullptr && result->is_object()) {
    reply.code = static_cast<int>(
        IntegerMember(result->get_object(), "code").value_or(reply.code));
    reply.outcome = StringMember(result->get_object(), "outcome");
  }
  return reply;
}

Reply Caller::Post(std::uint16_t port,
                   const std::string& path,
                   const json::object& body) {
  auto& client = clients_[port];
  if (!client)
    client = std::make_unique<settings::HttpClient>("127.0.0.1", port);
  settings::HttpCall call{"POST", path, json::serialize(body), {}};
  call.headers["Authorization"] = "Bearer " + key_;
  if (!session_.empty())
    call.headers["Goldcrest-Session"] = session_;
  const auto answer = client->Call(call, kAnswerTimeout);
  Reply reply = ParseReply(answer, client->last_call_sent());
  const auto token = reply.headers.find("goldcrest-session");
  if (token != reply.headers.end())
    session_ = token->second;
  return reply;
}

Reply Caller::Write(std::uint16_t port,
                    const std::string& statement,
                    const std::string& request_id,
                    const std::string& transaction) {
  json::object body = {
      {"group", "bookings"}, {"kind", "write"}, {"statement", statement}};
  if (transaction.empty())
    body["request_id"] = request_id.empty() ? NextRequestId() : request_id;
  else
    body["transaction"] = transaction;
  return Post(port, "/v1/execute", body);
}

Reply Caller::Read(std::uint16_t port,
                   const std::string& key,
                   const std::string& transaction) {
  json::object body = {
      {"group", "bookings"}, {"kind", "read"}, {"statement", "get " + key}};
  if (!transaction.empty())
    body["transaction"] = transaction;
  return Post(port, "/v1/execute", body);
}

Reply Caller::Begin(std::uint16_t port) {
  return Post(port, "/v1/begin", {{"group", "bookings"}});
}

Reply Caller::Commit(std::uint16_t port, const std::string& transaction) {
  return Post(port, "/v1/commit",
              {{"group", "bookings"},
               {"transaction", transaction},
               {"request_id", NextRequestId()}});
}

Reply Caller::Rollback(std::uint16_t port, const std::string& transaction) {
  return Post(port, "/v1/rollback",
              {{"group", "bookings"}, {"transaction", transaction}});
}

std::string Caller::NextRequestId() {
  static std::atomic<std::uint64_t> caller_count{0};
  if (last_request_number_ == 0)
    last_request_number_ = ++caller_count << 32U;
  return fmt::format("r-{}", ++last_request_number_);
}

}  // namespace goldcrest::process_tests
