#include <array>

#include <catch2/catch.hpp>

#include "goldcrest/quota/holder.h"
#include "goldcrest/quota/owner.h"

namespace goldcrest::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kCustomer = "customer";
constexpr Limit kLimit{.rate_micros = 100 * kRequestMicros,
                       .burst_micros = 100 * kRequestMicros};

// An owner and two entries, each of which takes all tokens it can while it is
// busy.
class TestFleet {
 public:
  TestFleet() {
    for (Entry& entry : entries_)
      entry.holder.SetLimit(kCustomer, kLimit);
    TakeOver();
  }

  void TakeOver() {
    owner_.emplace(++term_, now_,
                   std::map<std::string, std::int64_t>{{"0", 1}, {"1", 1}});
    owner_->SetLimit(now_, kCustomer, kLimit);
  }

  // Returns the number of tokens that the entries take within `length`.
  int Run(Duration length) {
    int taken = 0;
    for (const Time end = now_ + length; now_ < end; now_ += milliseconds(5)) {
      for (std::size_t i = 0; i < entries_.size(); ++i)
        taken += Step(entries_[i], std::to_string(i));
    }
    return taken;
  }

  struct Entry {
    Holder holder;
    bool busy = false;
    bool sends_slowly = false;  // one request per 100 ms
    bool disconnected = false;
    int waiting = 0;
    Time next_request_at;
  };
  Entry& entry(std::size_t index) { return entries_.at(index); }

 private:
  int Step(Entry& entry, const std::string& name) {
    int taken = 0;
    while (entry.waiting > 0 && entry.holder.TryTakeWaiting(now_, kCustomer)) {
      --entry.waiting;
      ++taken;
    }
    const bool due = entry.sends_slowly && now_ >= entry.next_request_at;
    if (due)
      entry.next_request_at = now_ + milliseconds(100);
    while ((entry.busy || due) && entry.holder.TryTake(now_, kCustomer)) {
      ++taken;
      if (!entry.busy)
        break;
    }
    while (entry.busy && entry.waiting < 50) {
      ++entry.waiting;
      entry.holder.StartWaiting(now_, kCustomer);
    }
    if (entry.disconnected || !entry.holder.ReportDue(now_))
      return taken;
    const auto updates =
        owner_->OnReport(now_, name, 1, entry.holder.Report(now_));
    entry.holder.OnUpdates(now_, now_, updates);
    return taken;
  }

  Time now_ = Time(seconds(1));
  std::int64_t term_ = 0;
  std::optional<Owner> owner_;
  std::array<Entry, 2> entries_;
};

}  // namespace

TEST_CASE("A share of a disconnected entry is not given out a second time",
          "[quota][guarantee]") {
  // Guards against tokens that an entry takes while it is disconnected and that
  // the owner, or its successor, gives to another entry too.
  TestFleet fleet;
  fleet.entry(0).sends_slowly = true;
  fleet.Run(seconds(8));
  fleet.entry(0).disconnected = true;
  Duration length = seconds(0);
  int taken = 0;
  const auto run = [&](Duration part) {
    length += part;
    taken += fleet.Run(part);
  };

  SECTION("when its lease expires") {
    fleet.Run(milliseconds(2500));
    fleet.entry(0).busy = true;
    fleet.entry(1).busy = true;
    run(milliseconds(1500));
  }
  SECTION("by a new owner") {
    fleet.TakeOver();
    fleet.entry(0).busy = true;
    fleet.entry(1).busy = true;
    run(milliseconds(2500));
  }
  SECTION("by a new owner to which the entry has reported its share") {
    fleet.TakeOver();
    fleet.entry(0).disconnected = false;
    fleet.Run(milliseconds(100));
    fleet.entry(0).disconnected = true;
    fleet.entry(0).busy = true;
    fleet.entry(1).busy = true;
    run(milliseconds(2500));
  }
  const double allowed =
      100.0 + 100.0 * std::chrono::duration<double>(length).count();
  CHECK(taken <= allowed);
  CHECK(taken > 50);
}

TEST_CASE("An update of an earlier owner gives no tokens",
          "[quota][guarantee]") {
  // Guards against an update of an earlier owner that arrives after the entry
  // has reported its shares to the new owner.
  const Time now = Time(seconds(1));
  Holder holder;
  holder.SetLimit(kCustomer, kLimit);
  holder.Report(now);
  messages::ShareUpdate known;
  known.owner_term = 2;
  known.lease_ms = 3000;
  messages::ShareUpdate late;
  late.customer = kCustomer;
  late.owner_term = 1;
  late.share_sequence = 1;
  late.capacity_micros = late.added_micros = kLimit.burst_micros;
  late.lease_ms = 3000;
  holder.OnUpdates(now, now, {known});
  holder.OnUpdates(now, now, {late});
  CHECK_FALSE(holder.TryTake(now, kCustomer));
}

}  // namespace goldcrest::quota
