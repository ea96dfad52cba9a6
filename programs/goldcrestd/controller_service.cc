#include "programs/goldcrestd/controller_service.h"

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <random>
#include <utility>

#include "goldcrest/adapters/json.h"
#include "goldcrest/adapters/system_clock.h"
#include "goldcrest/platform/endpoint_heartbeat.h"
#include "goldcrest/platform/routing_document.h"
#include "goldcrest/storage/storage_error.h"
#include "programs/goldcrestd/platform_peers.h"

namespace goldcrest {
namespace {

namespace leaf = boost::leaf;

using adapters::HttpResponse;
using adapters::SystemClock;
using fleet::ConfigurationResult;
using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(20);

// The process does nothing else during a write. The other members elect a new
// leader after three times this.
constexpr milliseconds kSlowWrite{100};

// The failover planner resends a promotion that was not answered in this time.
constexpr Duration kPromotionTimeout = milliseconds(900);

constexpr Duration kReopenInterval = milliseconds(300);

// Delay between the start of a planned stop and the exit of the process: a
// successor is elected and pending answers are sent.
constexpr Duration kLeadershipTransferTime = milliseconds(600);

// Time in which the last answers are sent.
constexpr Duration kLastAnswerTime = milliseconds(50);

HttpResponse ErrorResponse(int status, std::string_view message) {
  adapters::JsonWriter json;
  json.BeginObject().Member("error", message).EndObject();
  HttpResponse response;
  response.status = status;
  response.body = json.Take();
  return response;
}

}  // namespace

ControllerService::ControllerService(boost::asio::io_context& context,
                                     const platform::BootSettings& settings,
                                     storage::OpenedLog opened_log,
                                     OpenLog open_log,
                                     PlatformLog& log)
    : context_(context),
      settings_(settings),
      log_(log),
      scheduler_(context),
      open_log_(std::move(open_log)),
      store_(std::move(opened_log.store)),
      prober_(context,
              scheduler_,
              [this](const std::string& group,
                     const std::string& endpoint,
                     const fleet::ProbeResult& result) {
                if (controller_ != nullptr)
                  controller_->OnProbe(SystemClock::Now(), group, endpoint,
                                       result);
              }) {
  adapters::HttpClientOptions api;
  api.host = settings_.platform_api.host;
  api.port = settings_.platform_api.port;
  platform_api_ = std::make_unique<adapters::HttpClient>(context_, api);

  MakeController(opened_log.state);

  peers_ = std::make_unique<adapters::PeerTransport>(
      context_, PeerOptions(settings_, kControllerPortOffset), log_.logger(),
      [this](const std::string& from, const messages::PeerMessage& message) {
        if (controller_ != nullptr)
          controller_->OnMessage(SystemClock::Now(), from, message);
      },
      [this](const std::string& peer, bool up) {
        if (controller_ != nullptr)
          controller_->OnLink(peer, up);
      });
  adapters::HttpServerOptions http =
      HttpOptions(settings_.controller_listen, settings_.connection_limits);
  http.max_body_bytes = settings_.connection_limits.max_configuration_bytes;
  http_ = std::make_unique<adapters::HttpServer>(
      context_, http,
      [this](const adapters::HttpRequest& request,
             const adapters::HttpServer::Respond& respond) {
        HandleHttp(request, respond);
      });
}

ControllerService::~ControllerService() = default;

void ControllerService::MakeController(const consensus::RestoredState& state) {
  fleet::ControllerOptions options;
  options.replica = fleet::DefaultReplicaOptions();
  options.replica.self = PeerName(settings_, kControllerPortOffset);
  options.has_disk = store_ != nullptr;
  options.tolerated_losses = settings_.tolerated_losses;
  options.limit_window = LimitWindowOf(settings_);
  options.max_clock_skew = settings_.max_clock_skew;
  options.seeds = ControllerNames(settings_);
  if (settings_.first_start)
    options.replica.bootstrap_members = {options.seeds.begin(),
                                         options.seeds.end()};
  controller_ = std::make_unique<fleet::Controller>(
      SystemClock::Now(), options, state,
      std::mt19937_64(std::random_device()()), MakeHooks());
}

void ControllerService::Start() {
  peers_->SetPeers(PeerAddresses(ControllerNames(settings_)));
  peers_->Start();
  http_->Start();
  Tick();
}

fleet::ControllerHooks ControllerService::MakeHooks() {
  fleet::ControllerHooks hooks;
  hooks.send = [this](const std::string& to,
                      const messages::PeerMessage& message) {
    peers_->Send(to, message);
  };
  hooks.persist = [this](const std::vector<consensus::LogWrite>& writes) {
    return Persist(writes);
  };
  hooks.decode = [](const std::string& text) {
    return platform::DecodeRoutingDocument(text).table;
  };
  hooks.unix_time = [] { return std::chrono::system_clock::now(); };
  hooks.known_controllers = [this](const std::set<std::string>& names) {
    peers_->SetPeers(PeerAddresses(names));
  };
  hooks.probe = [this](const routing::EndpointDirectory::Entry& entry,
                       fleet::ProbePurpose purpose) {
    prober_.Probe(entry.record, purpose);
  };
  hooks.fence = [this](const routing::EndpointDirectory::Entry& entry,
                       std::int64_t term) {
    prober_.Probe(entry.record, fleet::ProbePurpose::kFence, term);
  };
  hooks.promote = [this](const messages::PrimaryAssignment& assignment) {
    Promote(assignment);
  };
  hooks.log_decision = [this](const std::string& event,
                              const std::string& subject,
                              const std::string& cause) {
    counters_.GetCounter("goldcrest_decisions_total", {{"event", event}}).Add();
    log_.LogEvent(event, {{"subject", subject}, {"cause", cause}});
  };
  return hooks;
}

bool ControllerService::Persist(
    const std::vector<consensus::LogWrite>& writes) {
  if (store_ == nullptr)
    return true;
  const Time started_at = SystemClock::Now();
  const bool written = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(store_->Apply(writes));
        return true;
      },
      [this](const storage::StorageError& error) {
        log_.LogEvent("log_write_failed", {{"cause", error.message}});
        return false;
      },
      [] { return false; });
  const auto taken =
      std::chrono::duration_cast<milliseconds>(SystemClock::Now() - started_at);
  if (taken >= kSlowWrite)
    log_.LogEvent("log_write_slow", {{"age_ms", taken.count()}});
  return written;
}

