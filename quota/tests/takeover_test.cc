#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "goldcrest/quota/holder.h"
#include "goldcrest/quota/owner.h"

namespace goldcrest::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = TimeFromMicros(50'000'000);
constexpr Limit kLimit{100 * kRequestMicros, 50 * kRequestMicros};

std::map<std::string, std::int64_t> Instances(int count) {
  std::map<std::string, std::int64_t> instances;
  for (int i = 0; i < count; ++i)
    instances["entry" + std::to_string(i)] = 1;
  return instances;
}

void Report(Owner& owner,
            Time now,
            const std::string& entry,
            Duration idle_for) {
  messages::ShareReport header;
  header.owner_term = 2;
  owner.OnReport(now, entry, 1, {header}, idle_for);
}

std::int64_t TokensFor(Owner& owner, Time now, const std::string& entry) {
  messages::ShareReport header;
  header.owner_term = 2;
  messages::ShareReport wanted;
  wanted.customer = "customer";
  wanted.demand_micros = 10 * kRequestMicros;
  wanted.wanted_micros = 100 * kRequestMicros;
  const auto updates = owner.OnReport(now, entry, 1, {header, wanted});
  return updates.empty() ? 0 : updates.back().added_micros / kRequestMicros;
}

}  // namespace

TEST_CASE("The bucket of a limit allows no more than its window",
          "[quota][guarantee]") {
  const LimitWindow window;
  for (const std::int64_t rate : {1, 23, 71, 500}) {
    const Limit limit = LimitFor(rate, rate, window);
    const double in_window = static_cast<double>(limit.rate_micros) * 5 +
                             static_cast<double>(limit.burst_micros) +
                             static_cast<double>(limit.reserve_micros);
    CHECK(in_window <= (static_cast<double>(rate) * 6 * 1.1 + 20) * 1e6);
    CHECK(limit.rate_micros >= rate * kRequestMicros);
  }
  CHECK(LimitFor(0, 0, window) == Limit{});
}

// Guards against refusals of requests within the rate after a power loss, when
// the new owner does not know of any free token.
TEST_CASE("A new owner gives the reserve to requests that wait",
          "[quota][guarantee]") {
  Limit limit = kLimit;
  limit.reserve_micros = 30 * kRequestMicros;
  Owner owner(2, kStart, Instances(8));
  owner.SetLimit(kStart, "customer", limit);
  CHECK(TokensFor(owner, kStart, "entry0") == 0);
  owner.GrantReserve(kStart);
  SECTION("once") {
    CHECK(TokensFor(owner, kStart, "entry0") == 30);
    CHECK(TokensFor(owner, kStart + milliseconds(1), "entry1") == 0);
  }
  SECTION("and not after its validity") {
    CHECK(TokensFor(owner, kStart + kReserveValidity, "entry0") == 0);
  }
}

// Guards against refusals of requests within the rate while one instance is
// frozen.
TEST_CASE("An owner that lacks one of many reports gives out the rest",
          "[quota][guarantee]") {
  Owner owner(2, kStart, Instances(8));
  owner.SetLimit(kStart, "customer", kLimit);
  for (int i = 0; i < 7; ++i)
    Report(owner, kStart, "entry" + std::to_string(i), Duration::zero());
  const Time now = kStart + seconds(1);
  CHECK_FALSE(owner.Ready(now));
  const std::int64_t tokens = TokensFor(owner, now, "entry0");
  CHECK(tokens > 0);
  CHECK(tokens <= 75);

  SECTION("With four reports missing it gives out nothing") {
    Owner uninformed(2, kStart, Instances(8));
    uninformed.SetLimit(kStart, "customer", kLimit);
    for (int i = 0; i < 4; ++i)
      Report(uninformed, kStart, "entry" + std::to_string(i), Duration::zero());
    CHECK(TokensFor(uninformed, now, "entry0") == 0);
  }
}

// Guards against refusals after a restart of all processes, though no request
// used the limit during the restart.
TEST_CASE("Time in which no entry took a token counts at a takeover",
          "[quota]") {
  Owner owner(2, kStart, Instances(2));
  owner.SetLimit(kStart, "customer", kLimit);
  Report(owner, kStart, "entry0", milliseconds(300));
  CHECK_FALSE(owner.Ready(kStart));
  Report(owner, kStart, "entry1", milliseconds(200));
  const std::int64_t tokens = TokensFor(owner, kStart, "entry0");
  CHECK(tokens > 0);
  CHECK(tokens <= 20);
}

TEST_CASE("A process that has ended is not waited for", "[quota]") {
  Owner owner(2, kStart, Instances(1));
  owner.SetLimit(kStart, "customer", kLimit);
  CHECK_FALSE(owner.Ready(kStart));
  owner.OnProcessEnded(kStart, "entry0");
  owner.Register("entry0", 2);
  CHECK(owner.Ready(kStart));
}

}  // namespace goldcrest::quota
