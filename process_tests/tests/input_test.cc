#include <sysexits.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include <fmt/format.h>

#include "fleet.h"
#include "goldcrest/types/digest.h"
#include "raw_connection.h"
#include "wait.h"

namespace goldcrest::process_tests {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{5'000};
constexpr int kMaxBodyBytes = 16'384;

std::string BuildRequest(const std::string& path,
                         const std::string& key,
                         const std::string& body,
                         std::size_t content_length) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer {}\r\n"
      "Content-Length: {}\r\n\r\n{}",
      path, key, content_length, body);
}

std::string BuildRequest(const std::string& path,
                         const std::string& key,
                         const std::string& body) {
  return BuildRequest(path, key, body, body.size());
}

//! Sends `bytes` and returns the first response, at least up to its result
//! code.
std::string SendAndReceive(std::uint16_t port, const std::string& bytes) {
  const RawConnection connection(port);
  connection.Send(bytes);
  return connection.ReceiveUntil("\"message\"", kTimeout);
}

struct BadInput {
  const char* description;
  std::string bytes;
  int status;
  int code;
};

void CheckAnswer(std::uint16_t port, const BadInput& input) {
  INFO(input.description);
  const std::string answer = SendAndReceive(port, input.bytes);
  INFO(answer);
  CHECK(answer.starts_with(fmt::format("HTTP/1.1 {} ", input.status)));
  CHECK(answer.find(fmt::format("\"code\":{},", input.code)) !=
        std::string::npos);
}

}  // namespace

// Guards against invalid input that ends the daemon, leaves the connection
// hanging or gets a response without a result code.
TEST_CASE("Invalid input gets an error code and the daemon goes on serving",
          "[process_tests]") {
  FleetOptions options;
  options.entry_settings = fmt::format(
      "max_body_bytes = {}\nheader_timeout_ms = 300\nbody_timeout_ms = 300\n",
      kMaxBodyBytes);
  Fleet fleet(options);
  const std::string path = "/v1/execute";
  const std::string key = Fleet::kHallKey;
  const std::string read =
      R"({"group":"bookings","kind":"read","statement":"get van"})";
  const std::string oversized_body(kMaxBodyBytes + 1, ' ');
  const std::vector<BadInput> caller_inputs = {
      {"not HTTP", "\x16\x03\x01 hello\r\n\r\n", 400, 100},
      {"not JSON", BuildRequest(path, key, "{\"group\":"), 400, 100},
      {"an array", BuildRequest(path, key, "[]"), 400, 100},
      {"a field of the wrong type",
       BuildRequest(path, key,
                    R"({"group":7,"kind":"read","statement":"get a"})"),
       400, 103},
      {"an unknown field",
       BuildRequest(path, key,
                    R"({"group":"bookings","kind":)"
                    R"("read","statement":"get a","x":1})"),
       400, 103},
      {"an oversized body", BuildRequest(path, key, oversized_body), 413, 101},
      {"half a header", "POST /v1/execute HTTP/1.1\r\nHost: te", 408, 104},
      {"half a body",
       BuildRequest(path, key, read.substr(0, read.size() / 2), read.size()),
       408, 104},
      {"an unknown path", BuildRequest("/v1/nothing", key, read), 404, 102},
      {"an unknown method", "BREW /v1/execute HTTP/1.1\r\nHost: t\r\n\r\n", 404,
       102},
      {"an unknown key", BuildRequest(path, "no-such-key", read), 401, 201},
      {"an announcement that is not signed",
       BuildRequest("/v1/announce", "", "{}"), 403, 205},
      {"an unknown group",
       BuildRequest(path, key,
                    R"({"group":"none","kind":"read",)"
                    R"("statement":"get a"})"),
       404, 400}};
  Caller caller(Fleet::kHallKey);
  const auto port = fleet.CallerPort("e4");
  for (const BadInput& input : caller_inputs) {
    CheckAnswer(port, input);
    CHECK(caller.Write(port, "set van booked").Succeeded());
  }
  const std::vector<BadInput> operator_inputs = {
      {"a wrong token",
       "GET /v1/objects HTTP/1.1\r\nHost: t\r\n"
       "Authorization: Bearer wrong\r\n\r\n",
       401, 204},
      {"a change that is not JSON",
       BuildRequest("/v1/changes", Fleet::kOperatorToken, "{"), 400, 103},
      {"an unknown path", BuildRequest("/v1/no", Fleet::kOperatorToken, "{}"),
       404, 102}};
  for (const BadInput& input : operator_inputs)
    CheckAnswer(fleet.OperatorPort("e4"), input);
  CHECK(fleet.Daemon("e4").IsRunning());
  CHECK(fleet.SendOperatorRequest("e4", "GET", "/v1/objects").Succeeded());
}

