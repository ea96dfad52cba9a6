#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "goldcrest/quota/owner.h"
#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kCallerDeadline = milliseconds(600);
constexpr int kRetries = 2;
constexpr std::size_t kSlots = 4;
constexpr std::size_t kQueuedAtEndpoint = 4;
const std::vector<std::string> kOthers = {"a", "b", "c", "d"};

struct Result {
  int operations = 0;
  int served = 0;  // within the caller's deadline
  int refusals = 0;
  Duration latency{};        // sum over those served
  Duration refused_after{};  // sum over the refusals
};

// Entries in simulated time, with callers that retry as they are told, each
// time at another entry, and a primary that refuses what it has no room for.
class AdmissionRun {
 public:
  explicit AdmissionRun(int entries) : entries_(entries) {
    for (ProxyFixture& entry : entries_) {
      routing::Route& patient = entry.table.routes["patient"];
      patient = entry.table.routes["strict"];
      patient.statement_timeout = milliseconds(500);
      entry.table.routes["urgent"] = patient;
      entry.table.routes["urgent"].target_latency = milliseconds(120);
      for (const std::string name : {"a", "b", "c", "d", "hot"}) {
        entry.table.keys[name] = entry.table.customers.size();
        entry.table.customers.push_back({name, {name}, 60, 60});
      }
      entry.ApplyTable(2);
      entry.ConfirmVersion(2);
      entry.proxy->OnEntryCount(entries);
      for (const routing::Customer& customer : entry.table.customers)
        entry.proxy->holder().SetLimit(customer.name, std::nullopt);
    }
  }

  // Sets the limit of "a", which an owner divides.
  void Limit(std::int64_t rate) {
    const quota::Limit limit = quota::LimitFor(rate, rate, {});
    owner_.SetLimit(now_, "a", limit);
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      owner_.Register(std::to_string(i), 1);
      entries_[i].proxy->holder().SetLimit("a", limit);
    }
  }

  void Call(const std::string& customer,
            const std::string& route,
            int rate,
            Duration first,
            Duration last) {
    Result& result = results[customer + " " + route];
    for (Duration at = first; at < last; at += Duration(seconds(1)) / rate) {
      calls_.emplace(start_ + at, Caller{customer, route, start_ + at});
      ++result.operations;
    }
  }

  void Run(Duration duration) {
    for (const Time end = start_ + duration; now_ < end;) {
      now_ += milliseconds(1);
      for (ProxyFixture& entry : entries_)
        entry.now = now_;
      while (!calls_.empty() && calls_.begin()->first <= now_)
        Start(calls_.extract(calls_.begin()).mapped());
      if (now_.time_since_epoch() % milliseconds(20) == Duration::zero()) {
        for (ProxyFixture& entry : entries_)
          entry.proxy->Tick(now_);
      }
      // Reports arrive in the next round trip of 10 ms.
      if (now_.time_since_epoch() % milliseconds(10) == Duration::zero())
        Report();
      RunEndpoint();
      CollectAnswers();
    }
    if (std::getenv("GOLDCREST_PRINT_RUNS") == nullptr)
      return;
    for (const auto& [name, r] : results)
      std::printf("%zu %s: %d of %d in %ld ms; %d refused after %ld ms\n",
                  entries_.size(), name.c_str(), r.served, r.operations,
                  r.latency / milliseconds(1) / std::max(1, r.served),
                  r.refusals,
                  r.refused_after / milliseconds(1) / std::max(1, r.refusals));
  }

  Duration service = milliseconds(9);
  std::map<std::string, Result> results;  // by customer and route

 private:
  struct Caller {
    std::string customer;
    std::string route;
    Time began;
    int retries = 0;
    Time arrived;
  };
  struct Job {
    Duration duration;
    std::function<void()> done;
    Time end;
  };

  ProxyFixture& EntryOf(SessionId id) { return entries_[id % entries_.size()]; }

  void Start(Caller caller) {
    const SessionId id = ++sessions_;
    caller.arrived = now_;
    callers_[id] = caller;
    EntryOf(id).OpenSession(id, caller.route, caller.customer);
    EntryOf(id).SendStatement(id, StatementKind::kWrite, "WRITE a b");
  }

  void Report() {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      StatementProxy& proxy = *entries_[i].proxy;
      if (!proxy.holder().ReportDue(now_))
        continue;
      proxy.holder().OnUpdates(now_, now_,
                               owner_.OnReport(now_, std::to_string(i), 1,
                                               proxy.holder().Report(now_)));
      proxy.OnShares(now_);
    }
  }

  void RunEndpoint() {
    for (ProxyFixture& entry : entries_) {
      for (const auto& [id, target] :
           std::exchange(entry.opening_connections, {}))
        jobs_.push_back({milliseconds(12), [&entry, id = id] {
                           entry.proxy->OnOpened(entry.now, id);
                         }});
      for (const auto& [id, commands] : entry.sent) {
        for (std::size_t& seen = seen_[{&entry, id}]; seen < commands.size();
             ++seen) {
          const bool busy = jobs_.size() >= kQueuedAtEndpoint;
          jobs_.push_back(
              {busy ? milliseconds(1) : service, [&entry, id = id, busy] {
                 entry.Reply(id, {1, 5},
                             busy ? Outcome::kBusy : Outcome::kDone);
               }});
        }
      }
    }
    const auto done = std::stable_partition(
        running_.begin(), running_.end(),
        [this](const Job& job) { return now_ < job.end; });
    const std::vector<Job> ended(done, running_.end());
    running_.erase(done, running_.end());
    for (const Job& job : ended)
      job.done();
    while (running_.size() < kSlots && !jobs_.empty()) {
      running_.push_back(std::move(jobs_.front()));
      running_.back().end = now_ + running_.back().duration;
      jobs_.pop_front();
    }
  }

  void CollectAnswers() {
    std::erase_if(callers_, [this](const auto& item) {
      ProxyFixture& entry = EntryOf(item.first);
      if (entry.AnswerCount(item.first) < 2)
        return false;
      Caller caller = item.second;
      const Answer answer = entry.LastAnswer(item.first);
      entry.proxy->OnSessionClosed(now_, item.first);
      Result& result = results[caller.customer + " " + caller.route];
      const Time deadline = caller.began + kCallerDeadline;
      if (answer.outcome == Outcome::kDone) {
        if (now_ <= deadline) {
          ++result.served;
          result.latency += now_ - caller.began;
        }
        return true;
      }
      ++result.refusals;
      result.refused_after += now_ - caller.arrived;
      const std::size_t told = answer.message.find("retry after ");
      if (told == std::string::npos || ++caller.retries > kRetries)
        return true;
      const Time at =
          now_ + milliseconds(std::atoi(answer.message.c_str() + told + 12));
      if (at < deadline)
        calls_.emplace(at, caller);
      return true;
    });
  }

  std::deque<ProxyFixture> entries_;
  Time now_ = entries_.front().now;
  const Time start_ = now_;
  quota::Owner owner_{1, now_, {}};
  std::multimap<Time, Caller> calls_;
  std::map<SessionId, Caller> callers_;
  SessionId sessions_ = 0;
  std::map<std::pair<ProxyFixture*, ConnectionId>, std::size_t> seen_;
  std::deque<Job> jobs_;
  std::vector<Job> running_;
};

}  // namespace