void ControllerService::Tick() {
  const Time now = SystemClock::Now();
  prober_.CloseIdleConnections(now);
  if (controller_ != nullptr)
    controller_->Tick(now);
  if (controller_ != nullptr)
    counters_.GetGauge("goldcrest_zones_evacuated")
        .Set(static_cast<std::int64_t>(
            controller_->state().evacuated_zones().size()));
  if (controller_ != nullptr && controller_->HasFailed())
    Suspend();
  scheduler_.After(kTickInterval, [this] { Tick(); });
}

void ControllerService::Suspend() {
  log_.LogEvent("suspended", {{"folder", settings_.data_folder}});
  controller_->Abandon(SystemClock::Now());
  controller_.reset();
  store_.reset();
  scheduler_.After(kReopenInterval, [this] { TryResume(); });
}

void ControllerService::TryResume() {
  enum class Result { kOpened, kNoRoom, kDamaged };
  const Result result = leaf::try_handle_all(
      [this]() -> leaf::result<Result> {
        BOOST_LEAF_AUTO(opened, open_log_());
        store_ = std::move(opened.store);
        MakeController(opened.state);
        return Result::kOpened;
      },
      [this](const storage::StorageError& error) {
        log_.LogEvent("log_not_opened", {{"cause", error.message}});
        return error.code == ResultCode::kLogWriteFailed ? Result::kNoRoom
                                                         : Result::kDamaged;
      },
      [] { return Result::kDamaged; });
  if (result == Result::kOpened)
    return log_.LogEvent("resumed", {});
  if (result == Result::kNoRoom) {
    scheduler_.After(kReopenInterval, [this] { TryResume(); });
    return;
  }
  if (on_failure_)
    on_failure_();
}

void ControllerService::HandleHttp(
    const adapters::HttpRequest& request,
    const adapters::HttpServer::Respond& respond) {
  const auto call = platform::DecodeHttpRequest(request.method, request.path);
  if (!call)
    return respond(ErrorResponse(404, "no such call"));
  if (controller_ == nullptr &&
      call->kind != platform::HttpRequestKind::kMetrics &&
      call->kind != platform::HttpRequestKind::kReadiness)
    return respond(ErrorResponse(503, "suspended or stopping"));
  switch (call->kind) {
    case platform::HttpRequestKind::kHeartbeat:
      return respond(HandleHeartbeat(call->endpoint, request.body));
    case platform::HttpRequestKind::kDeregistration:
      return respond(HandleDeregistration(call->endpoint, request.body));
    case platform::HttpRequestKind::kPutConfiguration:
      return HandlePutConfiguration(request.body, respond);
    case platform::HttpRequestKind::kGetConfiguration:
      return respond(
          ToResponse(controller_->Get(SystemClock::Now()), request.path));
    case platform::HttpRequestKind::kStartEvacuation:
    case platform::HttpRequestKind::kEndEvacuation:
      return HandleEvacuation(*call, request.path, respond);
    case platform::HttpRequestKind::kMetrics: {
      HttpResponse response;
      response.content_type = adapters::Counters::kContentType;
      response.body = counters_.Render();
      return respond(response);
    }
    case platform::HttpRequestKind::kReadiness:
      return respond(HttpResponse());
  }
}

HttpResponse ControllerService::HandleHeartbeat(const std::string& endpoint,
                                                const std::string& body) {
  std::string problem;
  const auto record = platform::DecodeHeartbeat(endpoint, body, problem);
  if (!record) {
    log_.LogEvent("heartbeat_refused",
                  {{"endpoint", endpoint}, {"cause", problem}});
    return ErrorResponse(400, problem);
  }
  controller_->OnHeartbeat(SystemClock::Now(), *record);
  HttpResponse response;
  response.body = platform::EncodeHeartbeatAnswer("");
  return response;
}

