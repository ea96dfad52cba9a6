#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <utility>

#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;

// Opens a session for each read and answers the read after `latency`. Returns
// how many reads each endpoint got.
std::map<std::string, int> RunReads(ProxyFixture& fixture,
                                    int count,
                                    Duration latency = milliseconds(5)) {
  static SessionId last_session = 10'000;
  std::map<std::string, int> reads;
  for (int i = 0; i < count; ++i) {
    const SessionId session = ++last_session;
    fixture.OpenSession(session, "stale");
    fixture.SendStatement(session, StatementKind::kRead, "READ a");
    const ConnectionId id = fixture.AcceptConnection();
    ++reads[fixture.endpoint_of.at(id)];
    fixture.now += latency;
    fixture.Reply(id, {1, 10});
    fixture.proxy->OnSessionClosed(fixture.now, session);
    fixture.Advance(milliseconds(250));  // The idle connection is closed.
    fixture.proxy->OnConfirmedPosition("g", fixture.now, {1, 10});
  }
  return reads;
}

}  // namespace

// Guards against entries that all send their first reads to the replica that is
// first by name when their zone has none.
TEST_CASE("Reads from a zone without endpoints are spread over the replicas",
          "[statements]") {
  std::map<std::string, int> reads;
  for (std::uint64_t entry = 0; entry < 40; ++entry) {
    ProxyFixture fixture(Duration::max(), Duration::max(), std::nullopt,
                         entry * 7'919);
    fixture.SetZone("p", "z2");
    fixture.SetZone("r1", "z3");
    fixture.SetZone("r2", "z4");
    fixture.ConfirmPosition({1, 10});
    for (const auto& [endpoint, count] : RunReads(fixture, 1))
      reads[endpoint] += count;
  }
  CHECK(reads.count("p") == 0);
  CHECK(reads["r1"] >= 16);
  CHECK(reads["r2"] >= 16);
}

TEST_CASE("Reads stay in their zone below the limit and leave it above it",
          "[statements]") {
  ProxyFixture fixture;
  fixture.SetZone("r1", "z2");
  fixture.SetZone("r2", "z3");
  fixture.SetZone("p", "z1");
  fixture.ConfirmPosition({1, 10});
  // The target latency is 400 ms, a quarter of it the limit; half of that for
  // reads at a primary.
  CHECK(RunReads(fixture, 40, milliseconds(20)).at("p") == 40);
  const auto reads = RunReads(fixture, 200, milliseconds(90));
  CHECK(reads.at("p") < 180);
}

// Guards against reads that leave their zone at once when its endpoint has no
// room for a connection for a moment.
TEST_CASE("A read waits in its zone for as long as statements may take there",
          "[statements]") {
  ProxyFixture fixture;
  fixture.SetZone("r1", "z1");
  fixture.SetZone("p", "z2");
  fixture.SetZone("r2", "z3");
  fixture.ConfirmPosition({1, 10});
  fixture.OpenSession(1, "stale");
  fixture.SendStatement(1, StatementKind::kRead, "READ a");
  for (int waited = 0; waited < 100; waited += 20) {
    for (const auto& [id, target] :
         std::exchange(fixture.opening_connections, {})) {
      CHECK(target.endpoint == "r1");
      fixture.proxy->OnOpenFailed(fixture.now, id,
                                  Outcome::kTooManyConnections);
    }
    fixture.Advance(milliseconds(20));
  }
  REQUIRE_FALSE(fixture.opening_connections.empty());
  CHECK(fixture.opening_connections.back().second.endpoint == "r2");
}

}  // namespace goldcrest::statements
