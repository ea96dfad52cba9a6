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

// An owner and two entries; each entry takes what it can while it is busy.
class Rig {
 public:
  Rig() {
    for (Entry& entry : entries_)
      entry.holder.SetLimit(kCustomer, kLimit);
    TakeOver();
  }

  void TakeOver() {
    owner_.emplace(++term_, now_,
                   std::map<std::string, std::int64_t>{{"0", 1}, {"1", 1}});
    owner_->SetLimit(now_, kCustomer, kLimit);
  }

  // Requests taken in `length` by the entries that are busy.
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
    bool trickle = false;  // one request in 100 ms
    bool cut = false;
    int waiting = 0;
    Time next;
  };
  Entry& entry(std::size_t index) { return entries_.at(index); }

 private:
  int Step(Entry& entry, const std::string& name) {
    int taken = 0;
    while (entry.waiting > 0 && entry.holder.TryTakeWaiting(now_, kCustomer)) {
      --entry.waiting;
      ++taken;
    }
    const bool due = entry.trickle && now_ >= entry.next;
    if (due)
      entry.next = now_ + milliseconds(100);
    while ((entry.busy || due) && entry.holder.TryTake(now_, kCustomer)) {
      ++taken;
      if (!entry.busy)
        break;
    }
    while (entry.busy && entry.waiting < 50) {
      ++entry.waiting;
      entry.holder.StartWaiting(now_, kCustomer);
    }
    if (entry.cut || !entry.holder.ReportDue(now_))
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

TEST_CASE("A share that is cut off is not given out a second time",
          "[quota][guarantee]") {
  // Guards against tokens that an entry takes while it is cut off and that the
  // owner, or its successor, gives to another entry as well.
  Rig rig;
  rig.entry(0).trickle = true;
  rig.Run(seconds(8));
  rig.entry(0).cut = true;
  Duration length = seconds(0);
  int taken = 0;
  const auto run = [&](Duration part) {
    length += part;
    taken += rig.Run(part);
  };

  SECTION("when its lease lapses") {
    rig.Run(milliseconds(2500));
    rig.entry(0).busy = true;
    rig.entry(1).busy = true;
    run(milliseconds(1500));
  }
  SECTION("by a new owner") {
    rig.TakeOver();
    rig.entry(0).busy = true;
    rig.entry(1).busy = true;
    run(milliseconds(2500));
  }
  SECTION("by a new owner that it has told of its share") {
    rig.TakeOver();
    rig.entry(0).cut = false;
    rig.Run(milliseconds(100));
    rig.entry(0).cut = true;
    rig.entry(0).busy = true;
    rig.entry(1).busy = true;
    run(milliseconds(2500));
  }
  const double allowed =
      100.0 + 100.0 * std::chrono::duration<double>(length).count();
  CHECK(taken <= allowed);
  CHECK(taken > 50);
}

TEST_CASE("An update of an earlier owner gives no tokens",
          "[quota][guarantee]") {
  // Guards against an update that arrives after its entry has told the new
  // owner what it holds.
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
