#include "goldcrest/adapters/http_server.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <mutex>
#include <vector>

#include "goldcrest/adapters/io_pool.h"
#include "tests/raw_socket.h"
#include "tests/wait.h"

namespace goldcrest::adapters {
namespace {

using namespace std::chrono_literals;

// A server that responds with the path, except for /hold, which waits for
// SendHeldResponses().
class Fixture {
 public:
  explicit Fixture(HttpServerOptions options = {})
      : server_(
            pool_.Context(),
            std::move(options),
            [this](const HttpRequest& request, HttpServer::Respond respond) {
              Handle(request, std::move(respond));
            },
            [this](std::uint64_t) { ++disconnects; }) {
    server_.Start();
  }
  ~Fixture() { pool_.Stop(); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  RawSocket Connect() const { return RawSocket::Connect(server_.Port()); }
  HttpServer& Server() { return server_; }

  std::size_t HeldResponseCount() {
    const std::lock_guard lock(mutex_);
    return held_responses_.size();
  }
  void SendHeldResponses() {
    const std::lock_guard lock(mutex_);
    for (const auto& respond : held_responses_) {
      respond({.body = "released"});
      respond({.body = "twice"});
    }
    held_responses_.clear();
  }
  void DropHeldResponses() {
    const std::lock_guard lock(mutex_);
    held_responses_.clear();
  }

  std::promise<void> unblock;
  std::shared_future<void> unblocked = unblock.get_future().share();
  std::atomic<int> handled = 0;
  std::atomic<int> disconnects = 0;

 private:
  void Handle(const HttpRequest& request, HttpServer::Respond respond) {
    ++handled;
    if (request.path == "/block")
      unblocked.wait();
    if (request.path != "/hold") {
      respond({.body = request.path + "?" + request.query + "|" + request.body +
                       "|" + std::string(request.Header("AUTHORIZATION"))});
      return;
    }
    const std::lock_guard lock(mutex_);
    held_responses_.push_back(std::move(respond));
  }

  std::mutex mutex_;
  std::vector<HttpServer::Respond> held_responses_;
  IoPool pool_{2};
  HttpServer server_;
};

// A second descriptor of the socket that listens on `port`. Keeps the socket
// alive after its owner has closed it, as a thread does that is polling it.
class ListeningSocketReference {
 public:
  explicit ListeningSocketReference(std::uint16_t port) {
    for (int candidate = 0; candidate < kMaxDescriptors; ++candidate) {
      if (!ListensOn(candidate, port))
        continue;
      descriptor_ = dup(candidate);
      return;
    }
  }
  ~ListeningSocketReference() {
    if (descriptor_ >= 0)
      close(descriptor_);
  }
  ListeningSocketReference(const ListeningSocketReference&) = delete;
  ListeningSocketReference& operator=(const ListeningSocketReference&) = delete;

  bool IsOpen() const { return descriptor_ >= 0; }

 private:
  static constexpr int kMaxDescriptors = 1024;

  static bool ListensOn(int descriptor, std::uint16_t port) {
    int listening = 0;
    socklen_t size = sizeof(listening);
    if (getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) !=
            0 ||
        listening == 0)
      return false;
    sockaddr_in address{};
    size = sizeof(address);
    return getsockname(descriptor, reinterpret_cast<sockaddr*>(&address),
                       &size) == 0 &&
           ntohs(address.sin_port) == port;
  }

