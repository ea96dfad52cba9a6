// Callers of an entry that send or read as no ordinary caller does.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "crowd.h"
#include "platform_instance.h"
#include "raw_connection.h"
#include "wait.h"

namespace goldcrest::process_tests {
namespace {

using std::chrono::milliseconds;
using Role = PlatformInstance::Role;

constexpr std::size_t kMiB = std::size_t{1} << 20U;
constexpr milliseconds kTimeout{10'000};

// Memory of the smallest machine.
constexpr std::size_t kMaxResidentBytes = 112 * kMiB;

const std::string kLimits =
    R"("limits":{"memory-mb":112,"file-descriptors":3010},)";

void CheckEntry(PlatformInstance& instance) {
  instance.AwaitSteadyMemory(Role::kEntry);
  CHECK(instance.IsRunning(Role::kEntry));
  INFO("peak of resident memory, MiB: "
       << instance.PeakResidentBytes(Role::kEntry) / kMiB);
#ifndef __SANITIZE_ADDRESS__  // The sanitizer keeps freed memory.
  CHECK(instance.PeakResidentBytes(Role::kEntry) <= kMaxResidentBytes);
#endif
  // The endpoint counts as lost without heartbeats.
  CHECK(WaitUntil(kTimeout, [&] {
    return instance.SendHeartbeat() && instance.ServesOrdinaryCaller();
  }));
}

// Statement of exactly 1 MiB, the longest line that is allowed.
std::string LongestStatement(const std::string& text) {
  std::string line = "QUERY q1 " + text;
  line.resize(kMiB, 'x');
  return line + "\r\n";
}

}  // namespace

// Guards against statements that are queued without a bound: 8 clients drove an
// entry to 160 MB within 2.4 s.
TEST_CASE("Statements pipelined without reading stay within the memory",
          "[process_tests][load]") {
  PlatformInstance instance(kLimits);
  SECTION("8 clients, 1 MiB each, behind one that is not answered") {
    const Crowd crowd(instance.caller_port(), 8);
    crowd.Send(PlatformInstance::kSessionStart);
    crowd.Send("QUERY q1 READ hang\r\n");
    crowd.Send(LongestStatement("WRITE "), 40);
    CheckEntry(instance);
  }
  SECTION("50 clients, small ones, whose answers are not read") {
    const Crowd crowd(instance.caller_port(), 50);
    crowd.Send(PlatformInstance::kSessionStart);
    std::string statements;
    while (statements.size() < 64U << 10U)
      statements += "QUERY q1 SET a 1\r\n";
    crowd.Send(statements, 100);
    CheckEntry(instance);
  }
}

// Guards against a read buffer for each connection that begins a message and
// stops, and against reading on behind the longest line.
TEST_CASE("Messages that do not end stay within the memory",
          "[process_tests][load]") {
  PlatformInstance instance(kLimits);
  SECTION("Just below the limit, from 120 clients") {
    const Crowd crowd(instance.caller_port(), 120);
    crowd.Send(PlatformInstance::kSessionStart);
    crowd.Send("QUERY q1 WRITE " + std::string(kMiB - 32, 'x'));
    CheckEntry(instance);
  }
  SECTION("Far over the limit, from 50 clients") {
    const Crowd crowd(instance.caller_port(), 50);
    crowd.Send(std::string(kMiB, 'x'), 4, 16U << 10U);
    CheckEntry(instance);
  }
}

// Guards against session values and prepared statement names without a bound.
TEST_CASE("Values and prepared names of sessions stay within the memory",
          "[process_tests][load]") {
  PlatformInstance instance(kLimits);
  const Crowd crowd(instance.caller_port(), 8);
  crowd.Send(PlatformInstance::kSessionStart);
  const char* verb = GENERATE("SET name", "PREPARE name");
  const std::string value = " READ " + std::string(256U << 10U, 'v') + "\r\n";
  for (int i = 0; i < 64; ++i)
    crowd.Send(fmt::format("QUERY q{} {}{}", i, verb, i) + value);
  CheckEntry(instance);
}

// Guards against answers that are kept for callers that do not read.
TEST_CASE("Answers that are not read stay within the memory",
          "[process_tests][load]") {
  PlatformInstance instance(kLimits);
  const Crowd crowd(instance.caller_port(), 50);
  crowd.Send(PlatformInstance::kSessionStart);
  crowd.Send("QUERY q1 READ rows 60\r\n");
  CheckEntry(instance);
}

// Guards against an answer of more than 4 MiB that closes the connection, and
// against one that is kept whole.
TEST_CASE("An answer of 64 MB passes alongside 50 small ones",
          "[process_tests][load]") {
  PlatformInstance instance(kLimits);
  constexpr int rows = 1'024;
  std::size_t received = 0;
  std::thread reader([&] {
    const RawConnection caller(instance.caller_port());
    caller.Send(PlatformInstance::kSessionStart);
    caller.ReceiveUntil("\r\n", kTimeout);
    caller.Send(fmt::format("QUERY q1 READ rows {}\r\n", rows));
    received =
        caller.CountUntil("COMPLETE done\r\nREADY I", milliseconds(60'000));
  });
  const Crowd crowd(instance.caller_port(), 50);
  crowd.Send(PlatformInstance::kSessionStart);
  CHECK(crowd.ReceiveLines(kTimeout) == 50);
  crowd.Send("QUERY q1 READ small\r\n");
  CHECK(crowd.ReceiveLines(kTimeout) == 50);
  reader.join();
  CHECK(received > rows * StatementDatabase::kRowBytes);
  CheckEntry(instance);
}

// Guards against a process that runs out of descriptors and then tries to
// accept without a pause.
TEST_CASE("More connections than descriptors leave an entry serving",
          "[process_tests][load]") {
  constexpr std::size_t descriptors = 100;
  PlatformInstance instance(
      fmt::format(R"("limits":{{"file-descriptors":{}}},)", descriptors));
  instance.LimitDescriptors(Role::kEntry, descriptors);
  {
    const Crowd crowd(instance.caller_port(), 150);
    crowd.Send(PlatformInstance::kSessionStart);
    std::this_thread::sleep_for(milliseconds(500));
    CHECK(instance.OpenDescriptors(Role::kEntry) < descriptors);
  }
  CheckEntry(instance);
  CHECK(instance.ReadLog(Role::kEntry).size() < kMiB);
}

// Guards against connections without a session that keep others out for good.
TEST_CASE("Connections without a session do not keep callers out",
          "[process_tests][load]") {
  PlatformInstance instance(R"("limits":{"file-descriptors":100},)");
  instance.LimitDescriptors(Role::kEntry, 100);
  const Crowd crowd(instance.caller_port(), 110);
  crowd.Send("STARTUP d");
  CheckEntry(instance);
}

}  // namespace goldcrest::process_tests