HttpResponse ControllerService::HandleDeregistration(
    const std::string& endpoint,
    const std::string& body) {
  std::string problem;
  const auto departure =
      platform::DecodeDeregistration(endpoint, body, problem);
  if (!departure) {
    log_.LogEvent("deregistration_refused",
                  {{"endpoint", endpoint}, {"cause", problem}});
    return ErrorResponse(400, problem);
  }
  controller_->OnDeparture(SystemClock::Now(), *departure);
  return HttpResponse();
}

void ControllerService::HandlePutConfiguration(
    const std::string& body,
    const adapters::HttpServer::Respond& respond) {
  const platform::DecodedDocument decoded =
      platform::DecodeRoutingDocument(body);
  if (!decoded.table) {
    log_.LogEvent("configuration_refused", {{"cause", decoded.problem}});
    return respond(ErrorResponse(400, decoded.problem));
  }
  const std::int64_t version = decoded.table->version;
  controller_->Put(
      SystemClock::Now(), version, body,
      [this, respond, version](const ConfigurationResult& result) {
        log_.LogEvent(
            "configuration_answered",
            {{"version", version}, {"result", static_cast<int>(result.kind)}});
        respond(ToResponse(result,
                           platform::ConfigurationPath(
                               platform::HttpRequestKind::kPutConfiguration)));
      });
}

void ControllerService::HandleEvacuation(
    const platform::DecodedHttpRequest& call,
    const std::string& path,
    const adapters::HttpServer::Respond& respond) {
  if (const std::string problem = platform::FindZoneProblem(call.zone);
      !problem.empty()) {
    log_.LogEvent("evacuation_refused", {{"cause", problem}});
    return respond(ErrorResponse(400, problem));
  }
  const bool active = call.kind == platform::HttpRequestKind::kStartEvacuation;
  controller_->Evacuate(SystemClock::Now(), call.zone, active,
                        [this, respond, path, active,
                         zone = call.zone](const ConfigurationResult& result) {
                          log_.LogEvent(
                              "evacuation_answered",
                              {{"zone", zone},
                               {"active", active},
                               {"result", static_cast<int>(result.kind)}});
                          respond(ToResponse(result, path));
                        });
}

HttpResponse ControllerService::ToResponse(const ConfigurationResult& result,
                                           std::string_view path) const {
  HttpResponse response;
  switch (result.kind) {
    case ConfigurationResult::Kind::kDone:
      response.body = result.text.empty() ? "{}" : result.text;
      return response;
    case ConfigurationResult::Kind::kNotLeader: {
      platform::SocketAddress leader = platform::ParseAddress(result.leader);
      leader.port = settings_.controller_listen.port;
      response.status = 307;
      response.headers.emplace_back(
          "Location",
          "http://" + platform::ToString(leader) + std::string(path));
      return response;
    }
    case ConfigurationResult::Kind::kUnknown:
      break;
  }
  return ErrorResponse(503, "no leader is known");
}

void ControllerService::Promote(const messages::PrimaryAssignment& assignment) {
  adapters::HttpCall call = platform::EncodePromotion(
      assignment.group, assignment.endpoint, settings_.instance,
      assignment.order, SystemClock::Now() + kPromotionTimeout);
  platform_api_->Call(
      call, [this, assignment](const adapters::HttpResult& result) {
        fleet::PromotionResult outcome = fleet::PromotionResult::kUnanswered;
        if (result.delivery == adapters::HttpDelivery::kAnswered) {
          if (result.status == 200)
            outcome = fleet::PromotionResult::kAccepted;
          else if (result.status == 409)
            outcome = fleet::PromotionResult::kRefused;
        }
        log_.LogEvent("promotion_answered", {{"endpoint", assignment.endpoint},
                                             {"order", assignment.order},
                                             {"status", result.status},
                                             {"cause", result.error}});
        if (controller_ != nullptr)
          controller_->OnPromotion(SystemClock::Now(), assignment, outcome);
      });
}

void ControllerService::BeginDrain(std::function<void()> done) {
  log_.LogEvent("stop_requested", {});
  if (controller_ != nullptr)
    controller_->BeginDrain(SystemClock::Now());
  scheduler_.After(kLeadershipTransferTime, [this, done = std::move(done)] {
    // Without a successor, calls may still wait for a commit.
    if (controller_ != nullptr)
      controller_->Abandon(SystemClock::Now());
    controller_.reset();
    scheduler_.After(kLastAnswerTime, done);
  });
}

void ControllerService::OnSettings(const platform::BootSettings& settings) {
  log_.LogEvent("settings_loaded",
                {{"seeds", settings.controller_seeds.size()}});
  settings_.controller_seeds = settings.controller_seeds;
  if (controller_ != nullptr)
    controller_->AddControllers(ControllerNames(settings));
}

}  // namespace goldcrest
