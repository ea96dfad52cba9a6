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

constexpr milliseconds kBound{5'000};
constexpr int kMaxBodyBytes = 16'384;

std::string Request(const std::string& path,
                    const std::string& key,
                    const std::string& body,
                    std::size_t announced_size) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer {}\r\n"
      "Content-Length: {}\r\n\r\n{}",
      path, key, announced_size, body);
}

std::string Request(const std::string& path,
                    const std::string& key,
                    const std::string& body) {
  return Request(path, key, body, body.size());
}

//! The first answer to `bytes`, whole or as far as its result code.
std::string AnswerTo(std::uint16_t port, const std::string& bytes) {
  const RawConnection connection(port);
  connection.Send(bytes);
  return connection.ReceiveUntil("\"message\"", kBound);
}

struct BadInput {
  const char* what;
  std::string bytes;
  int status;
  int code;
};

void CheckAnswer(std::uint16_t port, const BadInput& input) {
  INFO(input.what);
  const std::string answer = AnswerTo(port, input.bytes);
  INFO(answer);
  CHECK(answer.starts_with(fmt::format("HTTP/1.1 {} ", input.status)));
  CHECK(answer.find(fmt::format("\"code\":{},", input.code)) !=
        std::string::npos);
}

}  // namespace

// Fails when input that nobody expected stops the process, hangs the connection
// or gets an answer without a result code.
TEST_CASE("Bad input gets a numbered error and the process serves on",
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
  const std::string big(kMaxBodyBytes + 1, ' ');
  const std::vector<BadInput> callers = {
      {"not HTTP", "\x16\x03\x01 hello\r\n\r\n", 400, 100},
      {"not JSON", Request(path, key, "{\"group\":"), 400, 100},
      {"an array", Request(path, key, "[]"), 400, 100},
      {"a field of the wrong type",
       Request(path, key, R"({"group":7,"kind":"read","statement":"get a"})"),
       400, 103},
      {"an unknown field",
       Request(path, key,
               R"({"group":"bookings","kind":)"
               R"("read","statement":"get a","x":1})"),
       400, 103},
      {"an oversized body", Request(path, key, big), 413, 101},
      {"half a header", "POST /v1/execute HTTP/1.1\r\nHost: te", 408, 104},
      {"half a body",
       Request(path, key, read.substr(0, read.size() / 2), read.size()), 408,
       104},
      {"an unknown path", Request("/v1/nothing", key, read), 404, 102},
      {"an unknown method", "BREW /v1/execute HTTP/1.1\r\nHost: t\r\n\r\n", 404,
       102},
      {"an unknown key", Request(path, "no-such-key", read), 401, 201},
      {"an announcement that is not signed", Request("/v1/announce", "", "{}"),
       403, 205},
      {"an unknown group",
       Request(path, key,
               R"({"group":"none","kind":"read",)"
               R"("statement":"get a"})"),
       404, 400}};
  Caller caller(Fleet::kHallKey);
  const auto port = fleet.CallerPort("e4");
  for (const BadInput& input : callers) {
    CheckAnswer(port, input);
    CHECK(caller.Write(port, "set van booked").Done());
  }
  const std::vector<BadInput> operators = {
      {"a wrong token",
       "GET /v1/objects HTTP/1.1\r\nHost: t\r\n"
       "Authorization: Bearer wrong\r\n\r\n",
       401, 204},
      {"a change that is not JSON",
       Request("/v1/changes", Fleet::kOperatorToken, "{"), 400, 103},
      {"an unknown path", Request("/v1/no", Fleet::kOperatorToken, "{}"), 404,
       102}};
  for (const BadInput& input : operators)
    CheckAnswer(fleet.OperatorPort("e4"), input);
  CHECK(fleet.Daemon("e4").Running());
  CHECK(fleet.Operator("e4", "GET", "/v1/objects").Done());
}

// Fails when the check stops at the first problem, or when a daemon starts with
// settings that it doesn't understand.
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
  const auto status = daemon.WaitForExit(kBound);
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

// Fails when a key, its digest or the operators' token goes further than the
// edge: to an endpoint or into a log.
TEST_CASE("No endpoint and no log gets a caller's key",
          "[process_tests][guarantee]") {
  Fleet fleet;
  const std::string wrong_key = "key-that-nobody-issued";
  Caller caller(Fleet::kHallKey);
  Caller other(Fleet::kShopKey);
  Caller stranger(wrong_key);
  for (const std::string& instance : fleet.Instances()) {
    const auto port = fleet.CallerPort(instance);
    REQUIRE(caller.Write(port, "set van booked").Done());
    REQUIRE(caller.Read(port, "van").Done());
    const Reply begun = caller.Begin(port);
    REQUIRE(begun.Done());
    REQUIRE(caller.Commit(port, begun.Text("transaction")).Done());
    other.Read(port, "van");
    CHECK_FALSE(stranger.Read(port, "van").Done());
    AnswerTo(port, Request("/v1/execute", Fleet::kHallKey, "not json"));
  }
  fleet.Endpoint(fleet.Primary()).Kill();
  REQUIRE(Eventually(kBound, [&] {
    return caller.Write(fleet.CallerPort("e4"), "set van again").Done();
  }));

  std::string seen;
  for (const char* endpoint : {"b1", "b2", "b3"}) {
    if (!fleet.Endpoint(endpoint).Running())
      continue;
    const std::string part = fleet.Seen(endpoint);
    REQUIRE(part.find("\"dropped\":0") != std::string::npos);
    seen += part;
  }
  std::string logs;
  for (const std::string& instance : fleet.Instances())
    logs += fleet.LogOf(instance);
  CHECK(seen.find("set van again") != std::string::npos);
  CHECK(logs.find("started") != std::string::npos);
  for (const std::string& secret :
       {std::string(Fleet::kHallKey), std::string(Fleet::kShopKey), wrong_key,
        std::string(Fleet::kOperatorToken), std::string("announce-secret")}) {
    INFO(secret);
    for (const std::string& text :
         {secret, Sha256(secret), ToHex(Sha256(secret))}) {
      CHECK(seen.find(text) == std::string::npos);
      CHECK(logs.find(text) == std::string::npos);
    }
  }
}

}  // namespace goldcrest::process_tests
