#include "programs/goldcrestd/entry_service.h"

#include <chrono>
#include <random>
#include <utility>

#include "goldcrest/adapters/system_clock.h"
#include "goldcrest/platform/calls.h"
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

// Across zones a connection takes some 11 ms; a lost packet costs a second.
constexpr milliseconds kConnectTimeout{1'200};

// A caller that does not close its side gets this long after the last answer.
constexpr milliseconds kCallerLinger{500};

// Reports without shares, which tell a controller that this entry lives.
constexpr Duration kPresenceInterval = milliseconds(900);

// A controller that does not send the document is given up for another one.
constexpr Duration kFetchTimeout = milliseconds(400);

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
      proxy_({settings.zone, LimitWindowOf(settings)}, MakeHooks()) {
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

void EntryService::OnPeerMessage(const std::string& from,
                                 const messages::PeerMessage& message) {
  if (message.__isset.proxy_update)
    OnUpdate(from, message.proxy_update);
}

void EntryService::OnLink(const std::string& controller, bool up) {
  ControllerView& view = controllers_[controller];
  view.linked = up;
  view.leads = false;
  log_.Event(up ? "controller_found" : "controller_lost",
             {{"controller", controller}});
  // Changes that were sent while there was no link are lost.
  view.reported_first = false;
  if (up)
    Report(SystemClock::Now(), controller, false);
  if (!up && leader_ == controller)
    leader_.clear();
}

void EntryService::OnUpdate(const std::string& from,
                            const messages::ProxyUpdate& update) {
  const Time now = SystemClock::Now();
  ControllerView& view = controllers_[from];
  view.heard_at = now;
  view.version = std::max(view.version, update.document_version);
  for (const std::string& name : update.controllers) {
    if (known_controllers_.insert(name).second)
      UpdatePeers();
  }
  if (update.__isset.document) {
    fetching_from_.clear();
    auto decoded = platform::DecodeRoutingDocument(update.document);
    if (decoded.table)
      proxy_.OnRoutingTable(now, decoded.table);
    else
      log_.Event("configuration_unreadable", {{"cause", decoded.problem}});
  }
  for (const messages::EndpointRecord& record : update.endpoints)
    proxy_.OnEndpoint(now, record);
  for (const messages::PrimaryAssignment& assignment : update.primaries)
    proxy_.OnAssignment(now, assignment);
  for (const messages::ConfirmedPosition& position : update.positions)
    proxy_.OnConfirmedPosition(position.group,
                               TimeFromMicros(position.report_sent_micros),
                               {position.term, position.number});
  if (update.report_sent_micros != 0) {
    endpoints_known_ = true;
    view.leads = update.leader;
    if (update.leader && leader_ != from) {
      log_.Event("controller_leads", {{"controller", from}});
      leader_ = from;
      proxy_.holder().OnOwnerChange(now);
    } else if (!update.leader && leader_ == from) {
      leader_.clear();
    }
    proxy_.OnEntryCount(update.entries);
    if (update.leader) {
      proxy_.holder().OnUpdates(now, TimeFromMicros(update.report_sent_micros),
                                update.shares);
      proxy_.OnShares(now);
    }
  }
  if (update.report_now)
    Report(now, from, false);
  FetchDocument(now);
}

// Asks one controller at a time for a document newer than the one in force.
void EntryService::FetchDocument(Time now) {
  if (!fetching_from_.empty() && now < fetch_until_)
    return;
  std::string best;
  for (const auto& [name, view] : controllers_) {
    if (!view.linked || view.version <= proxy_.Version() ||
        name == fetching_from_)
      continue;
    if (best.empty() || view.version > controllers_[best].version)
      best = name;
  }
  if (best.empty() && !fetching_from_.empty() &&
      controllers_[fetching_from_].linked &&
      controllers_[fetching_from_].version > proxy_.Version())
    best = fetching_from_;
  fetching_from_ = best;
  if (best.empty())
    return;
  fetch_until_ = now + kFetchTimeout;
  Report(now, best, true);
}

void EntryService::UpdatePeers() {
  peers_->SetPeers(PeerAddresses(known_controllers_));
}

void EntryService::Report(Time now,
                          const std::string& controller,
                          bool wants_document) {
  messages::ProxyReport report;
  report.process = process_;
  report.sent_micros = ToMicros(now);
  report.document_version = proxy_.Version();
  report.wants_document = wants_document;
  report.first = !controllers_[controller].reported_first;
  if (controller == leader_)
    report.shares = proxy_.holder().Report(now);
  report.quiet_micros = proxy_.holder().QuietFor(now, started_at_).count();
  report.contacts = proxy_.Contacts(now);
  controllers_[controller].reported_at = now;
  controllers_[controller].reported_first = true;
  messages::PeerMessage message;
  message.__set_proxy_report(std::move(report));
  peers_->Send(controller, message);
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
  const auto call = platform::DecodeCall(request.method, request.path);
  adapters::HttpResponse response;
  if (call && call->call == platform::Call::kReadiness) {
    response.status = IsReady() ? 200 : 503;
  } else if (call && call->call == platform::Call::kMetrics) {
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
