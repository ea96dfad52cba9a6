#include "goldcrest/statements/connection_pool.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;

constexpr Time kStart = TimeFromMicros(10'000'000);

struct Pool {
  std::vector<ConnectionId> closed;
  ConnectionPool pool{{[](ConnectionId, const ConnectionTarget&) {},
                       [this](ConnectionId id) { closed.push_back(id); }}};

  ConnectionId OpenIdle(Time now, const std::string& customer, int limit = 8) {
    const ConnectionId id = pool.Open(now, {"e", "g", customer}, limit);
    if (id != 0)
      pool.OnOpened(now, id);
    return id;
  }
};

}  // namespace

// Guards against an endpoint that spends its slots on refusing connections.
TEST_CASE("Connections are opened a few at a time", "[statements]") {
  Pool pool;
  CHECK(pool.pool.Open(kStart, {"e", "g", "a"}, 8) != 0);
  CHECK(pool.pool.Open(kStart, {"e", "g", "a"}, 8) != 0);
  CHECK(pool.pool.Open(kStart, {"e", "g", "a"}, 8) == 0);
}

TEST_CASE("A full endpoint is left alone for longer each time",
          "[statements]") {
  Pool pool;
  Time now = kStart;
  for (const int pause : {40, 80, 160}) {
    const ConnectionId id = pool.pool.Open(now, {"e", "g", "a"}, 8);
    REQUIRE(id != 0);
    pool.pool.OnOpenFailed(now, id, Outcome::kTooManyConnections);
    now += milliseconds(pause - 1);
    CHECK_FALSE(pool.pool.MayOpen(now, "e", 8));
    now += milliseconds(1);
    CHECK(pool.pool.MayOpen(now, "e", 8));
  }
}

// Guards against many entries that ask a full endpoint again and again, each
// with a single statement.
TEST_CASE(
    "An endpoint without room for one statement is left alone for a while",
    "[statements]") {
  Pool pool;
  Time now = kStart;
  pool.pool.OnBusy(now, "e");
  CHECK(pool.pool.HasRoom(now, "e"));
  Duration last{};
  for (int refusal = 0; refusal < 6; ++refusal) {
    now += milliseconds(200);
    REQUIRE(pool.pool.HasRoom(now, "e"));
    pool.pool.OnBusy(now, "e");
    const Time refused_at = now;
    while (!pool.pool.HasRoom(now, "e"))
      now += milliseconds(1);
    CHECK(now - refused_at >= std::max<Duration>(milliseconds(10), last / 2));
    CHECK(now - refused_at <= milliseconds(160));
    last = std::min<Duration>(now - refused_at, milliseconds(80));
  }
  CHECK(last >= milliseconds(70));
  for (int answer = 0; answer < 8; ++answer)
    pool.pool.OnLatency("e", milliseconds(5));
  pool.pool.OnBusy(now + milliseconds(1), "e");
  CHECK(pool.pool.HasRoom(now + milliseconds(21), "e"));
}

// Guards against a connection that carries another customer's statements.
TEST_CASE("A connection serves its own customer only",
          "[statements][guarantee]") {
  Pool pool;
  const ConnectionId id = pool.OpenIdle(kStart, "a", 1);
  CHECK(pool.pool.Take(kStart, "e", "b", 1) == nullptr);
  CHECK(pool.pool.Take(kStart, "f", "a", 1) == nullptr);

  SECTION("At the limit an idle one makes way") {
    CHECK(pool.OpenIdle(kStart, "b", 1) != 0);
    CHECK(pool.closed == std::vector<ConnectionId>{id});
  }
  SECTION("One in use does not") {
    CHECK(pool.pool.Take(kStart, "e", "a", 1) != nullptr);
    CHECK(pool.OpenIdle(kStart, "b", 1) == 0);
  }
}

TEST_CASE("Idle connections are given up", "[statements]") {
  Pool pool;
  pool.OpenIdle(kStart, "a");
  const auto wanted = [](const std::string&) { return false; };
  pool.pool.CloseIdle(kStart + milliseconds(199), wanted);
  CHECK(pool.pool.Size() == 1);
  pool.pool.CloseIdle(kStart + milliseconds(200), wanted);
  CHECK(pool.pool.Size() == 0);
}

// Guards against a fresh commit of one session that keeps all reads from a
// replica.
TEST_CASE("A replica is behind only for what it refused", "[statements]") {
  Pool pool;
  pool.pool.OnBehind(kStart, "e", {1, 10});
  CHECK(pool.pool.IsBehind(kStart, "e", {1, 10}));
  CHECK(pool.pool.IsBehind(kStart, "e", {1, 11}));
  CHECK_FALSE(pool.pool.IsBehind(kStart, "e", {1, 9}));
  pool.pool.OnPosition("e", {1, 10});
  CHECK_FALSE(pool.pool.IsBehind(kStart, "e", {1, 10}));
  CHECK_FALSE(pool.pool.IsBehind(kStart + milliseconds(200), "e", {1, 11}));
}

}  // namespace goldcrest::statements
