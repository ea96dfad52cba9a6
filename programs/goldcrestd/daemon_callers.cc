#include <variant>

#include "goldcrest/adapters/system_clock.h"
#include "programs/goldcrestd/announcement.h"
#include "programs/goldcrestd/caller_api.h"
#include "programs/goldcrestd/daemon.h"

namespace goldcrest {
namespace {

using adapters::HttpRequest;
using adapters::HttpServer;
using adapters::SystemClock;

// Limit for an endpoint's answer to the call that verifies its announcement.
constexpr Duration kAnnouncementVerifyTimeout = std::chrono::milliseconds(400);

}  // namespace

void Daemon::HandleCallerRequest(HttpRequest request,
                                 HttpServer::Respond respond) {
  if (request.method == "GET" && request.path == "/healthz") {
    respond(HealthResponse());
    return;
  }
  if (request.method == "GET" && request.path == "/metrics") {
    respond({.body = counters_.Render(),
             .content_type = std::string(adapters::Counters::kContentType)});
    return;
  }
  if (request.method == "POST" && request.path == "/v1/announce") {
    HandleAnnouncement(request, std::move(respond));
    return;
  }
  auto parsed = ParseCallerRequest(request);
  if (auto* refusal = std::get_if<adapters::HttpResponse>(&parsed)) {
    counters_.GetCounter("goldcrest_bad_requests_total").Add();
    respond(std::move(*refusal));
    return;
  }
  entry::CallerRequest& caller = std::get<entry::CallerRequest>(parsed);
  caller.id = next_caller_id_++;
  // The headers hold the caller's key, which must not be passed on.
  request.headers.clear();
  {
    const std::lock_guard lock(pending_callers_mutex_);
    pending_callers_[caller.id] = {std::move(respond), SystemClock::Now()};
  }
  RunEntryStep([&](entry::EntryNode& node, Time now) {
    return node.OnCallerRequest(caller, now);
  });
}

adapters::HttpResponse Daemon::HealthResponse() {
  if (draining_)
    return adapters::ResultResponse(ResultCode::kDraining);
  if (!serving_)
    return adapters::ResultResponse(ResultCode::kNoControlContact);
  return adapters::ResultResponse(ResultCode::kOk, "serving");
}

void Daemon::HandleAnnouncement(const HttpRequest& request,
                                HttpServer::Respond respond) {
  if (!HasValidSignature(announce_secret_, request.body,
                         request.Header("Goldcrest-Signature"))) {
    respond(adapters::ResultResponse(ResultCode::kAnnouncementRejected));
    return;
  }
  auto announcement = ParseAnnouncement(request.body);
  if (!announcement) {
    respond(adapters::ResultResponse(ResultCode::kInvalidField));
    return;
  }
  bool known = false;
  {
    const std::lock_guard lock(entry_mutex_);
    const messages::EndpointInfo* info =
        entry_->view().FindEndpoint(announcement->info.endpoint);
    known = info != nullptr && *info == announcement->info;
  }
  if (known) {
    respond(adapters::ResultResponse(ResultCode::kOk));
    return;
  }
  // The signature authenticates the sender. The call to the announced address
  // verifies that this endpoint runs there, in the announced incarnation.
  gateway_.VerifyIdentity(
      announcement->info, SystemClock::Now() + kAnnouncementVerifyTimeout,
      [this, announcement = *announcement,
       respond = std::move(respond)](bool verified) {
        if (!verified) {
          respond(adapters::ResultResponse(ResultCode::kAnnouncementRejected));
          return;
        }
        pool_.Post([this, announcement, respond] {
          RunEntryStep([&](entry::EntryNode& node, Time now) {
            return node.OnAnnouncement(announcement, now);
          });
          respond(adapters::ResultResponse(ResultCode::kOk));
        });
      });
}

void Daemon::AnswerCaller(const entry::CallerAnswer& answer) {
  PendingCaller pending;
  {
    const std::lock_guard lock(pending_callers_mutex_);
    const auto node = pending_callers_.extract(answer.id);
    if (node.empty())
      return;
    pending = std::move(node.mapped());
  }
  counters_
      .GetCounter("goldcrest_requests_total",
                  {{"code", std::to_string(ToNumber(answer.code))}})
      .Add();
  counters_.GetHistogram("goldcrest_request_seconds")
      .Observe(SystemClock::Now() - pending.arrival);
  if (InfoOf(answer.code).outcome != Outcome::kDone) {
    refusal_counters_.Add(answer.code, answer.customer, answer.group,
                          SystemClock::WallNow().count());
  }
  pending.respond(ToHttp(answer));
}

}  // namespace goldcrest
