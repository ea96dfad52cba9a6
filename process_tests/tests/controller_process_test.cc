#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "child_process.h"
#include "fleet.h"
#include "raw_connection.h"
#include "reserved_port.h"
#include "temporary_folder.h"
#include "wait.h"

namespace goldcrest::process_tests {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{5'000};

// A controller that is the only member of its fleet.
class ControllerProcess {
 public:
  ControllerProcess() {
    folder_.Write("settings.json", Settings());
    process_ = std::make_unique<ChildProcess>(
        std::vector<std::string>{
            "/usr/bin/env",
            "GOLDCRESTCROSS_BOOT=" +
                (folder_.path() / "settings.json").string(),
            "/bin/sh", "-c", "echo $$ > \"$0\"; exec \"$1\" controller",
            (folder_.path() / "pid").string(), Fleet::DaemonProgram()},
        folder_.path() / "log");
    WaitUntilOrThrow("leadership", kTimeout,
                     [this] { return Get() == 200 || !process_->IsRunning(); });
  }

  // Returns the status, or 0 without an answer.
  int Post(const std::string& path, const std::string& body) {
    return Send(
        fmt::format("POST /goldcrestcross/{} HTTP/1.1\r\nHost: test\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    path, body.size(), body));
  }
  int Get() {
    return Send(
        "GET /goldcrestcross/config/get HTTP/1.1\r\nHost: test\r\n\r\n");
  }
  int Put(int version) {
    return Post(
        "config/put",
        fmt::format(R"({{"version":{},"routes":[],"services":[]}})", version));
  }
  int Beat(const std::string& fields) {
    return Post("instances/e1/heartbeat", "{" + fields + "}");
  }

  std::string Metrics() {
    const RawConnection connection(port_.number());
    connection.Send("GET /metrics HTTP/1.1\r\nHost: test\r\n\r\n");
    return connection.ReceiveUntil("configuration_applied", milliseconds(500));
  }

  // Makes each write fail that would let a file grow beyond `bytes`.
  void LimitFiles(rlim_t bytes) {
    const auto pid = static_cast<pid_t>(std::stol(folder_.Read("pid")));
    rlimit limit{};
    REQUIRE(::prlimit(pid, RLIMIT_FSIZE, nullptr, &limit) == 0);
    limit.rlim_cur = bytes;
    REQUIRE(::prlimit(pid, RLIMIT_FSIZE, &limit, nullptr) == 0);
  }

  bool IsRunning() { return process_->IsRunning(); }
  ChildProcess& process() { return *process_; }

 private:
  std::string Settings() const {
    return fmt::format(
        R"({{"node-name":"n1","ip-address":"127.0.0.1","zone":"z1",)"
        R"("listen-addresses":{{"control-plane":"127.0.0.1:{0}"}},)"
        R"("internal-port-range":[{1},{2}],"seed-nodes":["127.0.0.1:{0}"],)"
        R"("bootstrap":true,"data-directory":"{3}",)"
        R"("fault-tolerance":{{"machines":0}}}})",
        port_.number(), internal_ports_.first(), internal_ports_.second(),
        (folder_.path() / "data").string());
  }

  int Send(const std::string& request) {
    try {
      const RawConnection connection(port_.number());
      connection.Send(request);
      const std::string answer = connection.ReceiveUntil("\r\n", kTimeout);
      return answer.starts_with("HTTP/1.1 ") ? std::stoi(answer.substr(9)) : 0;
    } catch (const std::system_error&) {
      return 0;
    }
  }

  TemporaryFolder folder_;
  ReservedPort port_;
  ReservedPortPair internal_ports_;
  std::unique_ptr<ChildProcess> process_;
};

constexpr const char* kFields =
    R"("service":"g","zone":"z","state":"ready","db-role":"primary")";

}  // namespace

// Guards against a controller that ends, or stops taking heartbeats, because of
// one odd entry among those of the databases.
TEST_CASE("A controller refuses odd heartbeats and takes the others",
          "[process_tests][guarantee]") {
  ControllerProcess controller;
  const std::string start = std::string(kFields) + R"(,"born":1800000000000,)";
  const std::string good = start + R"("address":"10.0.0.1:1","sequence":)";
  REQUIRE(controller.Beat(good + "1") == 200);
  for (const char* address : {"10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:-1",
                              "10.0.0.1:port", "nowhere:1", ""})
    CHECK(controller.Beat(start + fmt::format(R"("address":"{}","sequence":2)",
                                              address)) == 400);
  for (const char* number :
       {"9223372036854775807", "9223372036854775808", "1e999", "-1", "1.5",
        "1000000000000000000000000000000", "null", "[]"})
    CHECK(controller.Beat(good + number) == 400);
  CHECK(controller.Beat(good + std::string(20'000, '[')) == 400);
  CHECK(controller.Post("instances/e1/deregister", "{\"sequence\":[[") == 400);
  CHECK(controller.Post("instances/e1/deregister",
                        R"({"sequence":9223372036854775807})") == 400);
  CHECK(controller.Beat(good + "2") == 200);
  CHECK(controller.Put(1) == 200);
  CHECK(controller.IsRunning());
}

// Guards against a controller that ends, and is started again and again, while
// its disk is full, and against an acknowledgment of what is not stored.
TEST_CASE("A controller with a full disk stays up and goes on when it has room",
          "[process_tests][guarantee]") {
  ControllerProcess controller;
  REQUIRE(controller.Put(1) == 200);
  controller.LimitFiles(GENERATE(0, 1, 100));
  CHECK(controller.Put(2) == 503);
  for (int i = 0; i < 10; ++i) {
    CHECK(controller.Put(3 + i) != 200);
    CHECK(controller.Beat(std::string(kFields) +
                          R"(,"address":"10.0.0.1:1","sequence":1)") != 400);
  }
  CHECK(controller.IsRunning());
  controller.LimitFiles(RLIM_INFINITY);
  WaitUntilOrThrow("an acknowledgment", kTimeout,
                   [&] { return controller.Put(100) == 200; });
  CHECK(controller.Get() == 200);
  CHECK(controller.IsRunning());
  controller.process().Signal(SIGTERM);
  CHECK(controller.process().WaitForExit(kTimeout) == 0);
}

}  // namespace goldcrest::process_tests
