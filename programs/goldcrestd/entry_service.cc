#include "programs/goldcrestd/entry_service.h"

#include <chrono>
#include <random>
#include <utility>

#include "goldcrest/adapters/system_clock.h"
#include "goldcrest/platform/http_requests.h"
#include "programs/goldcrestd/platform_peers.h"

namespace goldcrest {
namespace {

using adapters::LineSocket;
using adapters::SystemClock;
using boost::asio::ip::tcp;
using statements::ConnectionId;
using statements::SessionId;
using std::chrono::milliseconds;

// Across zones a connection takes some 11 ms; a lost packet costs a second.
constexpr milliseconds kConnectTimeout{1'200};

// A caller that does not close its side gets this long after the last answer.
constexpr milliseconds kCallerLinger{500};

// Reports to controllers that do not lead, which tell that this entry lives.
constexpr Duration kPresenceInterval = milliseconds(2'000);

// How long new callers still arrive after readiness was withdrawn: two probes a
// second apart have to fail.
constexpr Duration kRotationTime = milliseconds(2'300);

std::int64_t RandomProcess() {
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
      process_(RandomProcess()),
      started_at_(SystemClock::Now()),
      scheduler_(context),
      acceptor_(context),
      proxy_({settings.zone, LimitWindowOf(settings)}, MakeHooks()),
      document_source_(process_) {
  known_controllers_ = ControllerNames(settings_);
  adapters::PeerTransportOptions peers = PeerOptions(settings_, kEntryOffset);
  peers_ = std::make_unique<adapters::PeerTransport>(
      context_, peers, log_.logger(),
      [this](const std::string& from, const messages::PeerMessage& message) {
        OnPeerMessage(from, message);
      },
      [this](const std::string& peer, bool up) { OnLink(peer, up); });
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
  UpdatePeers();
  peers_->Start();
  http_->Start();
  AwaitCaller();
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
  hooks.open = [this](ConnectionId id,
                      const statements::ConnectionTarget& target) {
    OpenEndpoint(id, target);
  };
  hooks.send = [this](ConnectionId id,
                      const std::vector<statements::EndpointCommand>& list) {
    const auto it = endpoints_.find(id);
    if (it == endpoints_.end())
      return;
    std::string bytes;
    for (const statements::EndpointCommand& command : list)
      bytes += platform::EncodeCommand(command);
    it->second.socket->Write(bytes);
  };
  hooks.close = [this](ConnectionId id) {
    const auto it = endpoints_.find(id);
    if (it == endpoints_.end())
      return;
    it->second.socket->Close();
    endpoints_.erase(it);
  };
  hooks.decided = [this](const statements::Decision& decision) {
    counters_
        .GetCounter("goldcrest_decisions_total", {{"event", decision.event}})
        .Add();
    log_.Decided(decision);
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

void EntryService::AwaitCaller() {
  acceptor_.async_accept(
      [this](boost::system::error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
          return;
        if (error)
          log_.Event("accept_failed", {{"cause", error.message()}});
        else
          OnCaller(std::move(socket));
        AwaitCaller();
      });
}

void EntryService::OnCaller(tcp::socket socket) {
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
  it->second->CloseAfterWrites(kCallerLinger);
  callers_.erase(it);
  started_sessions_.erase(id);
}

void EntryService::OpenEndpoint(ConnectionId id,
                                const statements::ConnectionTarget& target) {
  EndpointLink& link = endpoints_[id];
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
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end())
    return;
  EndpointLink& link = it->second;
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
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end())
    return;
  (void)cause;
  const bool started = it->second.started;
  const statements::Answer refusal = it->second.decoder.Take();
  endpoints_.erase(it);
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
  if (!leader_.empty() && proxy_.holder().ReportDue(now))
    Report(now, leader_, false);
  for (const auto& [name, view] : controllers_) {
    if (view.linked && now - view.reported_at >= kPresenceInterval)
      Report(now, name, false);
  }
  FetchDocument(now);
  if (IsReady() != ready_told_) {
    ready_told_ = !ready_told_;
    log_.Event(ready_told_ ? "ready" : "not_ready",
               {{"version", proxy_.Version()}});
  }
  DrainStep(now);
  scheduler_.After(statements::StatementProxy::kTickInterval,
                   [this] { Tick(); });
}

bool EntryService::IsReady() const {
  return drain_started_ == kNever && proxy_.Version() != 0 && endpoints_known_;
}

adapters::HttpResponse EntryService::HandleHttp(
    const adapters::HttpRequest& request) {
  const auto call = platform::DecodeHttpRequest(request.method, request.path);
  adapters::HttpResponse response;
  if (call && call->kind == platform::HttpRequestKind::kReadiness) {
    response.status = IsReady() ? 200 : 503;
  } else if (call && call->kind == platform::HttpRequestKind::kMetrics) {
    response.content_type = adapters::Counters::kContentType;
    response.body = counters_.Render();
  } else {
    response.status = 404;
  }
  return response;
}

void EntryService::BeginDrain(std::function<void()> done) {
  if (drain_started_ != kNever)
    return;
  drain_started_ = SystemClock::Now();
  on_drained_ = std::move(done);
  log_.Event("stop_requested", {{"sessions", callers_.size()}});
}

// Callers still arrive until the balancer has seen two failed probes. Then idle
// sessions are asked to close, and transactions have the first half of the
// grace; nothing is cut that an endpoint works on.
void EntryService::DrainStep(Time now) {
  if (drain_started_ == kNever || !on_drained_)
    return;
  if (now - drain_started_ < kRotationTime)
    return;
  if (!drain_announced_) {
    drain_announced_ = true;
    proxy_.BeginDrain(now);
  }
  if (now - drain_started_ >= settings_.stop_grace / 2)
    proxy_.AbortTransactions(now);
  const bool late = now - drain_started_ >= settings_.stop_grace * 5 / 6;
  if (proxy_.SessionCount() > 0 && !late)
    return;
  proxy_.holder().Stop();
  for (const auto& [name, view] : controllers_) {
    messages::ProxyReport report;
    report.process = process_;
    report.document_version = proxy_.Version();
    report.stopped = true;
    messages::PeerMessage message;
    message.__set_proxy_report(report);
    peers_->Send(name, message);
  }
  log_.Event("stopped", {{"sessions", proxy_.SessionCount()}});
  scheduler_.After(milliseconds(50), std::exchange(on_drained_, nullptr));
}

void EntryService::OnSettings(const platform::BootSettings& settings) {
  settings_.controller_seeds = settings.controller_seeds;
  known_controllers_.merge(ControllerNames(settings));
  log_.Event("settings_loaded", {{"seeds", settings.controller_seeds.size()}});
  UpdatePeers();
}

}  // namespace goldcrest
