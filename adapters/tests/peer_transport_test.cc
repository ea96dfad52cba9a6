#include "goldcrest/adapters/peer_transport.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

#include "goldcrest/adapters/io_pool.h"
#include "goldcrest/messages/codec.h"
#include "tests/raw_socket.h"
#include "tests/relay.h"
#include "tests/wait.h"

namespace goldcrest::adapters {
namespace {

using namespace std::chrono_literals;
using messages::PeerMessage;

// A transport of one instance that records its log lines and received messages.
class Node {
 public:
  explicit Node(const std::string& name, PeerTransportOptions options = {})
      : transport_(
            pool_.Context(),
            CompleteOptions(name, std::move(options)),
            std::make_shared<Logger>(LoggerOptions{
                .sink = [this](std::string_view line) { AddLine(line); }}),
            [this](const std::string& from, const PeerMessage& message) {
              if (message.__isset.query)
                AddMessage(from + ":" + message.query.path);
            },
            [this](const std::string& peer, bool up) {
              AddMessage(peer + (up ? " up" : " down"));
            }) {
    transport_.Start();
  }
  ~Node() { pool_.Stop(); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  PeerTransport& Transport() { return transport_; }
  void SetPeer(const std::string& name, std::uint16_t port) {
    transport_.SetPeers({{name, {"127.0.0.1", port}}});
  }
  bool Send(const std::string& to, const std::string& text) {
    PeerMessage message;
    message.__isset.query = true;
    message.query.path = text;
    return transport_.Send(to, message);
  }
  bool Received(const std::string& text) { return Contains(received_, text); }
  bool Logged(const std::string& text) { return Contains(log_, text); }

 private:
  static PeerTransportOptions CompleteOptions(const std::string& name,
                                              PeerTransportOptions options) {
    options.self.instance = name;
    if (options.cluster.empty())
      options.cluster = "test";
    return options;
  }
  void AddLine(std::string_view line) {
    const std::lock_guard lock(mutex_);
    log_ += line;
  }
  void AddMessage(const std::string& text) {
    const std::lock_guard lock(mutex_);
    received_ += text + "\n";
  }
  bool Contains(const std::string& all, const std::string& text) {
    const std::lock_guard lock(mutex_);
    return all.find(text) != std::string::npos;
  }

  std::mutex mutex_;
  std::string log_;
  std::string received_;
  IoPool pool_{2};
  PeerTransport transport_;
};

std::string Frame(const std::string& bytes) {
  const auto size = static_cast<std::uint32_t>(bytes.size());
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8)
    frame.push_back(static_cast<char>(size >> static_cast<unsigned>(shift)));
  return frame + bytes;
}

std::string HelloFrame(const std::string& cluster,
                       const std::string& name,
                       std::int32_t version) {
  PeerMessage message;
  message.__isset.hello = true;
  message.hello.cluster = cluster;
  message.hello.instance.instance = name;
  message.hello.version = version;
  return Frame(messages::Encode(message));
}

}  // namespace

TEST_CASE("Messages are sent in both directions over one link", "[adapters]") {
  Node a("a");
  Node b("b");
  CHECK_FALSE(a.Send("b", "early"));
  a.SetPeer("b", b.Transport().Port());
  REQUIRE(WaitFor([&] {
    return a.Transport().IsConnected("b") && b.Transport().IsConnected("a");
  }));
  CHECK(a.Send("b", "there"));
  const std::string large_text(1 << 20, 'x');
  CHECK(b.Send("a", large_text));
  CHECK(b.Send("a", "back"));
  CHECK(WaitFor([&] { return b.Received("a up\na:there"); }));
  CHECK(WaitFor([&] { return a.Received("b:" + large_text + "\nb:back"); }));
  a.Transport().SetPeers({});
  CHECK(WaitFor([&] { return b.Received("a down"); }));
  CHECK_FALSE(b.Send("a", "gone"));
}

TEST_CASE("A link that goes silent is replaced within its deadline",
          "[adapters][guarantee]") {
  Node a("a");
  Node b("b");
  Relay relay(b.Transport().Port());
  a.SetPeer("b", relay.Port());
  REQUIRE(WaitFor([&] { return a.Transport().IsConnected("b"); }));
  const auto start = std::chrono::steady_clock::now();
  relay.SilenceExisting();
  REQUIRE(WaitFor([&] { return relay.AcceptedConnections() == 2; }));
  const auto replaced = std::chrono::steady_clock::now() - start;
  // The silence timeout of 1 s counts from the last byte, which arrived at most
  // about one ping interval before the silence began; then a backoff of 50 ms.
  CHECK(replaced > 700ms);
  CHECK(replaced < 1'600ms);
  REQUIRE(WaitFor([&] { return a.Transport().IsConnected("b"); }));
  CHECK(a.Logged("cause=silent"));
  // Repeats the message until it arrives, since the peer may still send on the
  // silent link.
  CHECK(WaitFor([&] {
    a.Send("b", "after");
    b.Send("a", "answer");
    return b.Received("a:after") && a.Received("b:answer");
  }));
}

// Guards against a busy peer to which no link ever comes up, because each
// attempt is given up before the peer has sent its Hello.
TEST_CASE("A peer that has accepted the connection may be slow to greet",
          "[adapters]") {
  Node a("a", {.connect_timeout = 100ms});
  const RawListener listener;
  a.SetPeer("b", listener.Port());
  const RawSocket peer = listener.Accept();
  std::this_thread::sleep_for(400ms);
  peer.Send(HelloFrame("test", "b", 1));
  CHECK(WaitFor([&] { return a.Transport().IsConnected("b"); }));
  CHECK_FALSE(a.Logged("peer_unreachable"));
}

// Guards against waiting for ever for a Hello.
TEST_CASE("A peer that does not greet is given up", "[adapters]") {
  Node a("a", {.silence_timeout = 300ms});
  const RawListener listener;
  a.SetPeer("b", listener.Port());
  const RawSocket peer = listener.Accept();
  CHECK(WaitFor([&] { return a.Logged("cause=\"no hello\""); }));
}

TEST_CASE("A link to a restarted peer is restored", "[adapters]") {
  Node a("a");
  std::uint16_t port = 0;
  {
    Node b("b");
    port = b.Transport().Port();
    a.SetPeer("b", port);
    REQUIRE(WaitFor([&] { return a.Transport().IsConnected("b"); }));
    b.Transport().Close();
    REQUIRE(WaitFor([&] { return !a.Transport().IsConnected("b"); }));
  }
  Node again("b", {.port = port});
  CHECK(WaitFor([&] { return a.Transport().IsConnected("b"); }));
}

TEST_CASE("Invalid frames close the link", "[adapters]") {
  Node a("a", {.max_frame_bytes = 100'000});
  const RawSocket peer = RawSocket::Connect(a.Transport().Port());
  std::string cause;
  SECTION("Another cluster") {
    peer.Send(HelloFrame("other", "b", 1));
    cause = "code=703 peer=\"\" address=127.0.0.1 cause=\"cluster is other\"";
  }
  SECTION("Another version") {
    peer.Send(HelloFrame("test", "b", 2));
    cause = "code=703";
  }
  SECTION("The name of the receiving instance") {
    peer.Send(HelloFrame("test", "a", 1));
    cause = "code=703";
  }
  SECTION("No hello") {
    peer.Send(Frame(messages::Encode(PeerMessage())));
    cause = "code=703";
  }
  SECTION("A first frame larger than a hello") {
    peer.Send(std::string("\x00\x01\x01\x01", 4));
    cause = "code=101";
  }
  SECTION("A missing hello") {
    cause = "";
  }
  SECTION("After the hello") {
    peer.Send(HelloFrame("test", "b", 1));
    REQUIRE(WaitFor([&] { return a.Transport().IsConnected("b"); }));
    SECTION("A frame too large") {
      peer.Send(std::string("\x00\x01\x86\xa1", 4));
      cause = "code=101 peer=b";
    }
    SECTION("An undecodable frame") {
      peer.Send(Frame("\xff\xff\xff"));
      cause = "code=100 peer=b";
    }
    SECTION("An empty frame") {
      peer.Send(Frame(""));
      cause = "code=100 peer=b";
    }
  }
  CHECK(peer.ReadAll() != "timeout");
  CHECK(WaitFor([&] { return a.Logged(cause); }));
  CHECK(WaitFor([&] { return !a.Transport().IsConnected("b"); }));
}

TEST_CASE("A link to an instance with an unexpected name is rejected",
          "[adapters][guarantee]") {
  Node a("a");
  Node c("c");
  a.SetPeer("b", c.Transport().Port());
  CHECK(WaitFor([&] { return a.Logged("instance is c, not b"); }));
  CHECK_FALSE(a.Transport().IsConnected("b"));
  CHECK_FALSE(a.Transport().IsConnected("c"));
}

TEST_CASE("A full queue drops its oldest messages and counts them",
          "[adapters]") {
  Node a("a", {.max_queued_messages = 4});
  const RawSocket peer = RawSocket::Connect(a.Transport().Port());
  peer.Send(HelloFrame("test", "b", 1));
  REQUIRE(WaitFor([&] { return a.Transport().IsConnected("b"); }));
  const std::string large_text(1 << 20, 'x');
  // The peer doesn't read, so the link's queue fills up.
  CHECK(WaitFor([&] {
    return a.Send("b", large_text) && a.Transport().DroppedMessages() >= 10;
  }));
  CHECK(a.Send("b", "newest"));
  CHECK(peer.ReadUntil("newest").find("newest") != std::string::npos);
}

// Guards against a gap in the rows of an answer that is sent in parts.
TEST_CASE("An ordered link closes rather than drop a message", "[adapters]") {
  PeerTransportOptions options;
  options.max_queued_bytes = 100;
  options.ordered = true;
  Node a("a", options);
  Node b("b");
  a.SetPeer("b", b.Transport().Port());
  REQUIRE(WaitFor([&] { return a.Received("b up"); }));
  CHECK_FALSE(a.Send("b", std::string(200, 'x')));
  CHECK(WaitFor([&] { return a.Received("b down"); }));
  CHECK(a.Transport().DroppedMessages() == 0);
}

TEST_CASE("A message larger than a frame is refused", "[adapters]") {
  Node a("a", {.max_frame_bytes = 1'000});
  const RawSocket peer = RawSocket::Connect(a.Transport().Port());
  peer.Send(HelloFrame("test", "b", 1));
  REQUIRE(WaitFor([&] { return a.Transport().IsConnected("b"); }));
  CHECK_FALSE(a.Send("b", std::string(1'000, 'x')));
  CHECK(a.Send("b", "small"));
}

}  // namespace goldcrest::adapters
