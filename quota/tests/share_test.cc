#include <catch2/catch.hpp>

#include "goldcrest/quota/holder.h"
#include "goldcrest/quota/owner.h"

namespace goldcrest::quota {
namespace {

using messages::ShareUpdate;
using std::chrono::milliseconds;

constexpr Time kStart = Time(std::chrono::seconds(10));
constexpr Limit kLimit{.rate_micros = 100 * kRequestMicros,
                       .burst_micros = 50 * kRequestMicros};
const std::string kCustomer = "customer";

ShareUpdate MakeUpdate(std::int64_t term, std::int64_t sequence, int tokens) {
  ShareUpdate update;
  update.customer = kCustomer;
  update.owner_term = term;
  update.share_sequence = sequence;
  update.capacity_micros = tokens * kRequestMicros;
  update.added_micros = tokens * kRequestMicros;
  update.lease_ms = kShareLease / milliseconds(1);
  return update;
}

int TakeAll(Holder& holder, Time now) {
  int taken = 0;
  while (holder.TryTake(now, kCustomer)) {
    ++taken;
  }
  return taken;
}

// Reports to the owner and applies the answer at once.
void Exchange(Holder& holder, Owner& owner, Time now, const std::string& name) {
  holder.OnUpdates(now, now, owner.OnReport(now, name, 1, holder.Report(now)));
}

}  // namespace

// Guards against a duplicate answer that arrives after its share has expired:
// the entry must still know that it took these tokens.
TEST_CASE("A repeated update adds no tokens, even after the share expired",
          "[quota][guarantee]") {
  Holder holder;
  holder.SetLimit(kCustomer, kLimit);
  holder.Report(kStart);
  holder.OnUpdates(kStart, kStart, {MakeUpdate(1, 7, 3)});
  CHECK(TakeAll(holder, kStart) == 3);
  const Time expired = kStart + kShareLease;
  holder.Report(expired);
  holder.OnUpdates(expired, expired, {MakeUpdate(1, 7, 3)});
  CHECK(TakeAll(holder, expired) == 0);
}

// Guards against an update of an earlier owner that arrives after the new owner
// has taken over the shares that the entry reported.
TEST_CASE("A new owner counts an entry only when it refuses older updates",
          "[quota][guarantee]") {
  Holder holder;
  holder.SetLimit(kCustomer, kLimit);
  Owner owner(2, kStart, {{"entry", 1}});
  owner.SetLimit(kStart, kCustomer, kLimit);
  Exchange(holder, owner, kStart, "entry");
  CHECK_FALSE(owner.Ready(kStart));
  holder.OnUpdates(kStart, kStart, {MakeUpdate(1, 900, 40)});
  CHECK(TakeAll(holder, kStart) == 0);
  Exchange(holder, owner, kStart, "entry");
  CHECK(owner.Ready(kStart));
}

TEST_CASE("A new owner waits a lease and its margin for a silent entry",
          "[quota][guarantee]") {
  Owner owner(2, kStart, {{"entry", 1}, {"silent", 1}});
  Holder holder;
  for (int exchange = 0; exchange < 2; ++exchange) {
    Exchange(holder, owner, kStart, "entry");
  }
  CHECK_FALSE(owner.Ready(kStart + kShareExpiry - Duration(1)));
  CHECK(owner.Ready(kStart + kShareExpiry));
}

// Guards against tokens that an entry takes just before its share expires and
// that the owner gives out again just after.
TEST_CASE("The tokens of an expired share are not given out again",
          "[quota][guarantee]") {
  const Limit slow{.rate_micros = 5 * kRequestMicros,
                   .burst_micros = 50 * kRequestMicros};
  Owner owner(1, kStart, {});
  owner.SetLimit(kStart, kCustomer, slow);
  Holder lost;
  Holder other;
  for (Holder* holder : {&lost, &other}) {
    holder->SetLimit(kCustomer, slow);
  }
  owner.Register("lost", 1);
  owner.Register("other", 1);
  Time now = kStart;
  Time last_report;  // the last one that contains the share
  for (; now < kStart + std::chrono::seconds(20); now += milliseconds(250)) {
    lost.TryTake(now, kCustomer);
    const auto reports = lost.Report(now);
    if (reports.size() > 1)
      last_report = now;
    lost.OnUpdates(now, now, owner.OnReport(now, "lost", 1, reports));
  }
  const int taken = TakeAll(lost, last_report + kShareLease - Duration(1));
  CHECK(taken >= 30);
  now = last_report + kShareExpiry;
  for (int request = 0; request < 60; ++request) {
    other.StartWaiting(now, kCustomer);
  }
  int taken_after = 0;
  for (int exchange = 0; exchange < 4; ++exchange) {
    Exchange(other, owner, now, "other");
    while (other.TryTakeWaiting(now, kCustomer)) {
      ++taken_after;
    }
  }
  CHECK(taken + taken_after <= 50 + 5 * 0.3);
}

// Guards against an owner that treats a partial report as a full one and gives
// out the missing shares of the entry a second time.
TEST_CASE("A new owner asks for the shares that a partial report leaves out",
          "[quota][guarantee]") {
  Owner first(1, kStart, {{"entry", 1}});
  first.SetLimit(kStart, kCustomer, kLimit);
  Holder holder;
  holder.SetLimit(kCustomer, kLimit);
  Time now = kStart;
  for (; now < kStart + std::chrono::seconds(12); now += milliseconds(250)) {
    holder.TryTake(now, kCustomer);
    Exchange(holder, first, now, "entry");
  }
  now += std::chrono::seconds(3);  // the share is unused by now
  Owner second(2, now, {{"entry", 1}});
  second.SetLimit(now, kCustomer, kLimit);
  const auto learned = second.OnReport(now, "entry", 1, holder.Report(now));
  holder.OnUpdates(now, now, learned);
  CHECK(holder.Report(now).size() == 2);  // this report is lost
  const auto partial = holder.Report(now);
  REQUIRE(partial.size() == 1);
  const auto asked = second.OnReport(now, "entry", 1, partial);
  REQUIRE(asked.size() == 1);
  CHECK(asked.front().customer.empty());
  CHECK_FALSE(second.Ready(now));
  holder.OnUpdates(now, now, asked);
  const auto full = holder.Report(now);
  CHECK(full.size() == 2);
  second.OnReport(now, "entry", 1, full);
  CHECK(second.Ready(now));
}

// Guards against shares too small to hold a whole token, which would make the
// limit unusable.
TEST_CASE("A burst of one request serves every entry in turn", "[quota]") {
  const Limit single{.rate_micros = 10 * kRequestMicros,
                     .burst_micros = kRequestMicros};
  Owner owner(1, kStart, {});
  owner.SetLimit(kStart, kCustomer, single);
  std::vector<Holder> holders(11);
  Time now = kStart;
  int served = 0;
  for (int round = 0; round < 44; ++round, now += milliseconds(110)) {
    const auto index = static_cast<std::size_t>(round) % holders.size();
    const std::string name = std::to_string(index);
    Holder& holder = holders[index];
    owner.Register(name, 1);
    holder.SetLimit(kCustomer, single);
    CHECK_FALSE(holder.TryTake(now, kCustomer));
    holder.StartWaiting(now, kCustomer);
    for (int exchange = 0; exchange < 2; ++exchange) {
      Exchange(holder, owner, now, name);
    }
    served += holder.TryTakeWaiting(now, kCustomer) ? 1 : 0;
    holder.StopWaiting(kCustomer);
    Exchange(holder, owner, now, name);
  }
  CHECK(served == 43);  // the bucket starts empty
}

TEST_CASE("The demand reported follows a step within a second", "[quota]") {
  Holder holder;
  holder.SetLimit(kCustomer, kLimit);
  Time now = kStart;
  const auto demand = [&] {
    return holder.Report(now).at(1).demand_micros / kRequestMicros;
  };
  for (int request = 0; request < 50; ++request, now += milliseconds(20)) {
    holder.TryTake(now, kCustomer);
  }
  const std::int64_t steady = demand();
  CHECK(steady >= 45);
  CHECK(steady <= 55);
  now += std::chrono::seconds(1);
  CHECK(demand() <= 5);
}

// Guards against entries that use old shares after they have received a lowered
// limit, and against tokens that are created when the limit is raised.
TEST_CASE("A changed limit is in force once the entries have reported",
          "[quota][guarantee]") {
  Owner owner(1, kStart, {});
  owner.SetLimit(kStart, kCustomer, kLimit);
  owner.Register("entry", 1);
  Holder holder;
  holder.SetLimit(kCustomer, kLimit);
  Time now = kStart;
  const auto run = [&](int seconds) {
    int taken = 0;
    for (const Time end = now + std::chrono::seconds(seconds); now < end;
         now += milliseconds(10)) {
      taken += TakeAll(holder, now);
      Exchange(holder, owner, now, "entry");
    }
    return taken;
  };
  CHECK(run(10) >= 900);
  owner.SetLimit(now, kCustomer, {10 * kRequestMicros, 5 * kRequestMicros});
  CHECK(run(1) <= 100 + 50);
  CHECK(run(10) <= 100 + 5);
  owner.SetLimit(now, kCustomer, kLimit);
  CHECK(run(1) <= 100 + 5);
  CHECK(run(10) >= 900);
}

}  // namespace goldcrest::quota
