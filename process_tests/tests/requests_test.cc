#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <vector>

#include "fleet.h"
#include "wait.h"

namespace goldcrest::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The stated target of guarantee 6.
constexpr milliseconds kWithdrawalBound{6'000};

constexpr int kRateExceeded = 300;
constexpr int kKeyWithdrawn = 202;

struct RateCounts {
  int done = 0;
  int refused = 0;
  int other = 0;  //!< Neither of the two.
  int with_retry_after = 0;
  int bad_retry_after = 0;
};

//! One client that sends requests one after another as fast as it can.
RateCounts ReadUntil(std::uint16_t port, steady_clock::time_point end) {
  Caller caller(Fleet::kShopKey);
  RateCounts counts;
  while (steady_clock::now() < end) {
    const Reply reply = caller.Read(port, "van");
    if (reply.Done()) {
      ++counts.done;
      continue;
    }
    const bool by_rate = reply.status == 429 && reply.code == kRateExceeded &&
                         reply.outcome == "not_run";
    ++(by_rate ? counts.refused : counts.other);
    // Left out where the entry can't tell a true time.
    const auto retry_after = reply.Number("retry_after_ms");
    if (!retry_after)
      continue;
    ++counts.with_retry_after;
    counts.bad_retry_after +=
        *retry_after <= 0 || !reply.headers.contains("retry-after") ? 1 : 0;
  }
  return counts;
}

}  // namespace

// Fails when a read is routed without regard to the caller's mark, or when a
// transaction's writes are seen before the commit or after a rollback.
TEST_CASE("A caller reads its own writes and transactions through any entry",
          "[process_tests][guarantee]") {
  Fleet fleet;
  Caller caller(Fleet::kHallKey);
  const auto instances = fleet.Instances();
  for (std::size_t i = 0; i < 4 * instances.size(); ++i) {
    const std::string value = std::to_string(i);
    const auto write_port = fleet.CallerPort(instances[i % instances.size()]);
    const auto read_port =
        fleet.CallerPort(instances[(i + 1) % instances.size()]);
    REQUIRE(caller.Write(write_port, "set facade " + value).Done());
    const Reply read = caller.Read(read_port, "facade");
    REQUIRE(read.Done());
    CHECK(read.Text("value") == value);
  }

  const auto port = fleet.CallerPort("e4");
  const auto other_port = fleet.CallerPort("e2");
  Caller other(Fleet::kHallKey);
  for (const bool commits : {false, true}) {
    const Reply begun = caller.Begin(port);
    REQUIRE(begun.Done());
    const std::string transaction = begun.Text("transaction");
    REQUIRE(caller.Write(port, "set van booked", "", transaction).Done());
    CHECK(caller.Read(port, "van", transaction).Text("value") == "booked");
    CHECK(other.Read(other_port, "van").Text("value").empty());
    const Reply ended = commits ? caller.Commit(port, transaction)
                                : caller.Rollback(port, transaction);
    REQUIRE(ended.Done());
    const Reply after = caller.Read(other_port, "van");
    REQUIRE(after.Done());
    CHECK(after.Text("value") == (commits ? "booked" : ""));
  }
}

// Fails when entries count a customer's rate each for itself, or when a refusal
// by rate is not said to be one.
TEST_CASE("A customer over its rate is refused over all entries together",
          "[process_tests][guarantee]") {
  const Fleet fleet;
  constexpr std::chrono::seconds load_time{3};
  const auto start = steady_clock::now();
  const auto end = start + load_time;
  std::vector<std::future<RateCounts>> clients;
  // Two to each entry, so that each needs a share.
  for (int i = 0; i < 2; ++i) {
    for (const std::string& instance : fleet.Instances()) {
      clients.push_back(std::async(std::launch::async,
                                   [port = fleet.CallerPort(instance), end] {
                                     return ReadUntil(port, end);
                                   }));
    }
  }
  RateCounts sum;
  for (auto& client : clients) {
    const RateCounts counts = client.get();
    sum.done += counts.done;
    sum.refused += counts.refused;
    sum.other += counts.other;
    sum.with_retry_after += counts.with_retry_after;
    sum.bad_retry_after += counts.bad_retry_after;
  }
  const std::chrono::duration<double> passed = steady_clock::now() - start;
  INFO("done " << sum.done << ", refused " << sum.refused << ", with time "
               << sum.with_retry_after);
  CHECK(sum.done <= Fleet::kShopBurst + Fleet::kShopRate * passed.count());
  CHECK(sum.done >= Fleet::kShopBurst);
  CHECK(sum.refused > 0);
  CHECK(sum.other == 0);
  CHECK(sum.bad_retry_after == 0);
}

// Fails when the key is checked once per connection only.
TEST_CASE("A withdrawn key stops on an open connection within 6 s",
          "[process_tests][guarantee]") {
  Fleet fleet;
  Caller caller(Fleet::kHallKey);
  const auto port = fleet.CallerPort("e5");
  REQUIRE(caller.Read(port, "van").Done());
  REQUIRE(
      fleet.Operator("e2", "DELETE", "/v1/keys/k-hall?change_id=w1").Done());
  Reply reply;
  CHECK(Eventually(kWithdrawalBound, [&] {
    reply = caller.Read(port, "van");
    return !reply.Done();
  }));
  CHECK(reply.code == kKeyWithdrawn);
  CHECK(reply.outcome == "not_run");
}

// Fails when the fixture loses track of a process it started.
TEST_CASE("A fleet that is gone leaves no process and no folder",
          "[process_tests]") {
  std::filesystem::path folder;
  {
    const Fleet fleet;
    folder = fleet.folder().path();
    CHECK(HasChildren());
    CHECK(std::filesystem::exists(folder));
  }
  CHECK_FALSE(HasChildren());
  CHECK_FALSE(std::filesystem::exists(folder));
}

}  // namespace goldcrest::process_tests
