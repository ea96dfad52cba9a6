// Clients of the listeners beside that of the callers.

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "crowd.h"
#include "goldcrest/messages/codec.h"
#include "platform_instance.h"
#include "wait.h"

namespace goldcrest::process_tests {
namespace {

using std::chrono::milliseconds;
using Role = PlatformInstance::Role;

constexpr std::size_t kMiB = std::size_t{1} << 20U;
constexpr std::size_t kMaxResidentBytes = 112 * kMiB;
constexpr milliseconds kTimeout{10'000};

const std::string kLimits =
    R"("limits":{"memory-mb":112,"file-descriptors":3010},)";

void CheckProcess(PlatformInstance& instance, Role role) {
  instance.AwaitSteadyMemory(role);
  CHECK(instance.IsRunning(role));
  INFO("peak of resident memory, MiB: " << instance.PeakResidentBytes(role) /
                                               kMiB);
#ifndef __SANITIZE_ADDRESS__  // The sanitizer keeps freed memory.
  CHECK(instance.PeakResidentBytes(role) <= kMaxResidentBytes);
#endif
  CHECK(WaitUntil(kTimeout, [&] { return instance.SendHeartbeat(); }));
  CHECK(WaitUntil(kTimeout, [&] { return instance.ServesOrdinaryCaller(); }));
}

std::string ToFrame(const messages::PeerMessage& message) {
  const std::string bytes = messages::Encode(message);
  std::string frame(4, '\0');
  frame[2] = static_cast<char>(bytes.size() >> 8U);
  frame[3] = static_cast<char>(bytes.size() & 0xffU);
  return frame + bytes;
}

// A frame that introduces a peer of this name.
std::string HelloFrame(const std::string& name) {
  messages::PeerMessage message;
  message.__isset.hello = true;
  message.hello.cluster = "goldcrestcross";
  message.hello.instance.instance = name;
  message.hello.version = 1;
  return ToFrame(message);
}

std::string PingFrame() {
  messages::PeerMessage message;
  message.__set_ping(1);
  return ToFrame(message);
}

}  // namespace

// Guards against request bodies that are kept for all clients at once.
TEST_CASE("Half-sent requests stay within a controller's memory",
          "[process_tests][load]") {
  PlatformInstance instance(kLimits);
  const auto half_sent = [](std::size_t size, std::size_t sent) {
    return fmt::format(
        "POST /goldcrestcross/config/put HTTP/1.1\r\n"
        "Host: test\r\nContent-Length: {}\r\n\r\n{}",
        size, std::string(sent, ' '));
  };
  SECTION("8 MiB from 50 clients") {
    const Crowd crowd(instance.controller_port(), 50);
    crowd.Send(half_sent(8 * kMiB, 7 * kMiB));
    CheckProcess(instance, Role::kController);
  }
  SECTION("2 MiB from 100 clients") {
    const Crowd crowd(instance.controller_port(), 100);
    crowd.Send(half_sent(2 * kMiB, 2 * kMiB - 1));
    CheckProcess(instance, Role::kController);
  }
}

// Guards against bodies and responses of the readiness listener without bound.
TEST_CASE("Clients of the readiness listener stay within an entry's memory",
          "[process_tests][load]") {
  PlatformInstance instance(kLimits);
  const Crowd crowd(instance.readiness_port(), 200);
  SECTION("Half-sent bodies") {
    crowd.Send(
        "POST /goldcrestcross/readiness HTTP/1.1\r\nHost: test\r\n"
        "Content-Length: 1000000\r\n\r\n" +
        std::string(900'000, ' '));
  }
  SECTION("Pipelined requests whose responses are not read") {
    std::string requests;
    while (requests.size() < 64U << 10U)
      requests += "GET /metrics HTTP/1.1\r\nHost: test\r\n\r\n";
    crowd.Send(requests, 4);
  }
  CheckProcess(instance, Role::kEntry);
}

// Guards against frames of peers that are kept in part without a bound, for
// both processes.
TEST_CASE("Half-sent frames of peers stay within the memory",
          "[process_tests][load]") {
  PlatformInstance instance(kLimits);
  const Role role = GENERATE(Role::kEntry, Role::kController);
  std::vector<std::unique_ptr<Crowd>> peers;
  const bool allowed = GENERATE(true, false);
  std::string frame((allowed ? 4 : 15) * kMiB, '\0');
  // Announces 4.5 or 15.5 MiB.
  frame[1] = static_cast<char>(allowed ? 0x48 : 0xf8);
  for (int i = 1; i <= 40; ++i) {
    peers.push_back(std::make_unique<Crowd>(instance.peer_port(role), 1));
    peers.back()->Send(HelloFrame(fmt::format("127.0.0.1:{}", i)));
    peers.back()->Send(frame);
  }
  CheckProcess(instance, role);
}

// Guards against peers that are introduced and hold descriptors for good.
TEST_CASE("Many introduced peers leave descriptors for others",
          "[process_tests][load]") {
  PlatformInstance instance(R"("limits":{"file-descriptors":200},)");
  const Role role = GENERATE(Role::kEntry, Role::kController);
  instance.LimitDescriptors(role, 200);
  const Crowd crowd(instance.peer_port(role), 300);
  crowd.Send(HelloFrame("127.0.0.1:1"));
  for (int i = 0; i < 10; ++i) {
    crowd.Send(PingFrame());
    std::this_thread::sleep_for(milliseconds(200));
    CHECK(instance.OpenDescriptors(role) < 150);
  }
  CheckProcess(instance, role);
}

}  // namespace goldcrest::process_tests
