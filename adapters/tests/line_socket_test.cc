#include "goldcrest/adapters/line_socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "tests/raw_socket.h"

namespace goldcrest::adapters {
namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr int kSmallBufferBytes = 16 << 10;

// Two connected line sockets on loopback.
struct ConnectedPair {
  explicit ConnectedPair(std::size_t max_line = 64) {
    tcp::acceptor acceptor(
        context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    client = std::make_shared<LineSocket>(context, max_line);
    server = std::make_shared<LineSocket>(context, max_line);
    client->Connect("127.0.0.1", acceptor.local_endpoint().port(),
                    milliseconds(5'000), "hello\r\n", HooksFor(client_lines));
    acceptor.async_accept(
        [this](boost::system::error_code, tcp::socket socket) {
          server->Accept(std::move(socket), HooksFor(server_lines));
        });
    RunUntil([this] { return !server_lines.empty(); });
  }

  LineSocket::Hooks HooksFor(std::vector<std::string>& lines) {
    return {
        [this, &lines](std::string_view line) {
          lines.emplace_back(line);
          if (&lines == &server_lines && on_server_line)
            on_server_line();
        },
        [this](const std::string& cause) { close_causes.push_back(cause); }};
  }

  void RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!done() && std::chrono::steady_clock::now() < end)
      context.run_one_for(milliseconds(50));
    CHECK(done());
  }

  boost::asio::io_context context{1};
  std::shared_ptr<LineSocket> client;
  std::shared_ptr<LineSocket> server;
  std::vector<std::string> client_lines;
  std::vector<std::string> server_lines;
  std::vector<std::string> close_causes;
  std::function<void()> on_server_line;
};

}  // namespace

TEST_CASE("Lines arrive whole, however they were cut", "[adapters]") {
  ConnectedPair pair;
  CHECK(pair.server_lines == std::vector<std::string>{"hello"});
  pair.client->Write("one\r\ntw");
  pair.RunUntil([&] { return pair.server_lines.size() == 2; });
  pair.client->Write("o\r\n");
  pair.RunUntil([&] { return pair.server_lines.size() == 3; });
  CHECK(pair.server_lines.back() == "two");
}

// Guards against data that ends a line, so that what follows is taken for
// another line.
TEST_CASE("Only CR LF ends a line, wherever the bytes are cut",
          "[adapters][guarantee]") {
  const std::vector<std::string> lines = {
      "a\nb", "c\rd", std::string("e\0f", 3), "g\r", "\nh", "", "\n\r", "i"};
  std::string bytes;
  for (const std::string& line : lines)
    bytes += line + "\r\n";
  for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
    INFO("cut after " << cut << " bytes");
    ConnectedPair pair;
    pair.server_lines.clear();
    pair.client->Write(bytes.substr(0, cut));
    pair.context.run_for(milliseconds(2));
    pair.client->Write(bytes.substr(cut));
    pair.RunUntil([&] { return pair.server_lines.size() >= lines.size(); });
    CHECK(pair.server_lines == lines);
  }
}

TEST_CASE("A line without end closes the connection", "[adapters]") {
  ConnectedPair pair;
  pair.client->Write(std::string(200, 'x'));
  pair.RunUntil([&] { return !pair.close_causes.empty(); });
  CHECK(pair.close_causes.front() == "a line is too long");
}

TEST_CASE("Bytes written before a close are delivered", "[adapters]") {
  ConnectedPair pair;
  pair.server->Write("last\r\n");
  pair.server->CloseAfterWrites(milliseconds(500));
  pair.RunUntil([&] { return !pair.close_causes.empty(); });
  CHECK(pair.client_lines == std::vector<std::string>{"last"});
}

// Guards against a close that drops a line which has arrived already, since the
// process was busy or the line is one of several.
TEST_CASE("Input that was not passed on is known before a close",
          "[adapters]") {
  ConnectedPair pair;
  CHECK_FALSE(pair.server->HasUnreadInput());

  SECTION("A line that has not been read") {
    pair.client->Write("one\r\n");
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!pair.server->HasUnreadInput() &&
           std::chrono::steady_clock::now() < end) {
    }
    CHECK(pair.server->HasUnreadInput());
    CHECK(pair.server_lines.size() == 1);
    pair.RunUntil([&] { return pair.server_lines.size() == 2; });
    CHECK_FALSE(pair.server->HasUnreadInput());
  }
  SECTION("A line that has arrived in part") {
    pair.client->Write("one\r\ntw");
    pair.RunUntil([&] { return pair.server_lines.size() == 2; });
    CHECK(pair.server->HasUnreadInput());
  }
  SECTION("A second line that arrived with the first") {
    std::vector<bool> unread;
    pair.on_server_line = [&] {
      unread.push_back(pair.server->HasUnreadInput());
    };
    pair.client->Write("one\r\ntwo\r\n");
    pair.RunUntil([&] { return pair.server_lines.size() == 3; });
    CHECK(unread == std::vector<bool>{true, false});
  }
}

