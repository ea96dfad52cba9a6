#include "platform_instance.h"

#include <dirent.h>
#include <sys/resource.h>

#include <chrono>
#include <fstream>
#include <system_error>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "fleet.h"
#include "raw_connection.h"
#include "wait.h"

namespace goldcrest::process_tests {
namespace {

constexpr std::chrono::milliseconds kTimeout{10'000};
constexpr std::chrono::milliseconds kAnswerTimeout{3'000};

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kSteadyTime{1'000};
constexpr std::chrono::milliseconds kMaxSettlingTime{30'000};

constexpr const char* kConfiguration =
    R"({"version":1,"routes":[{"name":"r","host":"db","path-prefix":"/",)"
    R"("route-kind":"bounded_staleness","timeout-ms":5000,)"
    R"("target-latency-ms":2000,"priority":1,"service":"g",)"
    R"("max-staleness-ms":1500,"public":false}],"services":[{"name":"g",)"
    R"("connection-limit":200,"sync-replicas":0}],)"
    R"("limits":{"transaction-idle-ms":3000},"tenants":[{"name":"t",)"
    R"("api-keys":["key"],"rate-per-s":10000,"burst":10000}]})";

}  // namespace

PlatformInstance::PlatformInstance(const std::string& settings) {
  WriteSettings(settings);
  Start(controller_);
  WaitUntilOrThrow("a controller", kTimeout, [this] {
    return Post("config/put", kConfiguration) == 200 && SendHeartbeat();
  });
  Start(entry_);
  WaitUntilOrThrow("an answered statement", kTimeout,
                   [this] { return ServesOrdinaryCaller(); });
}

PlatformInstance::~PlatformInstance() = default;

void PlatformInstance::WriteSettings(const std::string& settings) const {
  folder_.Write(
      "settings.json",
      fmt::format(
          R"({{{0}"node-name":"n1","ip-address":"127.0.0.1","zone":"z1",)"
          R"("listen-addresses":{{"frontend-address":"127.0.0.1:{1}",)"
          R"("ready":"127.0.0.1:{2}","control-plane":"127.0.0.1:{3}"}},)"
          R"("internal-port-range":[{4},{5}],"seed-nodes":["127.0.0.1:{3}"],)"
          R"("bootstrap":true,"data-directory":"{6}",)"
          R"("fault-tolerance":{{"machines":0}}}})",
          settings, caller_port(), readiness_port(), controller_port(),
          peer_ports_.first(), peer_ports_.second(),
          (folder_.path() / "data").string()));
}

void PlatformInstance::Start(Process& process) {
  const std::string name = process.name;
  process.child = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          "/usr/bin/env",
          "GOLDCRESTCROSS_BOOT=" + (folder_.path() / "settings.json").string(),
          "/bin/sh", "-c", "echo $$ > \"$0\"; exec \"$1\" " + name,
          (folder_.path() / (name + ".pid")).string(), Fleet::DaemonProgram()},
      folder_.path() / (name + ".log"));
}

PlatformInstance::Process& PlatformInstance::Find(Role role) {
  return role == Role::kEntry ? entry_ : controller_;
}

std::uint16_t PlatformInstance::peer_port(Role role) const {
  return role == Role::kEntry ? peer_ports_.second() : peer_ports_.first();
}

bool PlatformInstance::ServesOrdinaryCaller() const {
  try {
    const RawConnection caller(caller_port());
    caller.Send(kSessionStart);
    if (!caller.ReceiveUntil("\r\n", kAnswerTimeout).starts_with("READY"))
      return false;
    caller.Send("QUERY q1 READ ordinary\r\n");
    const std::string answer = caller.ReceiveUntil("READY", kAnswerTimeout);
    return answer.find("COMPLETE done") != std::string::npos;
  } catch (const std::system_error&) {
    return false;
  }
}

bool PlatformInstance::SendHeartbeat() {
  return Post("instances/e1/heartbeat",
              fmt::format(R"({{"service":"g","zone":"z1","state":"ready",)"
                          R"("db-role":"primary","born":1800000000000,)"
                          R"("address":"127.0.0.1:{}","sequence":{}}})",
                          database_.port(), ++sequence_)) == 200;
}

int PlatformInstance::Post(const std::string& path,
                           const std::string& body) const {
  try {
    const RawConnection connection(controller_port());
    connection.Send(
        fmt::format("POST /goldcrestcross/{} HTTP/1.1\r\nHost: test\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    path, body.size(), body));
    const std::string answer = connection.ReceiveUntil("\r\n", kAnswerTimeout);
    return answer.starts_with("HTTP/1.1 ") ? std::stoi(answer.substr(9)) : 0;
  } catch (const std::system_error&) {
    return 0;
  }
}

bool PlatformInstance::IsRunning(Role role) {
  return Find(role).child->IsRunning();
}

pid_t PlatformInstance::ProcessId(Role role) const {
  return static_cast<pid_t>(std::stol(
      folder_.Read(role == Role::kEntry ? "entry.pid" : "controller.pid")));
}

std::size_t PlatformInstance::StatusBytes(Role role,
                                          const std::string& field) const {
  std::ifstream status(fmt::format("/proc/{}/status", ProcessId(role)));
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with(field + ":"))
      return std::stoul(line.substr(field.size() + 1)) << 10U;
  }
  return 0;
}

void PlatformInstance::AwaitSteadyMemory(Role role) const {
  const auto deadline = Clock::now() + kMaxSettlingTime;
  auto changed_at = Clock::now();
  std::size_t before = 0;
  while (Clock::now() < deadline && Clock::now() - changed_at < kSteadyTime) {
    const std::size_t bytes = StatusBytes(role, "VmRSS");
    if (bytes != before)
      changed_at = Clock::now();
    before = bytes;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

std::size_t PlatformInstance::PeakResidentBytes(Role role) const {
  return StatusBytes(role, "VmHWM");
}

std::size_t PlatformInstance::OpenDescriptors(Role role) const {
  const std::string path = fmt::format("/proc/{}/fd", ProcessId(role));
  DIR* folder = opendir(path.c_str());
  if (folder == nullptr)
    return 0;
  std::size_t count = 0;
  while (const dirent* entry = readdir(folder))
    count += entry->d_name[0] != '.' ? 1 : 0;
  closedir(folder);
  return count;
}

void PlatformInstance::LimitDescriptors(Role role, std::size_t limit) const {
  const rlimit limits{.rlim_cur = limit, .rlim_max = limit};
  if (prlimit(ProcessId(role), RLIMIT_NOFILE, &limits, nullptr) != 0)
    throw std::system_error(errno, std::generic_category(), "prlimit");
}

std::string PlatformInstance::ReadLog(Role role) const {
  return folder_.Read(role == Role::kEntry ? "entry.log" : "controller.log");
}

}  // namespace goldcrest::process_tests
