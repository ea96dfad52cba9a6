#include "goldcrest/statements/connection_pool.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;

constexpr Time kStart = TimeFromMicros(10'000'000);

struct PoolFixture {
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
TEST_CASE("Concurrent connection attempts to an endpoint are limited",
          "[statements]") {
  PoolFixture fixture;
  CHECK(fixture.pool.Open(kStart, {"e", "g", "a"}, 8) != 0);
  CHECK(fixture.pool.Open(kStart, {"e", "g", "a"}, 8) != 0);
  CHECK(fixture.pool.Open(kStart, {"e", "g", "a"}, 8) == 0);
}

TEST_CASE("Connection attempts to a full endpoint back off exponentially",
          "[statements]") {
  PoolFixture fixture;
  Time now = kStart;
  for (const int pause : {40, 80, 160}) {
    const ConnectionId id = fixture.pool.Open(now, {"e", "g", "a"}, 8);
    REQUIRE(id != 0);
    fixture.pool.OnOpenFailed(now, id, Outcome::kTooManyConnections);
    now += milliseconds(pause - 1);
    CHECK_FALSE(fixture.pool.CanOpen(now, "e", 8));
    now += milliseconds(1);
    CHECK(fixture.pool.CanOpen(now, "e", 8));
  }
}

// Guards against many entries that repeatedly send a single statement each to
// an endpoint whose slots are all in use.
TEST_CASE("An endpoint that refuses a single statement as busy is paused",
          "[statements]") {
  PoolFixture fixture;
  Time now = kStart;
  fixture.pool.OnBusy(now, "e");
  CHECK(fixture.pool.HasCapacity(now, "e"));
  Duration last{};
  for (int refusal = 0; refusal < 6; ++refusal) {
    now += milliseconds(200);
    REQUIRE(fixture.pool.HasCapacity(now, "e"));
    fixture.pool.OnBusy(now, "e");
    const Time refused_at = now;
    while (!fixture.pool.HasCapacity(now, "e"))
      now += milliseconds(1);
    CHECK(now - refused_at >= std::max<Duration>(milliseconds(10), last / 2));
    CHECK(now - refused_at <= milliseconds(160));
    last = std::min<Duration>(now - refused_at, milliseconds(80));
  }
  CHECK(last >= milliseconds(70));
  for (int answer = 0; answer < 8; ++answer)
    fixture.pool.OnLatency("e", milliseconds(5));
  fixture.pool.OnBusy(now + milliseconds(1), "e");
  CHECK(fixture.pool.HasCapacity(now + milliseconds(21), "e"));
}

// Guards against a connection that carries another customer's statements.
TEST_CASE("A connection serves its own customer only",
          "[statements][guarantee]") {
  PoolFixture fixture;
  const ConnectionId id = fixture.OpenIdle(kStart, "a", 1);
  CHECK(fixture.pool.TakeIdle(kStart, "e", "b", 1) == nullptr);
  CHECK(fixture.pool.TakeIdle(kStart, "f", "a", 1) == nullptr);

  SECTION("At the limit an idle connection is closed") {
    CHECK(fixture.OpenIdle(kStart, "b", 1) != 0);
    CHECK(fixture.closed == std::vector<ConnectionId>{id});
  }
  SECTION("A busy connection is not closed") {
    CHECK(fixture.pool.TakeIdle(kStart, "e", "a", 1) != nullptr);
    CHECK(fixture.OpenIdle(kStart, "b", 1) == 0);
  }
}

TEST_CASE("Idle connections are closed after the idle timeout",
          "[statements]") {
  PoolFixture fixture;
  fixture.OpenIdle(kStart, "a");
  const auto wanted = [](const std::string&) { return false; };
  const auto none_kept = [](const std::string&) { return 0; };
  fixture.pool.CloseIdle(kStart + milliseconds(199), wanted, none_kept);
  CHECK(fixture.pool.Size() == 1);
  fixture.pool.CloseIdle(kStart + milliseconds(200), wanted, none_kept);
  CHECK(fixture.pool.Size() == 0);
}

// Guards against relays that open a connection for each operation, and against
// relays that keep all connections of an endpoint to themselves.
TEST_CASE("A relay keeps as many idle connections as it may", "[statements]") {
  PoolFixture fixture;
  fixture.OpenIdle(kStart, "a");
  fixture.OpenIdle(kStart, "b");
  fixture.OpenIdle(kStart, "c");
  const auto wanted = [](const std::string&) { return false; };
  const auto two_kept = [](const std::string&) { return 2; };
  fixture.pool.CloseIdle(kStart + milliseconds(200), wanted, two_kept);
  CHECK(fixture.pool.Size() == 2);
  fixture.pool.CloseIdle(kStart + std::chrono::seconds(30), wanted, two_kept);
  CHECK(fixture.pool.Size() == 0);
}

// Guards against a recent commit of one session that excludes a replica from
// the reads of all sessions.
TEST_CASE("A replica counts as behind only from the position it refused",
          "[statements]") {
  PoolFixture fixture;
  fixture.pool.OnBehind(kStart, "e", {1, 10});
  CHECK(fixture.pool.IsBehind(kStart, "e", {1, 10}));
  CHECK(fixture.pool.IsBehind(kStart, "e", {1, 11}));
  CHECK_FALSE(fixture.pool.IsBehind(kStart, "e", {1, 9}));
  fixture.pool.OnPosition("e", {1, 10});
  CHECK_FALSE(fixture.pool.IsBehind(kStart, "e", {1, 10}));
  CHECK_FALSE(fixture.pool.IsBehind(kStart + milliseconds(200), "e", {1, 11}));
}

}  // namespace goldcrest::statements
