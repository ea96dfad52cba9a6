#include "goldcrest/adapters/http_client.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include "goldcrest/adapters/io_pool.h"
#include "goldcrest/adapters/system_clock.h"
#include "tests/raw_socket.h"
#include "tests/wait.h"

namespace goldcrest::adapters {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::seconds kCallTimeout{10};
constexpr int kCalls = 40;
constexpr std::string_view kHeaderEnd = "\r\n\r\n";

HttpCall MakeCall(std::string path, Duration timeout = kCallTimeout) {
  return {.method = "GET",
          .path = std::move(path),
          .deadline = SystemClock::Now() + timeout};
}

std::string Response(const std::string& body, const std::string& header = "") {
  return "HTTP/1.1 200 OK\r\n" + header +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Waits for the result of one call.
class PendingResult {
 public:
  PendingResult() : promise_(std::make_shared<std::promise<HttpResult>>()) {}
  HttpCallback Callback() const {
    return [promise = promise_](HttpResult result) {
      promise->set_value(std::move(result));
    };
  }
  HttpResult Get() const {
    auto future = promise_->get_future();
    REQUIRE(future.wait_for(kCallTimeout * 2) == std::future_status::ready);
    return future.get();
  }

 private:
  std::shared_ptr<std::promise<HttpResult>> promise_;
};

struct Fixture {
  explicit Fixture(HttpClientOptions options = {}) {
    options.host = "127.0.0.1";
    options.port = listener.Port();
    client = std::make_unique<HttpClient>(pool.Context(), options);
  }
  ~Fixture() { pool.Stop(); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  PendingResult Call(HttpCall call) const {
    PendingResult pending;
    client->Call(std::move(call), pending.Callback());
    return pending;
  }

  // Completes one call and leaves its connection idle.
  RawSocket OpenIdleConnection() const {
    const PendingResult pending = Call(MakeCall("/warm"));
    RawSocket server = listener.Accept();
    server.ReadUntil(kHeaderEnd);
    server.Send(Response("warm"));
    CHECK(pending.Get().body == "warm");
    return server;
  }

  std::shared_ptr<PinnedConnection> Pin() const {
    std::promise<std::shared_ptr<PinnedConnection>> promise;
    client->OpenPinned(SystemClock::Now() + kCallTimeout,
                       [&](auto pinned, const std::string&) {
                         promise.set_value(std::move(pinned));
                       });
    return promise.get_future().get();
  }

  RawListener listener;
  IoPool pool{2};
  std::unique_ptr<HttpClient> client;
};

}  // namespace

TEST_CASE("A connection is reused for the next call", "[adapters]") {
  const Fixture fixture;
  const RawSocket server = fixture.OpenIdleConnection();
  HttpCall call = MakeCall("/v1/statement");
  call.method = "POST";
  call.body = "{}";
  const PendingResult pending = fixture.Call(call);
  CHECK(server.ReadUntil("{}") ==
        "POST /v1/statement HTTP/1.1\r\nHost: 127.0.0.1:" +
            std::to_string(fixture.listener.Port()) +
            "\r\nContent-Type: application/json\r\n"
            "Content-Length: 2\r\n\r\n{}");
  server.Send("HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc");
  server.Send("\r\n0\r\n\r\n");
  const HttpResult result = pending.Get();
  CHECK(result.delivery == HttpDelivery::kAnswered);
  CHECK(result.status == 503);
  CHECK(result.body == "abc");
  CHECK(result.epoch == 1);
  CHECK(fixture.client->OpenConnections() == 1);
}

TEST_CASE("kNotSent is reported only if no byte was sent",
          "[adapters][guarantee]") {
  Fixture fixture({.max_connections = 1, .max_waiting = 1});
  SECTION("The address refuses connections") {
    fixture.listener.Close();
  }
  SECTION("The deadline passes while the only connection is busy") {
    const PendingResult first = fixture.Call(MakeCall("/first"));
    const RawSocket server = fixture.listener.Accept();
    server.ReadUntil(kHeaderEnd);
    const PendingResult late = fixture.Call(MakeCall("/late", 50ms));
    CHECK(late.Get().delivery == HttpDelivery::kNotSent);
    server.Send(Response("first", "Connection: close\r\n"));
    CHECK(first.Get().body == "first");
    CHECK(server.ReadAll().empty());
    fixture.listener.Close();
  }
  SECTION("Too many calls wait") {
    const PendingResult first = fixture.Call(MakeCall("/first"));
    const RawSocket server = fixture.listener.Accept();
    server.ReadUntil(kHeaderEnd);
    const PendingResult waiting = fixture.Call(MakeCall("/waiting"));
    CHECK(fixture.Call(MakeCall("/refused")).Get().delivery ==
          HttpDelivery::kNotSent);
    fixture.client->Close();
    CHECK(first.Get().delivery == HttpDelivery::kUnknown);
    CHECK(waiting.Get().delivery == HttpDelivery::kNotSent);
  }
  SECTION("The deadline has passed already") {
    CHECK(fixture.Call(MakeCall("/late", -1ms)).Get().delivery ==
          HttpDelivery::kNotSent);
    fixture.client->Close();
  }
  const HttpResult result = fixture.Call(MakeCall("/x", 5s)).Get();
  CHECK(result.delivery == HttpDelivery::kNotSent);
  CHECK_FALSE(result.error.empty());
}

TEST_CASE("A call interrupted after bytes were sent ends as unknown",
          "[adapters][guarantee]") {
  Fixture fixture({.max_connections = 1, .max_body_bytes = 100});
  HttpCall call = MakeCall("/cut");
  bool reads_request = true;
  std::function<void(RawSocket&)> interrupt;
  SECTION("Closed before the answer") {
    interrupt = [](RawSocket& server) { server.Close(); };
  }
  SECTION("Reset before the answer") {
    interrupt = [](RawSocket& server) { server.Reset(); };
  }
  SECTION("Closed within the answer") {
    interrupt = [](RawSocket& server) {
      server.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
      server.Close();
    };
  }
  SECTION("An answer that ends only with the connection") {
    interrupt = [](RawSocket& server) {
      server.Send("HTTP/1.1 200 OK\r\n\r\nmaybe all");
      server.Close();
    };
  }
  SECTION("An answer that is not HTTP") {
    interrupt = [](RawSocket& server) { server.Send("nonsense\r\n\r\n"); };
  }
  SECTION("An answer larger than allowed") {
    interrupt = [](RawSocket& server) {
      server.Send(Response(std::string(101, 'a')));
    };
  }
  SECTION("The deadline passes before the answer") {
    call.deadline = SystemClock::Now() + 100ms;
    interrupt = [](RawSocket&) {};
  }
  SECTION("The deadline passes while a large request is written") {
    call.method = "POST";
    call.body.assign(32U << 20U, 'a');
    call.deadline = SystemClock::Now() + 300ms;
    reads_request = false;
    interrupt = [](RawSocket&) {};
  }
  const PendingResult pending = fixture.Call(call);
  RawSocket server = fixture.listener.Accept();
  if (reads_request)
    server.ReadUntil(kHeaderEnd);
  interrupt(server);
  CHECK(pending.Get().delivery == HttpDelivery::kUnknown);
  // The connection is not used again.
  const PendingResult next = fixture.Call(MakeCall("/next"));
  const RawSocket fresh = fixture.listener.Accept();
  CHECK(fresh.ReadUntil(kHeaderEnd).starts_with("GET /next "));
  fresh.Send(Response("next"));
  CHECK(next.Get().body == "next");
}

TEST_CASE("A late answer is not delivered to the next call",
          "[adapters][guarantee]") {
  Fixture fixture({.max_connections = 1});
  const PendingResult slow = fixture.Call(MakeCall("/slow", 50ms));
  const RawSocket first = fixture.listener.Accept();
  first.ReadUntil(kHeaderEnd);
  CHECK(slow.Get().delivery == HttpDelivery::kUnknown);
  const PendingResult next = fixture.Call(MakeCall("/next"));
  // Has no effect if the client has closed the connection, as it must.
  try {
    first.Send(Response("late"));
  } catch (const std::runtime_error&) {
  }
  const RawSocket second = fixture.listener.Accept();
  second.ReadUntil(kHeaderEnd);
  second.Send(Response("own"));
  const HttpResult result = next.Get();
  CHECK(result.body == "own");
  CHECK(result.epoch == 2);
}

TEST_CASE("Unsolicited bytes close the connection", "[adapters][guarantee]") {
  Fixture fixture({.max_connections = 1});
  const PendingResult first = fixture.Call(MakeCall("/first"));
  const RawSocket server = fixture.listener.Accept();
  server.ReadUntil(kHeaderEnd);
  SECTION("Together with the answer") {
    server.Send(Response("first") + Response("extra"));
    CHECK(first.Get().body == "first");
  }
  SECTION("On the idle connection") {
    server.Send(Response("first"));
    CHECK(first.Get().body == "first");
    server.Send(Response("extra"));
  }
  const PendingResult next = fixture.Call(MakeCall("/next"));
  const RawSocket second = fixture.listener.Accept();
  second.ReadUntil(kHeaderEnd);
  second.Send(Response("own"));
  CHECK(next.Get().body == "own");
}

TEST_CASE("A stale idle connection fails no call", "[adapters]") {
  const Fixture fixture;
  RawSocket server = fixture.OpenIdleConnection();
  // Sent before the client can detect that the old connection was closed.
  server.Close();
  const PendingResult next = fixture.Call(MakeCall("/next"));
  const RawSocket fresh = fixture.listener.Accept();
  fresh.ReadUntil(kHeaderEnd);
  fresh.Send(Response("next"));
  CHECK(next.Get().body == "next");
}

TEST_CASE("Idle connections are closed at their deadline", "[adapters]") {
  const Fixture fixture({.idle_timeout = 50ms});
  const RawSocket server = fixture.OpenIdleConnection();
  CHECK(server.ReadAll().empty());
  CHECK(WaitFor([&] { return fixture.client->OpenConnections() == 0; }));
}

TEST_CASE("A timeout closes idle connections that may be silent as well",
          "[adapters]") {
  const Fixture fixture({.max_connections = 2, .idle_timeout = 60s});
  const PendingResult one = fixture.Call(MakeCall("/1"));
  const RawSocket first = fixture.listener.Accept();
  const PendingResult two = fixture.Call(MakeCall("/2"));
  const RawSocket second = fixture.listener.Accept();
  for (const RawSocket* server : {&first, &second}) {
    server->ReadUntil(kHeaderEnd);
    server->Send(Response("x"));
  }
  one.Get();
  two.Get();
  CHECK(fixture.Call(MakeCall("/3", 50ms)).Get().delivery ==
        HttpDelivery::kUnknown);
  CHECK(WaitFor([&] { return fixture.client->OpenConnections() == 0; }));
}

TEST_CASE("The maximum of connections is never exceeded",
          "[adapters][guarantee]") {
  Fixture fixture({.max_connections = 3});
  std::atomic<int> done = 0;
  for (int i = 0; i < kCalls; ++i)
    fixture.client->Call(MakeCall("/x"), [&](const HttpResult& result) {
      CHECK(result.delivery == HttpDelivery::kAnswered);
      ++done;
    });
  std::vector<RawSocket> servers;
  servers.reserve(3);
  std::vector<std::jthread> threads;
  threads.reserve(3);
  for (int i = 0; i < 3; ++i)
    servers.push_back(fixture.listener.Accept());
  CHECK(fixture.client->OpenConnections() == 3);
  for (const RawSocket& server : servers) {
    threads.emplace_back([&server] {
      while (server.ReadUntil(kHeaderEnd).ends_with(kHeaderEnd))
        server.Send(Response("y"));
    });
  }
  CHECK(WaitFor([&] { return done == kCalls; }));
  fixture.client->SetMaxConnections(1);
  CHECK(WaitFor([&] { return fixture.client->OpenConnections() == 1; }));
  fixture.client->Close();
  threads.clear();
  fixture.listener.Close();
}

TEST_CASE("A pinned connection carries its own calls only, in order",
          "[adapters][guarantee]") {
  Fixture fixture({.max_connections = 1});
  RawSocket server = fixture.OpenIdleConnection();
  const auto pinned = fixture.Pin();
  REQUIRE(pinned);
  CHECK(pinned->Epoch() == 1);
  const PendingResult other = fixture.Call(MakeCall("/other"));
  PendingResult one;
  PendingResult two;
  pinned->Call(MakeCall("/one"), one.Callback());
  pinned->Call(MakeCall("/two"), two.Callback());
  CHECK(server.ReadUntil(kHeaderEnd).starts_with("GET /one "));
  SECTION("Released, it serves other calls") {
    server.Send(Response("1"));
    CHECK(one.Get().body == "1");
    CHECK(server.ReadUntil(kHeaderEnd).starts_with("GET /two "));
    server.Send(Response("2"));
    CHECK(two.Get().body == "2");
    pinned->Release();
    CHECK(server.ReadUntil(kHeaderEnd).starts_with("GET /other "));
    server.Send(Response("3"));
    CHECK(other.Get().body == "3");
    return;
  }
  SECTION("Closed by the peer, it is not replaced") {
    server.Close();
  }
  SECTION("Closed by its holder, it ends its calls") {
    pinned->Close();
  }
  SECTION("Released during a call, it is closed") {
    pinned->Release();
  }
  CHECK(one.Get().delivery == HttpDelivery::kUnknown);
  CHECK(two.Get().delivery == HttpDelivery::kNotSent);
  const RawSocket fresh = fixture.listener.Accept();
  CHECK(fresh.ReadUntil(kHeaderEnd).starts_with("GET /other "));
}

}  // namespace goldcrest::adapters