  int descriptor_ = -1;
};

std::string GetRequest(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

// Expected response to a request that is refused before the handler runs.
void CheckRefused(const std::string& response, ResultCode code) {
  CAPTURE(response);
  const ResultCodeInfo& info = InfoOf(code);
  CHECK(response.starts_with("HTTP/1.1 " + std::to_string(info.http_status)));
  CHECK(Contains(response, "Connection: close"));
  CHECK(Contains(response, "\"code\":" + std::to_string(ToNumber(code)) +
                               ",\"name\":\"" + std::string(info.name) +
                               "\",\"outcome\":\"not_run\""));
}

}  // namespace

TEST_CASE("Requests of a connection are answered in order", "[adapters]") {
  Fixture fixture;
  const RawSocket client = fixture.Connect();
  client.Send(GetRequest("/hold") +
              "POST /b?x=1 HTTP/1.1\r\nAuthorization: Bearer k\r\n"
              "Content-Length: 4\r\nConnection: close\r\n\r\nbody");
  REQUIRE(WaitFor([&] { return fixture.HeldResponseCount() == 1; }));
  CHECK(fixture.handled == 1);
  fixture.SendHeldResponses();
  const std::string responses = client.ReadAll();
  CHECK(responses.find("released") < responses.find("/b?x=1|body|Bearer k"));
  CHECK_FALSE(Contains(responses, "twice"));
  CHECK(WaitFor([&] { return fixture.Server().OpenConnections() == 0; }));
}

TEST_CASE("Incomplete or invalid requests are answered as not run",
          "[adapters][guarantee]") {
  Fixture fixture({.max_body_bytes = 100,
                   .max_header_bytes = 500,
                   .header_timeout = 100ms,
                   .body_timeout = 100ms});
  RawSocket client = fixture.Connect();
  ResultCode code = ResultCode::kMalformedRequest;
  SECTION("Bad HTTP") {
    client.Send("nonsense\r\n\r\n");
  }
  SECTION("A header without end") {
    client.Send(std::string(2000, 'a'));
  }
  SECTION("A header larger than allowed") {
    client.Send("GET / HTTP/1.1\r\nX: " + std::string(2000, 'a') + "\r\n\r\n");
  }
  SECTION("A body announced as larger than allowed") {
    client.Send("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n");
    code = ResultCode::kBodyTooLarge;
  }
  SECTION("A large body on its way") {
    // Larger than the socket buffers of both ends, so that a reset would make
    // the send fail.
    std::string request = "POST / HTTP/1.1\r\nContent-Length: 16000000\r\n\r\n";
    request.append(16'000'000, 'b');
    client.Send(request);
    code = ResultCode::kBodyTooLarge;
  }
  SECTION("A chunked body larger than allowed") {
    client.Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                std::string("c8\r\n") + std::string(200, 'b') + "\r\n");
    code = ResultCode::kBodyTooLarge;
  }
  SECTION("A header that stops") {
    client.Send("GET / HTTP/1.1\r\nHo");
    code = ResultCode::kIncompleteRequest;
  }
  SECTION("A body that stops") {
    client.Send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    code = ResultCode::kIncompleteRequest;
  }
  SECTION("A request cut short by the client") {
    client.Send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    client.StopSending();
    code = ResultCode::kIncompleteRequest;
  }
  CheckRefused(client.ReadAll(), code);
  client.Close();
  CHECK(fixture.handled == 0);
  CHECK(WaitFor([&] { return fixture.Server().OpenConnections() == 0; }));
  CHECK(fixture.Server().RequestsInFlight() == 0);
}

TEST_CASE("A header sent byte by byte does not extend its deadline",
          "[adapters]") {
  Fixture fixture({.header_timeout = 200ms});
  const RawSocket client = fixture.Connect();
  const auto start = std::chrono::steady_clock::now();
  client.Send("GET / HTTP/1.1\r\nX: ");
  REQUIRE(WaitFor([&] { return fixture.Server().RequestsInFlight() == 1; }));
  REQUIRE(WaitFor([&] {
    try {
      client.Send("a");
    } catch (const std::runtime_error&) {
      return true;
    }
    return fixture.Server().RequestsInFlight() == 0;
  }));
  CHECK(std::chrono::steady_clock::now() - start >= 200ms);
  CHECK(fixture.handled == 0);
}

TEST_CASE("An idle connection is closed at its deadline", "[adapters]") {
  Fixture fixture({.idle_timeout = 100ms});
  CHECK(fixture.Connect().ReadAll().empty());
}

TEST_CASE("An answer to a client that has gone is dropped", "[adapters]") {
  Fixture fixture;
  RawSocket client = fixture.Connect();
  client.Send(GetRequest("/hold"));
  REQUIRE(WaitFor([&] { return fixture.HeldResponseCount() == 1; }));
  client.Reset();
  CHECK(WaitFor([&] { return fixture.disconnects == 1; }));
  CHECK(WaitFor([&] { return fixture.Server().RequestsInFlight() == 0; }));
  fixture.SendHeldResponses();
  const RawSocket other = fixture.Connect();
  other.Send(GetRequest("/next"));
  CHECK(Contains(other.ReadUntil("|"), "/next"));
  CHECK(fixture.disconnects == 1);
}

TEST_CASE("A client that only stops sending gets its answer",
          "[adapters][guarantee]") {
  Fixture fixture;
  const RawSocket client = fixture.Connect();
  client.Send(GetRequest("/hold"));
  client.StopSending();
  REQUIRE(WaitFor([&] { return fixture.disconnects == 1; }));
  fixture.SendHeldResponses();
  CHECK(Contains(client.ReadAll(), "released"));
}

TEST_CASE("A request that the handler drops is answered as unknown",
          "[adapters]") {
  Fixture fixture;
  const RawSocket client = fixture.Connect();
  client.Send(GetRequest("/hold"));
  REQUIRE(WaitFor([&] { return fixture.HeldResponseCount() == 1; }));
  fixture.DropHeldResponses();
  CHECK(Contains(client.ReadUntil("}}"), "\"outcome\":\"unknown\""));
}

TEST_CASE("A connection beyond the limit is refused and closed",
          "[adapters][guarantee]") {
  Fixture fixture({.max_connections = 1});
  RawSocket first = fixture.Connect();
  first.Send(GetRequest("/one"));
  REQUIRE(Contains(first.ReadUntil("|"), "/one"));
  CheckRefused(fixture.Connect().ReadAll(), ResultCode::kTooManyConnections);
  first.Close();
  REQUIRE(WaitFor([&] { return fixture.Server().OpenConnections() == 0; }));
  const RawSocket second = fixture.Connect();
  second.Send(GetRequest("/two"));
  CHECK(Contains(second.ReadUntil("|"), "/two"));
}

TEST_CASE("A client that expects 100-continue is told to send the body",
          "[adapters]") {
  Fixture fixture;
  const RawSocket client = fixture.Connect();
  client.Send(
      "POST /c HTTP/1.1\r\nExpect: 100-continue\r\n"
      "Content-Length: 2\r\n\r\n");
  CHECK(client.ReadUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
  client.Send("ok");
  CHECK(Contains(client.ReadUntil("|ok|"), "200 OK"));
}

TEST_CASE("A drain interrupts no request", "[adapters][guarantee]") {
  Fixture fixture({.drain_idle = 100ms});
  const RawSocket idle = fixture.Connect();
  const RawSocket busy = fixture.Connect();
  busy.Send(GetRequest("/hold"));
  const RawSocket partial = fixture.Connect();
  partial.Send("POST /p HTTP/1.1\r\nContent-Length: 2\r\n\r\n");
  REQUIRE(WaitFor([&] { return fixture.Server().RequestsInFlight() == 2; }));
  // In the backlog or already accepted when the listener closes.
  const RawSocket late = fixture.Connect();
  fixture.Server().StopAccepting();
  fixture.Server().BeginDrain();
  CHECK_THROWS(fixture.Connect());
  late.Send(GetRequest("/late"));
  partial.Send("ok");
  CHECK(Contains(late.ReadAll(), "/late"));
  CHECK(Contains(partial.ReadAll(), "|ok|"));
  CHECK(idle.ReadAll().empty());
  CHECK(WaitFor([&] { return fixture.Server().OpenConnections() == 1; }));
  fixture.SendHeldResponses();
  const std::string response = busy.ReadAll();
  CHECK(Contains(response, "Connection: close"));
  CHECK(Contains(response, "released"));
  CHECK(WaitFor([&] { return fixture.Server().OpenConnections() == 0; }));
}

TEST_CASE("Connections in the backlog are served when the listener closes",
          "[adapters][guarantee]") {
  Fixture fixture;
  // Both workers are busy, so no connection can be accepted.
  const RawSocket one = fixture.Connect();
  const RawSocket two = fixture.Connect();
  one.Send(GetRequest("/block"));
  two.Send(GetRequest("/block"));
  REQUIRE(WaitFor([&] { return fixture.handled == 2; }));
  const RawSocket late = fixture.Connect();
  late.Send(GetRequest("/late"));
  fixture.Server().StopAccepting();
  fixture.unblock.set_value();
  CHECK(Contains(late.ReadUntil("|"), "/late"));
}

// Guards against connections to a closed listener: the kernel accepted them for
// as long as another thread was polling the socket.
TEST_CASE("No connection is established after the listener has stopped",
          "[adapters][guarantee]") {
  Fixture fixture;
  const ListeningSocketReference reference(fixture.Server().Port());
  REQUIRE(reference.IsOpen());
  SECTION("By a drain") {
    fixture.Server().StopAccepting();
  }
  SECTION("By a close") {
    fixture.Server().Close();
  }
  CHECK_THROWS(fixture.Connect());
}

}  // namespace goldcrest::adapters
