#include "fleet.h"

#include <algorithm>
#include <stdexcept>

#include <fmt/format.h>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "goldcrest/types/digest.h"
#include "wait.h"

namespace goldcrest::process_tests {
namespace {

namespace json = boost::json;
using settings::HttpAnswer;
using settings::HttpCall;
using settings::HttpClient;
using std::chrono::milliseconds;

constexpr std::size_t kControlMembers = 3;
// A new fleet serves requests after about 2 s; the margin allows for a busy
// machine.
constexpr milliseconds kStartTimeout{30'000};
constexpr milliseconds kCallTimeout{12'000};
constexpr milliseconds kProbeTimeout{1'000};
constexpr milliseconds kSilencedCallTimeout{200};

std::optional<HttpAnswer> CallOnce(std::uint16_t port,
                                   const HttpCall& call,
                                   milliseconds timeout) {
  return HttpClient("127.0.0.1", port).Call(call, timeout);
}

std::string StringMember(const json::object& object, std::string_view member) {
  const json::value* value = object.if_contains(member);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

json::object Key(const char* name, const char* customer, const char* key) {
  return {{"kind", "key"},
          {"name", name},
          {"customer", customer},
          {"digest", ToHex(Sha256(key))}};
}

json::object Quota(const char* name, const char* callers, int rate, int burst) {
  return {{"kind", "quota"}, {"name", name},   {"callers", callers},
          {"rate", rate},    {"burst", burst}, {"order", 1}};
}

json::object Access(const char* name,
                    const char* callers,
                    const char* mode,
                    const char* durability,
                    int order) {
  return {{"kind", "access"}, {"name", name}, {"callers", callers},
          {"endpoints", ""},  {"mode", mode}, {"durability", durability},
          {"order", order}};
}

}  // namespace

Fleet::Fleet(const FleetOptions& options) : options_(options) {
  for (std::size_t i = 1; i <= kControlMembers + options_.entries; ++i)
    ports_.try_emplace(fmt::format("e{}", i));
  for (const char* endpoint : {"b1", "b2", "b3"})
    endpoint_ports_.try_emplace(endpoint);
  folder_.Write("announce.secret", "announce-secret\n");
  for (const auto& [instance, ports] : ports_) {
    WriteSettings(instance);
    StartDaemon(instance, true);
  }
  for (const auto& [endpoint, port] : endpoint_ports_)
    StartEndpoint(endpoint);
  AwaitHealthy(Instances());
  Configure();
  Caller caller(kHallKey);
  WaitUntilOrThrow("the first write", kStartTimeout, [&] {
    return std::ranges::all_of(Instances(), [&](const std::string& instance) {
      return caller.Write(CallerPort(instance), "set started yes").Succeeded();
    });
  });
}

Fleet::~Fleet() = default;

std::string Fleet::DaemonProgram() {
  return GOLDCREST_DAEMON;
}

std::vector<std::string> Fleet::Instances() const {
  std::vector<std::string> names;
  for (const auto& [instance, ports] : ports_)
    names.push_back(instance);
  return names;
}

std::uint16_t Fleet::CallerPort(const std::string& instance) const {
  return ports_.at(instance).caller.number();
}

std::uint16_t Fleet::OperatorPort(const std::string& instance) const {
  return ports_.at(instance).operators.number();
}

std::uint16_t Fleet::EndpointPort(const std::string& endpoint) const {
  return endpoint_ports_.at(endpoint).number();
}

ChildProcess& Fleet::Daemon(const std::string& instance) {
  return *processes_.at(instance);
}

ChildProcess& Fleet::Endpoint(const std::string& endpoint) {
  return *processes_.at(endpoint);
}

void Fleet::WriteSettings(const std::string& instance) const {
  std::string members;
  bool control = false;
  for (std::size_t i = 1; i <= kControlMembers; ++i) {
    const std::string name = fmt::format("e{}", i);
    members +=
        fmt::format("  {{ instance = \"{}\", address = \"127.0.0.1:{}\" }},\n",
                    name, ports_.at(name).peer.number());
    control = control || name == instance;
  }
  const Ports& ports = ports_.at(instance);
  folder_.Write(instance + ".toml",
                fmt::format(
                    R"(cluster = "process-tests"
instance = "{0}"
zone = "zone-1"
[entry]
caller_listen = "127.0.0.1:{1}"
operator_listen = "127.0.0.1:{2}"
peer_listen = "127.0.0.1:{3}"
{4}
[control]
enabled = {5}
data_folder = "data-{0}"
members = [
{6}]
[operator]
token_digest = "{7}"
[announce]
secret_file = "announce.secret"
[log]
level = "debug"
)",
                    instance, ports.caller.number(), ports.operators.number(),
                    ports.peer.number(), options_.entry_settings, control,
                    members, ToHex(Sha256(kOperatorToken))));
}

void Fleet::StartDaemon(const std::string& instance, bool bootstrap) {
  std::vector<std::string> command = {
      GOLDCREST_DAEMON, "run", "--config",
      (folder_.path() / (instance + ".toml")).string()};
  if (bootstrap)
    command.emplace_back("--bootstrap");
  processes_[instance] = std::make_unique<ChildProcess>(
      command, folder_.path() / (instance + ".log"));
}

void Fleet::StartEndpoint(const std::string& endpoint) {
  std::vector<std::string> command = {
      GOLDCREST_STANDIN,
      "--endpoint=" + endpoint,
      "--group=bookings",
      "--zone=zone-1",
      fmt::format("--port={}", EndpointPort(endpoint)),
      "--lag-ms=5",
      "--announce-secret-file=" +
          (folder_.path() / "announce.secret").string()};
  for (const auto& [name, port] : endpoint_ports_)
    command.push_back(
        fmt::format("--members={}=127.0.0.1:{}", name, port.number()));
  for (const std::string& instance : Instances())
    command.push_back(
        fmt::format("--announce=127.0.0.1:{}", CallerPort(instance)));
  command.insert(command.end(), options_.standin_flags.begin(),
                 options_.standin_flags.end());
  processes_[endpoint] = std::make_unique<ChildProcess>(
      command, folder_.path() / (endpoint + ".log"));
}

bool Fleet::Healthy(const std::string& instance) const {
  const auto answer = CallOnce(CallerPort(instance),
                               {"GET", "/healthz", "", {}}, kProbeTimeout);
  return answer && answer->status == 200;
}

void Fleet::AwaitHealthy(const std::vector<std::string>& instances) const {
  for (const std::string& instance : instances) {
    WaitUntilOrThrow(("health of " + instance).c_str(), kStartTimeout,
                     [&] { return Healthy(instance); });
  }
}

Reply Fleet::SendOperatorRequest(const std::string& instance,
                                 const std::string& method,
                                 const std::string& target,
                                 const json::object& body) const {
  HttpCall call{method, target, body.empty() ? "" : json::serialize(body), {}};
  call.headers["Authorization"] = std::string("Bearer ") + kOperatorToken;
  return ParseReply(CallOnce(OperatorPort(instance), call, kCallTimeout), true);
}

void Fleet::Configure() const {
  const json::array objects = {
      json::object{{"kind", "customer"},
                   {"name", "hall"},
                   {"labels", {{"plan", "office"}}}},
      json::object{{"kind", "customer"},
                   {"name", "shop"},
                   {"labels", {{"plan", "small"}}}},
      json::object{{"kind", "customer"},
                   {"name", "yard"},
                   {"labels", {{"plan", "fast"}}}},
      Key("k-yard", "yard", kYardKey),
      Key("k-hall", "hall", kHallKey),
      Key("k-shop", "shop", kShopKey),
      Quota("offices", "plan=office", 100'000, 50'000),
      Quota("shops", "plan=small", kShopRate, kShopBurst),
      Access("reads", "plan", "read", "majority", 1),
      Access("fast-writes", "plan=fast", "write", "primary", 2),
      Access("writes", "plan", "write", "majority", 3)};
  Reply reply;
  // The leader may be elected only after the health checks succeed, so the
  // first attempts may be refused. The change id makes retries safe.
  WaitUntilOrThrow("configuration", kStartTimeout, [&] {
    reply = SendOperatorRequest("e1", "POST", "/v1/changes",
                                {{"change_id", "setup"},
                                 {"base_revision", 0},
                                 {"author", "committee"},
                                 {"objects", objects}});
    return reply.Succeeded() || reply.status == 400;
  });
  if (!reply.Succeeded())
    throw std::runtime_error(json::serialize(reply.body));
}

json::object Fleet::FetchControlStatus() const {
  for (const std::string& instance : Instances()) {
    HttpCall call{"GET", "/v1/status", "", {}};
    call.headers["Authorization"] = std::string("Bearer ") + kOperatorToken;
    const Reply reply =
        ParseReply(CallOnce(OperatorPort(instance), call, kProbeTimeout), true);
    if (reply.Succeeded() && reply.body.contains("control"))
      return reply.body.at("control").as_object();
  }
  return {};
}

std::string Fleet::Leader() const {
  return StringMember(FetchControlStatus(), "leader");
}

std::string Fleet::GroupField(std::string_view field) const {
  const json::object status = FetchControlStatus();
  if (!status.contains("groups"))
    return "";
  for (const json::value& group : status.at("groups").as_array()) {
    if (StringMember(group.as_object(), "group") == "bookings")
      return StringMember(group.as_object(), field);
  }
  return "";
}

std::string Fleet::Coordinator() const {
  return GroupField("coordinator");
}

std::string Fleet::Primary() const {
  return GroupField("primary");
}

std::string Fleet::InstanceOtherThan(
    const std::vector<std::string>& others) const {
  const std::vector<std::string> instances = Instances();
  // Reverse order, so that entries come before control members.
  for (auto it = instances.rbegin(); it != instances.rend(); ++it) {
    if (std::ranges::find(others, *it) == others.end())
      return *it;
  }
  throw std::runtime_error("the fleet has no other instance");
}

void Fleet::SetFault(const std::string& endpoint,
                     const std::string& kind,
                     std::int64_t value) const {
  const json::object body = {{"kind", kind}, {"value", value}};
  const HttpCall call{"POST", "/v1/test/fault", json::serialize(body), {}};
  if (kind == "silence_connections") {
    // The fault also silences the connection of this call, so no answer
    // arrives.
    CallOnce(EndpointPort(endpoint), call, kSilencedCallTimeout);
    return;
  }
  const auto answer = CallOnce(EndpointPort(endpoint), call, kCallTimeout);
  if (!answer || answer->status != 200)
    throw std::runtime_error("setting the fault " + kind + " failed");
}

std::string Fleet::FetchReceivedRequests(const std::string& endpoint) const {
  const auto answer =
      CallOnce(EndpointPort(endpoint), {"GET", "/v1/test/seen_headers", "", {}},
               kCallTimeout);
  if (!answer || answer->status != 200)
    throw std::runtime_error("no list of received requests from " + endpoint);
  return answer->body;
}

std::string Fleet::ReadLog(const std::string& process) const {
  return folder_.Read(process + ".log");
}

std::filesystem::path Fleet::DataFolder(const std::string& instance) const {
  return folder_.path() / ("data-" + instance);
}

}  // namespace goldcrest::process_tests
