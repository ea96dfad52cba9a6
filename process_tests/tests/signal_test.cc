#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <string>

#include <fmt/format.h>

#include "child_process.h"
#include "fleet.h"
#include "reserved_port.h"
#include "temporary_folder.h"
#include "wait.h"

namespace goldcrest::process_tests {

// Guards against a process that is ended by a reload of its settings while it
// starts.
TEST_CASE("A SIGHUP during the start ends no process",
          "[process_tests][guarantee]") {
  const char* role = GENERATE("entry", "controller");
  const TemporaryFolder folder;
  const ReservedPort callers;
  const ReservedPort other;
  const ReservedPortPair internal;
  const std::string path = (folder.path() / "settings.json").string();
  // The process waits while it reads its settings.
  REQUIRE(mkfifo(path.c_str(), 0600) == 0);
  ChildProcess process({"/usr/bin/env", "GOLDCRESTCROSS_BOOT=" + path,
                        Fleet::DaemonProgram(), role},
                       folder.path() / "log");
  int settings = -1;
  WaitUntilOrThrow("a reader", std::chrono::seconds(5), [&] {
    settings = open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    return settings >= 0;
  });
  process.Signal(SIGHUP);
  const std::string text = fmt::format(
      R"({{"node-name":"n1","ip-address":"127.0.0.1","zone":"z1",)"
      R"("listen-addresses":{{"frontend-address":"127.0.0.1:{2}",)"
      R"("ready":"127.0.0.1:{3}","control-plane":"127.0.0.1:{3}"}},)"
      R"("internal-port-range":[{0},{1}]}})",
      internal.first(), internal.second(), callers.number(), other.number());
  const ssize_t written = write(settings, text.data(), text.size());
  close(settings);
  CHECK(written == static_cast<ssize_t>(text.size()));
  CHECK(WaitUntil(std::chrono::seconds(5), [&] {
    return folder.Read("log").find("started") != std::string::npos ||
           !process.IsRunning();
  }));
  INFO(role << ": " << folder.Read("log"));
  CHECK(process.IsRunning());
}

}  // namespace goldcrest::process_tests
