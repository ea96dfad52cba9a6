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

// An endpoint has this long to answer the call back to its address.
constexpr Duration kVerifyTimeout = std::chrono::milliseconds(400);

}  // namespace

void Daemon::HandleCaller(HttpRequest request, HttpServer::Respond respond) {
  if (request.method == "GET" && request.path == "/healthz") {
    respond(Health());
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
  // The header is not needed any more; nothing else may see the key.
  request.headers.clear();
  {
    const std::lock_guard lock(callers_mutex_);
    callers_[caller.id] = {std::move(respond), SystemClock::Now()};
  }
  WithEntry([&](entry::EntryNode& node, Time now) {
    return node.OnCallerRequest(caller, now);
  });
}

adapters::HttpResponse Daemon::Health() {
  if (draining_)
    return adapters::ResultResponse(ResultCode::kDraining);
  if (!serving_)
    return adapters::ResultResponse(ResultCode::kNoControlContact);
  return adapters::ResultResponse(ResultCode::kOk, "serving");
}

void Daemon::HandleAnnouncement(const HttpRequest& request,
                                HttpServer::Respond respond) {
  if (!IsSigned(announce_secret_, request.body,
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
  // The signature shows who sent it; the call back shows that the address is
  // that endpoint's, in this very incarnation.
  gateway_.Verify(
      announcement->info, SystemClock::Now() + kVerifyTimeout,
      [this, announcement = *announcement,
       respond = std::move(respond)](bool verified) {
        if (!verified) {
          respond(adapters::ResultResponse(ResultCode::kAnnouncementRejected));
          return;
        }
        pool_.Post([this, announcement, respond] {
          WithEntry([&](entry::EntryNode& node, Time now) {
            return node.OnAnnouncement(announcement, now);
          });
          respond(adapters::ResultResponse(ResultCode::kOk));
        });
      });
}

void Daemon::AnswerCaller(const entry::CallerAnswer& answer) {
  DueAnswer due;
  {
    const std::lock_guard lock(callers_mutex_);
    const auto node = callers_.extract(answer.id);
    if (node.empty())
      return;
    due = std::move(node.mapped());
  }
  counters_
      .GetCounter("goldcrest_requests_total",
                  {{"code", std::to_string(ToNumber(answer.code))}})
      .Add();
  counters_.GetHistogram("goldcrest_request_seconds")
      .Observe(SystemClock::Now() - due.arrival);
  if (InfoOf(answer.code).outcome != Outcome::kDone) {
    refusals_.Add(answer.code, answer.customer, answer.group,
                  SystemClock::WallNow().count());
  }
  due.respond(ToHttp(answer));
}

}  // namespace goldcrest