// Guards against an answer that is cut while its caller still receives it over
// a slow link.
TEST_CASE("A close waits for a peer that still takes bytes",
          "[adapters][guarantee]") {
  asio::io_context context(1);
  auto server = std::make_shared<LineSocket>(context, 64);
  const RawSocket client = [&] {
    tcp::acceptor acceptor(context,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    RawSocket socket = RawSocket::Connect(acceptor.local_endpoint().port());
    socket.LimitReceiveBuffer(kSmallBufferBytes);
    tcp::socket accepted = acceptor.accept();
    accepted.set_option(asio::socket_base::send_buffer_size(kSmallBufferBytes));
    server->Accept(std::move(accepted),
                   {[](std::string_view) {}, [](const std::string&) {}});
    return socket;
  }();
  const std::weak_ptr<LineSocket> watched = server;
  const std::size_t size = std::size_t{1} << 20U;
  server->Write(std::string(size, 'x'));
  server->CloseAfterWrites(milliseconds(50));
  server.reset();

  SECTION("It takes all of them, slowly") {
    std::size_t received = 0;
    for (int i = 0; i < 2'000 && received < size; ++i) {
      context.run_for(milliseconds(5));
      const std::string bytes = client.ReadSome(kSmallBufferBytes);
      if (bytes.empty())
        break;
      received += bytes.size();
    }
    CHECK(received == size);
    CHECK(client.ReadAll().empty());
    context.run_for(milliseconds(500));
    CHECK(watched.expired());
  }
  SECTION("It takes nothing any more") {
    context.run_for(std::chrono::seconds(1));
    CHECK_FALSE(watched.expired());
    context.run_for(std::chrono::seconds(5));
    CHECK(watched.expired());
  }
}

// Guards against a line that is read after the close and dropped: its sender
// can't tell that it was not taken.
TEST_CASE("A line that crosses with a close resets the connection",
          "[adapters]") {
  asio::io_context context(1);
  auto server = std::make_shared<LineSocket>(context, 64);
  const RawSocket client = [&] {
    tcp::acceptor acceptor(context,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    RawSocket socket = RawSocket::Connect(acceptor.local_endpoint().port());
    server->Accept(acceptor.accept(),
                   {[](std::string_view) { FAIL("a line was read"); },
                    [](const std::string&) {}});
    return socket;
  }();
  server->Write("last\r\n");
  server->CloseAfterWrites(milliseconds(200));
  CHECK(client.ReadUntil({}) == "last\r\n");
  client.Send("one\r\n");
  context.run_for(std::chrono::seconds(2));
  CHECK(client.IsReset());
}

// Guards against a use after free: a hook that ran within Write() could destroy
// objects that the caller of Write() still uses.
TEST_CASE("A send queue overflow is reported after the write returns",
          "[adapters]") {
  ConnectedPair pair;
  const std::string chunk(1 << 20, 'x');
  for (int i = 0; i < 32; ++i)
    pair.server->Write(chunk);
  CHECK(pair.close_causes.empty());
  pair.RunUntil([&] { return !pair.close_causes.empty(); });
  CHECK(pair.close_causes.front() == "the peer does not read");
}

// Guards against lines that are passed on, lost or reordered while reading is
// stopped.
TEST_CASE("Lines wait while reading is stopped", "[adapters]") {
  ConnectedPair pair;
  pair.on_server_line = [&] { pair.server->SetReading(false); };
  pair.client->Write("one\r\ntwo\r\nthr");
  pair.RunUntil([&] { return pair.server_lines.size() == 2; });
  pair.client->Write("ee\r\n");
  pair.context.run_for(milliseconds(20));
  CHECK(pair.server_lines.size() == 2);
  CHECK(pair.server->HasUnreadInput());
  for (const char* line : {"two", "three"}) {
    const std::size_t before = pair.server_lines.size();
    pair.server->SetReading(true);
    pair.RunUntil([&] { return pair.server_lines.size() == before + 1; });
    CHECK(pair.server_lines.back() == line);
  }
}

// Guards against a peer that begins a message and keeps its buffer for good,
// and against one that is closed because it is idle.
TEST_CASE("A line that has begun must end in time", "[adapters]") {
  ConnectedPair pair;
  pair.server->SetLineTimeout(milliseconds(50));
  pair.client->Write("one\r\n");
  pair.context.run_for(milliseconds(150));
  CHECK(pair.close_causes.empty());
  pair.client->Write("tw");
  pair.RunUntil([&] { return !pair.close_causes.empty(); });
  CHECK(pair.close_causes.front() == "a line is not complete in time");
}

// Guards against an answer that is dropped by its length although its peer
// reads it.
TEST_CASE("A write of any length is sent to a peer that reads", "[adapters]") {
  ConnectedPair pair(16U << 20U);
  const std::string line(LineSocket::kMaxQueuedBytes - 2, 'x');
  for (int i = 0; i < 2; ++i) {
    pair.server->Write(line + "\r\n");
    const std::size_t count = static_cast<std::size_t>(i) + 1;
    pair.RunUntil([&] { return pair.client_lines.size() == count; });
  }
  CHECK(pair.close_causes.empty());
}

TEST_CASE("A failed connection attempt is reported", "[adapters]") {
  boost::asio::io_context context(1);
  auto socket = std::make_shared<LineSocket>(context, 64);
  std::string cause;
  socket->Connect("127.0.0.1", 1, milliseconds(2'000), "",
                  {[](std::string_view) {},
                   [&](const std::string& reason) { cause = reason; }});
  context.run_for(std::chrono::seconds(3));
  CHECK_FALSE(cause.empty());
}

}  // namespace goldcrest::adapters
