#include "programs/goldcrestd/daemon.h"

#include <openssl/rand.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <random>

#include "goldcrest/adapters/system_clock.h"
#include "programs/goldcrestd/control_json.h"

namespace goldcrest {
namespace {

using adapters::HttpRequest;
using adapters::HttpServer;
using adapters::SystemClock;

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kOperatorProposalTimeout = std::chrono::seconds(8);
constexpr std::size_t kSessionSecretBytes = 32;

std::string RandomBytes(std::size_t count) {
  std::string bytes(count, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                 static_cast<int>(count)) != 1)
    throw std::runtime_error("OpenSSL could not generate random bytes");
  return bytes;
}

std::int64_t WallMilliseconds() {
  return SystemClock::WallNow().count();
}

std::string ReadSecret(const std::string& path) {
  std::ifstream file(path);
  std::string secret((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
  while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r'))
    secret.pop_back();
  return secret;
}

std::vector<std::string> MemberNames(const settings::DaemonSettings& settings) {
  std::vector<std::string> names;
  for (const settings::ControlMember& member : settings.control.members)
    names.push_back(member.instance);
  return names;
}

messages::InstanceInfo LocalInstanceInfo(
    const settings::DaemonSettings& settings) {
  messages::InstanceInfo self;
  self.instance = settings.instance;
  self.zone = settings.zone;
  self.host = settings.entry.peer_listen.host;
  self.port = settings.entry.peer_listen.port;
  self.incarnation = WallMilliseconds();
  return self;
}

}  // namespace

Daemon::Daemon(const settings::DaemonSettings& settings,
               std::shared_ptr<adapters::Logger> logger,
               storage::OpenedLog log,
               bool bootstrap)
    : settings_(settings),
      logger_(std::move(logger)),
      announce_secret_(ReadSecret(settings.announce.secret_file)),
      store_(std::move(log.store)),
      pool_(static_cast<std::size_t>(settings.entry.workers)),
      gateway_(pool_.Context()),
      scheduler_(pool_.Context()) {
  const messages::InstanceInfo self = LocalInstanceInfo(settings_);
  entry::EntryNodeOptions options;
  options.control.self = self;
  options.control.control_members = MemberNames(settings_);
  entry_ = std::make_unique<entry::EntryNode>(
      options, entry::EntryNodeHooks{RandomBytes, WallMilliseconds});

  if (store_ != nullptr) {
    consensus::ReplicaOptions replica;
    replica.self = settings_.instance;
    if (bootstrap)
      replica.bootstrap_members = MemberNames(settings_);
    entry::ControlNodeHooks hooks;
    hooks.persist = [this](const std::vector<consensus::LogWrite>& writes) {
      return static_cast<bool>(store_->Apply(writes));
    };
    hooks.random_secret = [] { return RandomBytes(kSessionSecretBytes); };
    hooks.wall_ms = WallMilliseconds;
    control_ = std::make_unique<entry::ControlNode>(
        replica, control::LeaderOptions(), std::move(log.state),
        std::mt19937_64(std::random_device()()), hooks);
  }

  operator_api_ = std::make_unique<OperatorApi>(
      settings_.operators.token_digest, MakeOperatorHooks());

  adapters::PeerTransportOptions peer_options;
  peer_options.cluster = settings_.cluster;
  peer_options.self = self;
  peer_options.host = settings_.entry.peer_listen.host;
  peer_options.port = settings_.entry.peer_listen.port;
  peers_ = std::make_unique<adapters::PeerTransport>(
      pool_.Context(), peer_options, logger_,
      [this](const std::string& from, const messages::PeerMessage& message) {
        DispatchMessage(from, message);
      });

  HttpServer::Handler on_caller = [this](HttpRequest request,
                                         HttpServer::Respond respond) {
    HandleCallerRequest(std::move(request), std::move(respond));
  };
  adapters::HttpServerOptions http;
  http.host = settings_.entry.caller_listen.host;
  http.port = settings_.entry.caller_listen.port;
  http.max_connections =
      static_cast<std::size_t>(settings_.entry.max_connections);
  http.max_body_bytes =
      static_cast<std::size_t>(settings_.entry.max_body_bytes);
  http.header_timeout = settings_.entry.header_timeout;
  http.body_timeout = settings_.entry.body_timeout;
  http.idle_timeout = settings_.entry.idle_timeout;
  caller_server_ =
      std::make_unique<HttpServer>(pool_.Context(), http, on_caller);

  http.host = settings_.entry.operator_listen.host;
  http.port = settings_.entry.operator_listen.port;
  operator_server_ = std::make_unique<HttpServer>(
      pool_.Context(), http,
      [this](const HttpRequest& request, HttpServer::Respond respond) {
        operator_api_->Handle(request, std::move(respond));
      });
}

Daemon::~Daemon() {
  Stop();
}

void Daemon::Start() {
  UpdatePeers();
  peers_->Start();
  operator_server_->Start();
  caller_server_->Start();
  TickEntry();
  if (control_ != nullptr)
    TickControl();
  logger_->Info("started", {{"control", control_ != nullptr ? "yes" : "no"},
                            {"caller_port", caller_server_->Port()},
                            {"operator_port", operator_server_->Port()},
                            {"peer_port", peers_->Port()}});
}

void Daemon::Stop() {
  pool_.Stop();
}

void Daemon::RunEntryStep(const EntryStep& step) {
  entry::EntryEffects effects;
  {
    const std::lock_guard lock(entry_mutex_);
    effects = step(*entry_, SystemClock::Now());
  }
  ApplyEffects(effects);
}

void Daemon::RunControlStep(const ControlStep& step) {
  entry::ControlEffects effects;
  {
    const std::lock_guard lock(control_mutex_);
    effects = step(*control_, SystemClock::Now());
  }
  ApplyEffects(effects);
}

void Daemon::ApplyEffects(const entry::EntryEffects& effects) {
  if (effects.view_changed)
    UpdatePeers();
  for (const auto& [to, message] : effects.messages)
    Send(to, message);
  for (const coordinator::EndpointCall& call : effects.calls) {
    gateway_.Call(call, [this, id = call.id](coordinator::CallResult result) {
      pool_.Post([this, id, result = std::move(result)] {
        RunEntryStep([&](entry::EntryNode& node, Time now) {
          return node.OnCallResult(id, result, now);
        });
      });
    });
  }
  for (const auto& [endpoint, pin] : effects.closed_pins)
    gateway_.ClosePin(endpoint, pin);
  for (const auto& [endpoint, pin] : effects.released_pins)
    gateway_.ReleasePin(endpoint, pin);
  for (const entry::CallerAnswer& answer : effects.answers)
    AnswerCaller(answer);
  for (const entry::OperatorAnswer& answer : effects.operator_answers)
    operator_api_->OnProposalAnswer(answer.id, answer.response);
  for (const messages::JournalEntry& entry : effects.journal)
    logger_->Info(entry.kind, {{"group", entry.subject},
                               {"cause", entry.cause},
                               {"term", entry.inputs.at("term")},
                               {"epoch", entry.inputs.at("epoch")}});
}

void Daemon::ApplyEffects(const entry::ControlEffects& effects) {
  for (const auto& [to, message] : effects.messages)
    Send(to, message);
  if (!effects.failed)
    return;
  logger_->Error("log_failed", ResultCode::kLogWriteFailed,
                 {{"folder", settings_.control.data_folder.string()}});
  if (on_failure_)
    on_failure_();
}

void Daemon::Send(const std::string& to, messages::PeerMessage message) {
  if (to == settings_.instance) {
    pool_.Post([this, to, message = std::move(message)] {
      DispatchMessage(to, message);
    });
    return;
  }
  if (peers_->Send(to, message))
    return;
  if (!message.__isset.forward && !message.__isset.report)
    return;
  pool_.Post([this, to, message = std::move(message)] {
    RunEntryStep([&](entry::EntryNode& node, Time now) {
      return node.OnNotSent(to, message, now);
    });
  });
}

void Daemon::DispatchMessage(const std::string& from,
                             const messages::PeerMessage& message) {
  if (message.__isset.query) {
    AnswerQuery(from, message.query);
    return;
  }
  if (message.__isset.drain) {
    if (on_drain_request_)
      on_drain_request_();
    return;
  }
  if (message.__isset.query_response) {
    operator_api_->OnQueryAnswer(message.query_response);
    return;
  }
  const bool for_control = message.__isset.consensus ||
                           message.__isset.report || message.__isset.propose;
  if (for_control && control_ != nullptr) {
    RunControlStep([&](entry::ControlNode& node, Time now) {
      return node.OnMessage(from, message, now);
    });
  } else if (!for_control) {
    RunEntryStep([&](entry::EntryNode& node, Time now) {
      return node.OnMessage(from, message, now);
    });
  }
}

void Daemon::AnswerQuery(const std::string& from,
                         const messages::QueryRequest& query) {
  messages::QueryResponse response;
  response.id = query.id;
  response.code = ToNumber(ResultCode::kNotLeader);
  if (control_ != nullptr) {
    const std::lock_guard lock(control_mutex_);
    if (control_->IsLeader()) {
      const std::size_t query_start = query.path.find('?');
      const std::string subject = query_start == std::string::npos
                                      ? ""
                                      : query.path.substr(query_start + 1);
      response.code = ToNumber(ResultCode::kOk);
      response.body = query.path.starts_with("/v1/status")
                          ? StatusJson(*control_, SystemClock::Now())
                          : JournalJson(control_->state(), subject);
    }
  }
  messages::PeerMessage message;
  message.__set_query_response(response);
  Send(from, std::move(message));
}

void Daemon::UpdatePeers() {
  std::map<std::string, adapters::PeerAddress> addresses;
  for (const settings::ControlMember& member : settings_.control.members)
    addresses[member.instance] = {member.address.host, member.address.port};
  {
    const std::lock_guard lock(entry_mutex_);
    for (const messages::InstanceInfo& info : entry_->view().instances())
      addresses[info.instance] = {info.host,
                                  static_cast<std::uint16_t>(info.port)};
    for (const auto& [name, group] : entry_->view().groups())
      gateway_.SetEndpoints(entry_->view().EndpointsOf(name));
  }
  addresses.erase(settings_.instance);
  peers_->SetPeers(addresses);
}

void Daemon::TickEntry() {
  bool has_lease = false;
  RunEntryStep([&](entry::EntryNode& node, Time now) {
    has_lease = node.HasControlLease(now);
    return node.Tick(now);
  });
  if (serving_.exchange(has_lease) != has_lease) {
    logger_->Log(
        has_lease ? adapters::LogLevel::kInfo : adapters::LogLevel::kWarning,
        has_lease ? "serving" : "not_serving",
        has_lease ? ResultCode::kOk : ResultCode::kNoControlContact);
  }
  operator_api_->ExpireQueries(SystemClock::Now());
  if (draining_)
    ContinueDrain();
  scheduler_.After(kTickInterval, [this] { TickEntry(); });
}

void Daemon::TickControl() {
  RunControlStep(
      [](entry::ControlNode& node, Time now) { return node.Tick(now); });
  scheduler_.After(kTickInterval, [this] { TickControl(); });
}

void Daemon::BeginDrain(std::function<void()> done) {
  if (draining_.exchange(true))
    return;
  logger_->Info("drain_started");
  on_drained_ = std::move(done);
  listener_closes_at_ = SystemClock::Now() + settings_.entry.drain_grace;
  {
    const std::lock_guard lock(entry_mutex_);
    entry_->BeginDrain();
  }
  if (control_ != nullptr) {
    RunControlStep([](entry::ControlNode& node, Time now) {
      return node.TransferLeadership(now);
    });
  }
}

void Daemon::ContinueDrain() {
  const Time now = SystemClock::Now();
  if (now < listener_closes_at_)
    return;
  caller_server_->StopAccepting();
  caller_server_->BeginDrain();
  if (caller_server_->OpenConnections() > 0)
    return;
  bool drained = false;
  {
    const std::lock_guard lock(entry_mutex_);
    entry_->OnCallerConnectionsClosed();
    drained = entry_->IsDrained();
  }
  if (!drained || on_drained_ == nullptr)
    return;
  logger_->Info("drained");
  std::exchange(on_drained_, nullptr)();
}

OperatorApiHooks Daemon::MakeOperatorHooks() {
  OperatorApiHooks hooks;
  hooks.propose = [this](std::uint64_t id,
                         const messages::ProposeRequest& request) {
    RunEntryStep([&](entry::EntryNode& node, Time now) {
      return node.OnOperatorProposal(id, request,
                                     now + kOperatorProposalTimeout, now);
    });
  };
  hooks.query = [this](const messages::QueryRequest& query) {
    std::string target;
    {
      const std::lock_guard lock(entry_mutex_);
      target = entry_->control_target();
    }
    messages::PeerMessage message;
    message.__set_query(query);
    Send(target, std::move(message));
  };
  hooks.read_configuration = [this](const auto& read) {
    const std::lock_guard lock(entry_mutex_);
    std::vector<messages::EndpointInfo> endpoints;
    for (const auto& [name, group] : entry_->view().groups()) {
      const auto& members = entry_->view().EndpointsOf(name);
      endpoints.insert(endpoints.end(), members.begin(), members.end());
    }
    read(entry_->view().configuration(), endpoints);
  };
  hooks.drain = [this](const std::string& instance) {
    bool known = false;
    {
      const std::lock_guard lock(entry_mutex_);
      known = std::ranges::any_of(entry_->view().instances(),
                                  [&](const messages::InstanceInfo& info) {
                                    return info.instance == instance;
                                  });
    }
    if (!known)
      return false;
    messages::PeerMessage message;
    message.__set_drain(true);
    Send(instance, std::move(message));
    return true;
  };
  hooks.refusals = &refusal_counters_;
  return hooks;
}

}  // namespace goldcrest
