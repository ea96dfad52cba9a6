#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <thread>

#include "fleet.h"
#include "increment_load.h"
#include "wait.h"

namespace goldcrest::process_tests {
namespace {

using std::chrono::milliseconds;

// The stated limit of the failover gap.
constexpr milliseconds kGapBound{5'000};
constexpr milliseconds kBound{20'000};
constexpr std::int64_t kSteady = 20;
constexpr std::array<const char*, 3> kEndpoints = {"b1", "b2", "b3"};

//! Reads its own key over and over, with a timeout shorter than the delayed
//! answers, so that late answers meet the reads of others.
class ReadLoad {
 public:
  ReadLoad(const Fleet& fleet, const std::string& name)
      : name_(name), port_(fleet.CallerPort("e4")) {
    if (!caller_.Write(port_, "set " + name + " " + name).Done())
      throw std::runtime_error("no write of " + name);
    thread_ = std::thread([this] { Run(); });
  }
  ~ReadLoad() { Stop(); }
  ReadLoad(const ReadLoad&) = delete;
  ReadLoad& operator=(const ReadLoad&) = delete;

  void Stop() {
    stopping_ = true;
    if (thread_.joinable())
      thread_.join();
  }

  bool Continues(int more, milliseconds bound) const {
    const int target = right_ + more;
    return Eventually(bound, [&] { return right_ >= target; });
  }
  int wrong() const { return wrong_; }

 private:
  void Run() {
    constexpr int timeout_ms = 150;
    while (!stopping_) {
      const Reply reply = caller_.Post(port_, "/v1/execute",
                                       {{"group", "bookings"},
                                        {"kind", "read"},
                                        {"idempotent", true},
                                        {"statement", "get " + name_},
                                        {"timeout_ms", timeout_ms}});
      if (reply.Done())
        ++(reply.Text("value") == name_ ? right_ : wrong_);
    }
  }

  std::string name_;
  std::uint16_t port_;
  Caller caller_{Fleet::kHallKey};
  std::atomic<int> right_{0};
  std::atomic<int> wrong_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

void SetOnAll(const Fleet& fleet, const std::string& kind, std::int64_t value) {
  for (const char* endpoint : kEndpoints)
    fleet.SetFault(endpoint, kind, value);
}

}  // namespace

// Fails when an answer is matched by its connection or its order instead of by
// call id, or when a write is run again after its answer was lost.
TEST_CASE("Late, lost and crossed answers reach no wrong caller",
          "[process_tests][guarantee]") {
  Fleet fleet;
  std::vector<std::unique_ptr<ReadLoad>> readers;
  for (const char* name : {"anna", "bola", "chris", "dayo"})
    readers.push_back(std::make_unique<ReadLoad>(fleet, name));
  IncrementLoad writer("load-1",
                       {fleet.CallerPort("e1"), fleet.CallerPort("e5")});
  const auto await_progress = [&] {
    CHECK(writer.Continues(kSteady, kBound));
    for (const auto& reader : readers)
      CHECK(reader->Continues(kSteady, kBound));
  };
  await_progress();
  // Longer than the readers' timeout: each answer is late.
  SetOnAll(fleet, "delay_answer_ms", 250);
  CHECK(writer.Continues(2, kBound));
  SetOnAll(fleet, "delay_answer_ms", 0);
  await_progress();
  SetOnAll(fleet, "drop_answer", 10);
  await_progress();
  SetOnAll(fleet, "cross_answers", 10);
  await_progress();
  for (const auto& reader : readers) {
    reader->Stop();
    CHECK(reader->wrong() == 0);
  }
  const LoadReport report = writer.Stop();
  INFO(report.ToText());
  CHECK(report.wrong.empty());
}

// Fails when a connection that gets no answers is used again after its request
// has timed out, or is never probed. A request under way ends at its own
// deadline, so the clients have one of 1 s.
TEST_CASE("Endpoint connections that go silent are replaced within 5 s",
          "[process_tests]") {
  Fleet fleet;
  constexpr milliseconds request_timeout{1'000};
  IncrementLoad load("load-1", {fleet.CallerPort("e4"), fleet.CallerPort("e5")},
                     request_timeout);
  REQUIRE(load.Continues(kSteady, kBound));
  const std::string silent = fleet.Primary();
  fleet.SetFault(silent, "silence_connections", 1);
  CHECK(load.Continues(kSteady, kBound));
  SetOnAll(fleet, "silence_connections", 1);
  CHECK(load.Continues(kSteady, kBound));
  const LoadReport report = load.Stop();
  INFO(report.ToText());
  CHECK(report.longest_gap <= kGapBound);
  CHECK(report.wrong.empty());
}

}  // namespace goldcrest::process_tests