// Guards against a customer that takes the others' share of the endpoint, and
// against a debt that it keeps after it has slowed down.
TEST_CASE("A customer at seven times its rate does not affect the others",
          "[statements][admission]") {
  AdmissionRun run(1);
  for (const std::string& name : kOthers)
    run.Call(name, "urgent", 60, seconds(0), seconds(10));
  run.Call("hot", "urgent", 420, seconds(2), seconds(8));
  run.Call("hot", "patient", 60, seconds(9), seconds(10));
  run.Run(seconds(12));
  for (const std::string& name : kOthers) {
    const Result& result = run.results[name + " urgent"];
    CHECK(result.served >= 0.99 * result.operations);
    CHECK(result.latency <= result.served * milliseconds(50));
  }
  CHECK(run.results["hot patient"].refusals == 0);
}

// Guards against a kind with a long target latency that delays the statements
// of a kind with a short one.
TEST_CASE("A burst of a patient kind does not delay the urgent one",
          "[statements][admission]") {
  AdmissionRun run(1);
  for (const std::string& name : kOthers) {
    run.Call(name, "urgent", 40, seconds(0), seconds(10));
    run.Call(name, "patient", 40, seconds(0), seconds(3));
    run.Call(name, "patient", 100, seconds(3), seconds(6));
    run.Call(name, "patient", 40, seconds(6), seconds(10));
  }
  run.Run(seconds(12));
  for (const std::string& name : kOthers) {
    const Result& result = run.results[name + " urgent"];
    CHECK(result.served >= 0.99 * result.operations);
    CHECK(result.latency <= result.served * milliseconds(50));
  }
}

// Guards against statements that wait for half of their timeout at an endpoint
// that can't serve them, and against a forecast that outlives its queue.
TEST_CASE("A slow endpoint leads to early rejections while it is slow",
          "[statements][admission]") {
  AdmissionRun run(1);
  for (const std::string& name : kOthers) {
    run.Call(name, "urgent", 60, seconds(0), seconds(10));
    run.Call(name, "patient", 60, seconds(10), seconds(12));
  }
  run.Run(seconds(3));
  run.service = milliseconds(30);
  run.Run(seconds(6));
  run.service = milliseconds(9);
  run.Run(seconds(14));
  for (const std::string& name : kOthers) {
    const Result& slow = run.results[name + " urgent"];
    CHECK(slow.served >= 0.84 * slow.operations);
    CHECK(slow.refused_after <= slow.refusals * milliseconds(100));
    CHECK(run.results[name + " patient"].refusals == 0);
  }
}

// Guards against callers that are told to retry after their deadline, against
// operations that wait for tokens that do not come, and against a forecast that
// rejects what the limit allows.
TEST_CASE("Only callers above a lowered limit are told early when to retry",
          "[statements][admission]") {
  AdmissionRun run(GENERATE(2, 6, 30));
  run.Limit(28);
  run.Call("a", "urgent", 13, seconds(0), seconds(20));
  run.Call("a", "patient", 13, seconds(0), seconds(20));
  run.Run(seconds(8));
  const Result& urgent = run.results["a urgent"];
  const Result& patient = run.results["a patient"];
  CHECK(urgent.refusals + patient.refusals == 0);
  run.Limit(13);
  run.Run(seconds(22));
  // 8 s at the demand, then 0.9 of what the limit allows: 13 x 12 x 1.1 + 20.
  CHECK(urgent.served + patient.served >= 26 * 8 + 172);
  CHECK(urgent.refusals >= 2 * (urgent.operations - urgent.served));
  CHECK(urgent.refused_after + patient.refused_after <=
        (urgent.refusals + patient.refusals) * milliseconds(110));
}

}  // namespace goldcrest::statements