// Guards against a check that stops at the first error, and against a daemon
// that starts with invalid settings.
TEST_CASE("A daemon lists every error in its settings and exits",
          "[process_tests]") {
  const TemporaryFolder folder;
  folder.Write("bad.toml", R"(cluster = "c"
instance = 7
colour = "red"
[entry]
caller_listen = "nowhere"
operator_listen = "127.0.0.1:9000"
workers = 0
[control]
enabled = true
members = []
)");
  ChildProcess daemon({Fleet::DaemonProgram(), "run", "--config",
                       (folder.path() / "bad.toml").string()},
                      folder.path() / "log");
  const auto status = daemon.WaitForExit(kTimeout);
  REQUIRE(status.has_value());
  CHECK(*status == EX_CONFIG);
  const std::string log = folder.Read("log");
  INFO(log);
  for (const char* error :
       {":2:instance: expected text (802",
        ":3:colour: expected no such key (801", ":5:entry.caller_listen: ",
        ":7:entry.workers: expected an integer", ":zone: expected text (804",
        "entry.peer_listen: ", "control.data_folder: expected text (804",
        "operator.token_digest: ", "announce.secret_file: expected text (804"})
    CHECK(log.find(error) != std::string::npos);
}

// Guards against keys, their digests or the operator token being sent to an
// endpoint or written to a log.
TEST_CASE("No endpoint and no log gets a caller's key",
          "[process_tests][guarantee]") {
  Fleet fleet;
  const std::string wrong_key = "key-that-nobody-issued";
  Caller caller(Fleet::kHallKey);
  Caller other(Fleet::kShopKey);
  Caller unknown_caller(wrong_key);
  for (const std::string& instance : fleet.Instances()) {
    const auto port = fleet.CallerPort(instance);
    REQUIRE(caller.Write(port, "set van booked").Succeeded());
    REQUIRE(caller.Read(port, "van").Succeeded());
    const Reply begun = caller.Begin(port);
    REQUIRE(begun.Succeeded());
    REQUIRE(caller.Commit(port, begun.Text("transaction")).Succeeded());
    other.Read(port, "van");
    CHECK_FALSE(unknown_caller.Read(port, "van").Succeeded());
    SendAndReceive(port,
                   BuildRequest("/v1/execute", Fleet::kHallKey, "not json"));
  }
  fleet.Endpoint(fleet.Primary()).Kill();
  REQUIRE(WaitUntil(kTimeout, [&] {
    return caller.Write(fleet.CallerPort("e4"), "set van again").Succeeded();
  }));

  std::string received;
  for (const char* endpoint : {"b1", "b2", "b3"}) {
    if (!fleet.Endpoint(endpoint).IsRunning())
      continue;
    const std::string requests = fleet.FetchReceivedRequests(endpoint);
    REQUIRE(requests.find("\"dropped\":0") != std::string::npos);
    received += requests;
  }
  std::string logs;
  for (const std::string& instance : fleet.Instances())
    logs += fleet.ReadLog(instance);
  CHECK(received.find("set van again") != std::string::npos);
  CHECK(logs.find("started") != std::string::npos);
  for (const std::string& secret :
       {std::string(Fleet::kHallKey), std::string(Fleet::kShopKey), wrong_key,
        std::string(Fleet::kOperatorToken), std::string("announce-secret")}) {
    INFO(secret);
    for (const std::string& text :
         {secret, Sha256(secret), ToHex(Sha256(secret))}) {
      CHECK(received.find(text) == std::string::npos);
      CHECK(logs.find(text) == std::string::npos);
    }
  }
}

}  // namespace goldcrest::process_tests
