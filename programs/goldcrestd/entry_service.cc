#include "programs/goldcrestd/entry_service.h"

#include <chrono>
#include <random>
#include <utility>

#include "goldcrest/adapters/system_clock.h"
#include "goldcrest/platform/http_requests.h"
#include "goldcrest/platform/routing_document.h"
#include "programs/goldcrestd/platform_peers.h"

namespace goldcrest {
namespace {

using adapters::LineSocket;
using adapters::SystemClock;
using boost::asio::ip::tcp;
using statements::ConnectionId;
using statements::SessionId;
using std::chrono::milliseconds;

// Opening a connection across availability zones takes some 11 ms; a lost
// packet delays it by a second.
constexpr milliseconds kConnectTimeout{1'200};

// Time after the last answer in which the caller may close its side; then the
// connection is closed.
constexpr milliseconds kCallerCloseTimeout{500};

// Time in which the last messages to controllers are sent.
constexpr Duration kControllerHandoverTime = milliseconds(50);

// The load balancer sends new callers until two readiness probes, a second
// apart, have failed.
constexpr Duration kReadinessWithdrawalDelay = milliseconds(2'300);

statements::ProxyOptions MakeProxyOptions(
    const platform::BootSettings& settings) {
  statements::ProxyOptions options;
  options.zone = settings.zone;
  options.limit_window = LimitWindowOf(settings);
  options.max_configuration_age = settings.configuration_bound / 2;
  // New operations end with the lease of the rate shares as well.
  options.confirmation_lease = quota::kShareLease;
  return options;
}

std::int64_t RandomProcessId() {
  std::random_device device;
  return static_cast<std::int64_t>(
      ((std::uint64_t{device()} << 31U) ^ device()) | 1U);
}

}  // namespace

EntryService::EntryService(boost::asio::io_context& context,
                           const platform::BootSettings& settings,
                           PlatformLog& log)
    : context_(context),
      settings_(settings),
      log_(log),
      scheduler_(context),
      acceptor_(context),
      proxy_(MakeProxyOptions(settings), MakeHooks()),
      controllers_(SystemClock::Now(),
                   RandomProcessId(),
                   ControllerNames(settings_),
                   proxy_,
                   MakeControllerHooks()) {
  adapters::PeerTransportOptions peers =
      PeerOptions(settings_, kEntryPortOffset);
  peers_ = std::make_unique<adapters::PeerTransport>(
      context_, peers, log_.logger(),
      [this](const std::string& from, const messages::PeerMessage& message) {
        if (message.__isset.proxy_update)
          controllers_.OnUpdate(SystemClock::Now(), from, message.proxy_update);
      },
      [this](const std::string& peer, bool up) {
        controllers_.OnLink(SystemClock::Now(), peer, up);
      });
  adapters::HttpServerOptions http;
  http.host = settings_.readiness_listen.host;
  http.port = settings_.readiness_listen.port;
  http_ = std::make_unique<adapters::HttpServer>(
      context_, http,
      [this](const adapters::HttpRequest& request,
             const adapters::HttpServer::Respond& respond) {
        respond(HandleHttp(request));
      });
  const tcp::endpoint address(
      boost::asio::ip::make_address(settings_.caller_listen.host),
      settings_.caller_listen.port);
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen();
}

EntryService::~EntryService() = default;

void EntryService::Start() {
  peers_->SetPeers(PeerAddresses(controllers_.KnownControllers()));
  peers_->Start();
  http_->Start();
  AcceptNextCaller();
  Tick();
}

statements::ProxyHooks EntryService::MakeHooks() {
  statements::ProxyHooks hooks;
  hooks.answer = [this](SessionId id, const statements::Answer& answer) {
    const auto it = callers_.find(id);
    if (it == callers_.end())
      return;
    const bool start = started_sessions_.insert(id).second;
    if (!start)
      it->second->Write(platform::EncodeAnswer(answer));
    else if (answer.outcome == statements::Outcome::kDone)
      it->second->Write(platform::EncodeReady());
    else
      it->second->Write(platform::EncodeRefusal(answer));
  };
  hooks.close_session = [this](SessionId id) { CloseCaller(id); };
  hooks.has_unread_input = [this](SessionId id) {
    const auto it = callers_.find(id);
    return it != callers_.end() && it->second->HasUnreadInput();
  };
  hooks.open = [this](ConnectionId id,
                      const statements::ConnectionTarget& target) {
    OpenEndpointConnection(id, target);
  };
  hooks.send = [this](ConnectionId id,
                      const std::vector<statements::EndpointCommand>& list) {
    const auto it = endpoint_connections_.find(id);
    if (it == endpoint_connections_.end())
      return;
    std::string bytes;
    for (const statements::EndpointCommand& command : list)
      bytes += platform::EncodeCommand(command);
    it->second.socket->Write(bytes);
  };
  hooks.close = [this](ConnectionId id) {
    const auto it = endpoint_connections_.find(id);
    if (it == endpoint_connections_.end())
      return;
    it->second.socket->Close();
    endpoint_connections_.erase(it);
  };
  hooks.log_decision = [this](const statements::Decision& decision) {
    counters_
        .GetCounter("goldcrest_decisions_total", {{"event", decision.event}})
        .Add();
    log_.LogDecision(decision);
  };
  hooks.completed = [this](const routing::Route& route,
                           statements::Outcome outcome, Duration latency) {
    counters_
        .GetCounter(
            "goldcrest_operations_total",
            {{"group", route.group}, {"outcome", statements::NameOf(outcome)}})
        .Add();
    counters_
        .GetHistogram("goldcrest_operation_seconds", {{"group", route.group}})
        .Observe(latency);
  };
  return hooks;
}

statements::ControllerClientHooks EntryService::MakeControllerHooks() {
  statements::ControllerClientHooks hooks;
  hooks.send = [this](const std::string& controller,
                      const messages::PeerMessage& message) {
    peers_->Send(controller, message);
  };
  hooks.decode = [this](std::string_view document) -> routing::RoutingTablePtr {
    auto decoded = platform::DecodeRoutingDocument(document);
    if (!decoded.table)
      log_.LogEvent("configuration_unreadable", {{"cause", decoded.problem}});
    return decoded.table;
  };
  hooks.known_controllers = [this](const std::set<std::string>& names) {
    peers_->SetPeers(PeerAddresses(names));
  };
  hooks.log_decision = [this](std::string_view event,
                              const std::string& controller,
                              const std::string& cause) {
    log_.LogEvent(event, {{"controller", controller}, {"cause", cause}});
  };
  hooks.report_answered = [this](Duration round_trip) {
    counters_.GetHistogram("goldcrest_report_round_trip_seconds")
        .Observe(round_trip);
  };
  return hooks;
}

void EntryService::AcceptNextCaller() {
  acceptor_.async_accept(
      [this](boost::system::error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
          return;
        if (error)
          log_.LogEvent("accept_failed", {{"cause", error.message()}});
        else
          OnCallerAccepted(std::move(socket));
        AcceptNextCaller();
      });
}

void EntryService::OnCallerAccepted(tcp::socket socket) {
  const SessionId id = next_session_++;
  auto caller = std::make_shared<LineSocket>(context_, platform::kMaxLineBytes);
  callers_[id] = caller;
  caller->Accept(std::move(socket),
                 {[this, id](std::string_view line) { OnCallerLine(id, line); },
                  [this, id](const std::string&) {
                    proxy_.OnSessionClosed(SystemClock::Now(), id);
                    callers_.erase(id);
                    started_sessions_.erase(id);
                  }});
}

void EntryService::OnCallerLine(SessionId id, std::string_view line) {
  const Time now = SystemClock::Now();
  platform::CallerLine decoded = platform::DecodeCallerLine(line);
  const bool started = started_sessions_.count(id) > 0;
  if (auto* start = std::get_if<platform::SessionStart>(&decoded);
      start != nullptr && !started)
    return proxy_.OnSessionStart(now, id, start->database, start->key);
  if (auto* statement = std::get_if<statements::Statement>(&decoded);
      statement != nullptr && started)
    return proxy_.OnStatement(now, id, std::move(*statement));
  if (!std::holds_alternative<platform::SessionEnd>(decoded)) {
    statements::Answer answer;
    answer.outcome = statements::Outcome::kMalformed;
    answer.message = "the line can't be read";
    callers_.at(id)->Write(platform::EncodeRefusal(answer));
  }
  proxy_.OnSessionClosed(now, id);
  CloseCaller(id);
}

void EntryService::CloseCaller(SessionId id) {
  const auto it = callers_.find(id);
  if (it == callers_.end())
    return;
  it->second->CloseAfterWrites(kCallerCloseTimeout);
  if (drain_started_at_ != kNever)
    closing_callers_.push_back(it->second);
  callers_.erase(it);
  started_sessions_.erase(id);
}

void EntryService::OpenEndpointConnection(
    ConnectionId id,
    const statements::ConnectionTarget& target) {
  EndpointConnection& link = endpoint_connections_[id];
  link.socket = std::make_shared<LineSocket>(context_, platform::kMaxLineBytes);
  const auto* entry = proxy_.directory().Find(target.endpoint);
  const platform::SocketAddress address =
      entry == nullptr ? platform::SocketAddress()
                       : platform::ParseAddress(entry->record.address);
  link.socket->Connect(
      address.host, address.port, kConnectTimeout,
      platform::EncodeEndpointStart(target.group, target.customer,
                                    target.endpoint),
      {[this, id](std::string_view line) { OnEndpointLine(id, line); },
       [this, id](const std::string& cause) { OnEndpointClosed(id, cause); }});
  counters_.GetCounter("goldcrest_connections_opened_total").Add();
}

void EntryService::OnEndpointLine(ConnectionId id, std::string_view line) {
  const auto it = endpoint_connections_.find(id);
  if (it == endpoint_connections_.end())
    return;
  EndpointConnection& link = it->second;
  switch (link.decoder.OnLine(line)) {
    case platform::AnswerDecoder::Step::kMore:
      return;
    case platform::AnswerDecoder::Step::kMalformed:
      link.socket->Close();
      return OnEndpointClosed(id, "a line can't be read");
    case platform::AnswerDecoder::Step::kAnswer:
      break;
  }
  const statements::Answer answer = link.decoder.Take();
  const Time now = SystemClock::Now();
  if (link.started)
    return proxy_.OnAnswer(now, id, answer);
  link.started = true;
  proxy_.OnOpened(now, id);
}

void EntryService::OnEndpointClosed(ConnectionId id, const std::string& cause) {
  const auto it = endpoint_connections_.find(id);
  if (it == endpoint_connections_.end())
    return;
  (void)cause;
  const bool started = it->second.started;
  const statements::Answer refusal = it->second.decoder.Take();
  endpoint_connections_.erase(it);
  const Time now = SystemClock::Now();
  if (started)
    return proxy_.OnConnectionClosed(now, id);
  proxy_.OnOpenFailed(now, id,
                      refusal.outcome == statements::Outcome::kDone
                          ? statements::Outcome::kFailed
                          : refusal.outcome);
}

void EntryService::Tick() {
  const Time now = SystemClock::Now();
  proxy_.Tick(now);
  controllers_.Tick(now);
  if (IsReady() != last_logged_readiness_) {
    last_logged_readiness_ = !last_logged_readiness_;
    log_.LogEvent(last_logged_readiness_ ? "ready" : "not_ready",
                  {{"version", proxy_.Version()}});
  }
  ContinueDrain(now);
  scheduler_.After(statements::StatementProxy::kTickInterval,
                   [this] { Tick(); });
}

bool EntryService::IsReady() const {
  return drain_started_at_ == kNever && controllers_.IsReady();
}

adapters::HttpResponse EntryService::HandleHttp(
    const adapters::HttpRequest& request) {
  const auto call = platform::DecodeHttpRequest(request.method, request.path);
  adapters::HttpResponse response;
  if (call && call->kind == platform::HttpRequestKind::kReadiness) {
    response.status = IsReady() ? 200 : 503;
  } else if (call && call->kind == platform::HttpRequestKind::kMetrics) {
    response.content_type = adapters::Counters::kContentType;
    PublishRateCounts();
    response.body = counters_.Render();
  } else {
    response.status = 404;
  }
  return response;
}

void EntryService::PublishRateCounts() {
  const quota::Holder::Counts& counts = proxy_.holder().counts();
  const auto publish = [this](std::string_view name, const Labels& labels,
                              std::int64_t value) {
    adapters::Counter& counter = counters_.GetCounter(name, labels);
    counter.Add(static_cast<std::uint64_t>(value) - counter.Value());
  };
  publish("goldcrest_rate_tokens_total", {{"taken", "at_once"}},
          counts.served_at_once);
  publish("goldcrest_rate_tokens_total", {{"taken", "after_wait"}},
          counts.served_after_wait);
  publish("goldcrest_rate_waits_ended_total", {}, counts.gave_up);
}

void EntryService::BeginDrain(std::function<void()> done) {
  if (drain_started_at_ != kNever)
    return;
  drain_started_at_ = SystemClock::Now();
  on_drained_ = std::move(done);
  log_.LogEvent("stop_requested", {{"sessions", callers_.size()}});
}

// Waits until the load balancer has seen two failed readiness probes, and then
// closes sessions between their operations. After half of the grace period no
// new operation is accepted. What is still outstanding when the grace period
// nearly ends is answered, and the process ends once its callers have received
// their answers.
void EntryService::ContinueDrain(Time now) {
  if (drain_started_at_ == kNever || !on_drained_)
    return;
  const Duration elapsed = now - drain_started_at_;
  const Duration grace = settings_.stop_grace;
  if (sessions_ended_at_ == kNever) {
    if (elapsed >= kReadinessWithdrawalDelay)
      proxy_.BeginDrain(now);
    if (elapsed >= grace / 2)
      proxy_.RefuseOperations(now);
    const bool idle =
        elapsed >= kReadinessWithdrawalDelay && proxy_.SessionCount() == 0;
    if (!idle && elapsed < grace * 5 / 6)
      return;
    sessions_ended_at_ = now;
    const std::size_t sessions = proxy_.SessionCount();
    const int unanswered = proxy_.EndSessions(now);
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    log_.LogEvent("stopped",
                  {{"sessions", sessions}, {"unanswered", unanswered}});
  }
  std::erase_if(closing_callers_,
                [](const auto& caller) { return caller.expired(); });
  if (!closing_callers_.empty() && elapsed < grace * 11 / 12)
    return;
  controllers_.Stop();
  scheduler_.After(kControllerHandoverTime,
                   std::exchange(on_drained_, nullptr));
}

void EntryService::OnSettings(const platform::BootSettings& settings) {
  settings_.controller_seeds = settings.controller_seeds;
  log_.LogEvent("settings_loaded",
                {{"seeds", settings.controller_seeds.size()}});
  controllers_.AddControllers(ControllerNames(settings));
}

}  // namespace goldcrest
