#include "programs/goldcrestd/entry_service.h"

#include <chrono>
#include <functional>
#include <random>
#include <utility>

#include "goldcrest/adapters/system_clock.h"
#include "goldcrest/platform/http_requests.h"
#include "programs/goldcrestd/platform_peers.h"

namespace goldcrest {
namespace {

using adapters::LineSocket;
using adapters::SystemClock;
using statements::ConnectionId;
using statements::SessionId;
using std::chrono::milliseconds;

// Opening a connection across availability zones takes some 11 ms; a lost
// packet delays it by a second.
constexpr milliseconds kConnectTimeout{1'200};

// No request to an entry has a body that matters.
constexpr std::size_t kMaxReadinessBodyBytes = std::size_t{4} << 10U;

// Rows for another entry that wait for its link beyond this stop the reading of
// the answer.
constexpr std::size_t kMaxRelayOutputBytes = std::size_t{256} << 10U;

// Rows of an answer beyond this are passed on before the answer is complete.
constexpr std::size_t kMaxHeldAnswerBytes = std::size_t{64} << 10U;

// Length of the CR LF after each line of an endpoint.
constexpr std::size_t kLineEndBytes = 2;

// Time in which the last messages to controllers are sent.
constexpr Duration kControllerHandoverTime = milliseconds(50);

// The load balancer sends new callers until two readiness probes, a second
// apart, have failed.
constexpr Duration kReadinessWithdrawalDelay = milliseconds(2'300);

statements::ProxyOptions MakeProxyOptions(
    const platform::BootSettings& settings,
    std::int64_t process) {
  statements::ProxyOptions options;
  options.zone = settings.zone;
  options.relay = PeerName(settings, kRelayPortOffset);
  // Controllers run on the instances with a disk. Such an instance is restarted
  // and cut off together with its controller.
  options.offers_relay = settings.data_folder.empty();
  options.process = process;
  options.limit_window = LimitWindowOf(settings);
  options.max_configuration_age = settings.configuration_bound / 2;
  // New operations end with the lease of the rate shares as well.
  options.confirmation_lease = quota::kShareLease;
  options.evacuation_timeout = settings.evacuation_timeout;
  options.zone_salt = std::hash<std::string>()(settings.instance);
  options.zone_byte_cost = settings.zone_byte_cost;
  const platform::ConnectionLimits& limits = settings.connection_limits;
  options.max_value_bytes = limits.session_value_bytes;
  options.max_prepared_bytes = limits.session_prepared_bytes;
  options.max_names = limits.session_names;
  // The platform ends a process this long after it has told it to stop.
  options.draining_primary_timeout = settings.stop_grace;
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
      process_(RandomProcessId()),
      proxy_(MakeProxyOptions(settings, process_), MakeHooks()),
      callers_(context,
               settings.caller_listen,
               settings.connection_limits,
               MakeCallerHooks()),
      controllers_(SystemClock::Now(),
                   process_,
                   ControllerNames(settings_),
                   proxy_,
                   MakeControllerHooks()) {
  adapters::PeerTransportOptions peers =
      PeerOptions(settings_, kEntryPortOffset);
  // The links to other entries have the other half.
  peers.max_held_bytes /= 2;
  peers_ = std::make_unique<adapters::PeerTransport>(
      context_, peers, log_.logger(),
      [this](const std::string& from, const messages::PeerMessage& message) {
        if (message.__isset.proxy_update)
          controllers_.OnUpdate(SystemClock::Now(), from, message.proxy_update);
      },
      [this](const std::string& peer, bool up) {
        controllers_.OnLink(SystemClock::Now(), peer, up);
      });
  relay_links_ = MakeRelayLinks();
  adapters::HttpServerOptions http =
      HttpOptions(settings_.readiness_listen, settings_.connection_limits);
  http.max_body_bytes = kMaxReadinessBodyBytes;
  http_ = std::make_unique<adapters::HttpServer>(
      context_, http,
      [this](const adapters::HttpRequest& request,
             const adapters::HttpServer::Respond& respond) {
        respond(HandleHttp(request));
      });
}

EntryService::~EntryService() = default;

void EntryService::Start() {
  peers_->SetPeers(PeerAddresses(controllers_.KnownControllers()));
  peers_->Start();
  relay_links_->Start();
  http_->Start();
  callers_.Start();
  Tick();
}

void EntryService::OnCallerLine(SessionId id, std::string_view line) {
  const Time now = SystemClock::Now();
  platform::CallerLine decoded = platform::DecodeCallerLine(line);
  const bool started = callers_.IsStarted(id);
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
    callers_.Write(id, platform::EncodeRefusal(answer));
  }
  proxy_.OnSessionClosed(now, id);
  callers_.CloseAfterWrites(id);
  ContinueEndpoint(id);
}

void EntryService::OpenEndpointConnection(
    ConnectionId id,
    const statements::ConnectionTarget& target) {
  EndpointConnection& link = endpoint_connections_[id];
  link.socket = std::make_shared<LineSocket>(context_, platform::kMaxLineBytes);
  const auto* entry = proxy_.directory().Find(target.endpoint);
  if (entry != nullptr && entry->record.zone != settings_.zone) {
    const Labels zone = {{"zone", entry->record.zone}};
    link.other_zone_statements =
        &counters_.GetCounter("goldcrest_other_zone_statements_total", zone);
    link.other_zone_bytes =
        &counters_.GetCounter("goldcrest_other_zone_bytes_total", zone);
  }
  const platform::SocketAddress address =
      entry == nullptr ? platform::SocketAddress()
                       : platform::ParseAddress(entry->record.address);
  link.socket->Connect(
      address.host, address.port, kConnectTimeout,
      platform::EncodeEndpointStart(target.group, target.customer,
                                    target.endpoint),
      {[this, id](std::string_view line) { OnEndpointLine(id, line); },
       [this, id](const std::string& cause) { OnEndpointClosed(id, cause); },
       [this, id] { callers_.OnSessionMemory(proxy_.SessionOf(id)); }});
  counters_.GetCounter("goldcrest_connections_opened_total").Add();
}

void EntryService::OnEndpointLine(ConnectionId id, std::string_view line) {
  const auto it = endpoint_connections_.find(id);
  if (it == endpoint_connections_.end())
    return;
  EndpointConnection& link = it->second;
  if (link.other_zone_bytes != nullptr)
    link.other_zone_bytes->Add(line.size() + kLineEndBytes);
  switch (link.decoder.OnLine(line)) {
    case platform::AnswerDecoder::Step::kMore:
      if (link.decoder.HeldBytes() >= kMaxHeldAnswerBytes)
        PassRows(id, link);
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

statements::SessionMemory EntryService::MemoryOf(SessionId session) const {
  statements::SessionMemory memory = proxy_.MemoryOf(session);
  const auto it = endpoint_connections_.find(memory.connection);
  if (it == endpoint_connections_.end())
    return memory;
  const EndpointConnection& link = it->second;
  memory.total_bytes += link.decoder.HeldBytes() + link.socket->HeldInput() +
                        link.socket->HeldOutput();
  return memory;
}

void EntryService::PassRows(ConnectionId id, EndpointConnection& link) {
  const SessionId session =
      proxy_.OnRows(SystemClock::Now(), id, link.decoder.TakeRows());
  if (session == 0 || !IsOutputFull(session))
    return;
  link.socket->SetReading(false);
  paused_endpoints_[session] = id;
}

bool EntryService::IsOutputFull(SessionId session) const {
  const std::string entry = proxy_.RemoteEntryOf(session);
  return entry.empty()
             ? callers_.IsOutputFull(session)
             : relay_links_->QueuedBytes(entry) > kMaxRelayOutputBytes;
}

// Resumes answers to other entries whose links have room again, or whose
// sessions have ended.
void EntryService::ContinueRelayedAnswers() {
  std::vector<SessionId> resumed;
  for (const auto& [session, id] : paused_endpoints_) {
    if (!callers_.Contains(session) && !IsOutputFull(session))
      resumed.push_back(session);
  }
  for (const SessionId session : resumed)
    ContinueEndpoint(session);
}

void EntryService::ContinueEndpoint(SessionId session) {
  const auto paused = paused_endpoints_.find(session);
  if (paused == paused_endpoints_.end())
    return;
  const auto it = endpoint_connections_.find(paused->second);
  if (it != endpoint_connections_.end())
    it->second.socket->SetReading(true);
  paused_endpoints_.erase(paused);
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
  ConnectWantedRelays();
  ContinueRelayedAnswers();
  callers_.Tick(now);
  controllers_.Tick(now);
  counters_.GetGauge("goldcrest_zones_evacuated")
      .Set(static_cast<std::int64_t>(proxy_.evacuations().size()));
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
    callers_.StopAccepting();
    log_.LogEvent("stopped",
                  {{"sessions", sessions}, {"unanswered", unanswered}});
  }
  if (callers_.HasClosing() && elapsed < grace * 11 / 12)
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
