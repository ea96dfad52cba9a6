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

// Time limit of guarantee 6.
constexpr milliseconds kMaxWithdrawalDelay{6'000};

constexpr int kRateExceeded = 300;
constexpr int kKeyWithdrawn = 202;

struct RateCounts {
  int done = 0;
  int refused = 0;
  int other = 0;  //!< Neither done nor refused by rate.
  int with_retry_after = 0;
  int bad_retry_after = 0;
};

//! Sends reads one after another, without pauses, until `end`.
RateCounts SendReadsUntil(std::uint16_t port, steady_clock::time_point end) {
  Caller caller(Fleet::kShopKey);
  RateCounts counts;
  while (steady_clock::now() < end) {
    const Reply reply = caller.Read(port, "van");
    if (reply.Succeeded()) {
      ++counts.done;
      continue;
    }
    const bool rate_exceeded = reply.status == 429 &&
                               reply.code == kRateExceeded &&
                               reply.outcome == "not_run";
    ++(rate_exceeded ? counts.refused : counts.other);
    // An entry omits the field when it doesn't know when to retry.
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

// Guards against reads that are routed without regard to the position in the
// caller's session, and against writes of a transaction that are visible before
// the commit or after a rollback.
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
    REQUIRE(caller.Write(write_port, "set facade " + value).Succeeded());
    const Reply read = caller.Read(read_port, "facade");
    REQUIRE(read.Succeeded());
    CHECK(read.Text("value") == value);
  }

  const auto port = fleet.CallerPort("e4");
  const auto other_port = fleet.CallerPort("e2");
  Caller other(Fleet::kHallKey);
  for (const bool commit : {false, true}) {
    const Reply begun = caller.Begin(port);
    REQUIRE(begun.Succeeded());
    const std::string transaction = begun.Text("transaction");
    REQUIRE(caller.Write(port, "set van booked", "", transaction).Succeeded());
    CHECK(caller.Read(port, "van", transaction).Text("value") == "booked");
    CHECK(other.Read(other_port, "van").Text("value").empty());
    const Reply ended = commit ? caller.Commit(port, transaction)
                               : caller.Rollback(port, transaction);
    REQUIRE(ended.Succeeded());
    const Reply after = caller.Read(other_port, "van");
    REQUIRE(after.Succeeded());
    CHECK(after.Text("value") == (commit ? "booked" : ""));
  }
}

// Guards against entries that each enforce the whole rate of a customer on
// their own, and against refusals that don't name the rate as their cause.
TEST_CASE("A customer over its rate is refused over all entries together",
          "[process_tests][guarantee]") {
  const Fleet fleet;
  constexpr std::chrono::seconds load_time{3};
  const auto start = steady_clock::now();
  const auto end = start + load_time;
  std::vector<std::future<RateCounts>> clients;
  // Two clients per instance, so that each instance needs a share of the rate.
  for (int i = 0; i < 2; ++i) {
    for (const std::string& instance : fleet.Instances()) {
      clients.push_back(std::async(std::launch::async,
                                   [port = fleet.CallerPort(instance), end] {
                                     return SendReadsUntil(port, end);
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
  const std::chrono::duration<double> elapsed = steady_clock::now() - start;
  INFO("done " << sum.done << ", refused " << sum.refused
               << ", with retry_after_ms " << sum.with_retry_after);
  CHECK(sum.done <= Fleet::kShopBurst + Fleet::kShopRate * elapsed.count());
  CHECK(sum.done >= Fleet::kShopBurst);
  CHECK(sum.refused > 0);
  CHECK(sum.other == 0);
  CHECK(sum.bad_retry_after == 0);
}

// Guards against a key that is checked only once per connection.
TEST_CASE("A withdrawn key is refused on an open connection within 6 s",
          "[process_tests][guarantee]") {
  Fleet fleet;
  Caller caller(Fleet::kHallKey);
  const auto port = fleet.CallerPort("e5");
  REQUIRE(caller.Read(port, "van").Succeeded());
  REQUIRE(
      fleet.SendOperatorRequest("e2", "DELETE", "/v1/keys/k-hall?change_id=w1")
          .Succeeded());
  Reply reply;
  CHECK(WaitUntil(kMaxWithdrawalDelay, [&] {
    reply = caller.Read(port, "van");
    return !reply.Succeeded();
  }));
  CHECK(reply.code == kKeyWithdrawn);
  CHECK(reply.outcome == "not_run");
}

// Guards against child processes and folders that the fixture fails to clean
// up.
TEST_CASE("A destroyed fleet leaves no process and no folder",
          "[process_tests]") {
  std::filesystem::path folder;
  {
    const Fleet fleet;
    folder = fleet.folder().path();
    CHECK(HasUnreapedChildren());
    CHECK(std::filesystem::exists(folder));
  }
  CHECK_FALSE(HasUnreapedChildren());
  CHECK_FALSE(std::filesystem::exists(folder));
}

}  // namespace goldcrest::process_tests
