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

// Guaranteed limit of the failover gap.
constexpr milliseconds kMaxFailoverGap{5'000};
constexpr milliseconds kTimeout{20'000};
constexpr std::int64_t kProgressRequests = 20;
constexpr std::array<const char*, 3> kEndpoints = {"b1", "b2", "b3"};

//! Client thread that reads its own key repeatedly. Its timeout is shorter than
//! the injected delay, so late answers arrive during the reads of other
//! clients.
class ReadLoad {
 public:
  ReadLoad(const Fleet& fleet, const std::string& name)
      : name_(name), port_(fleet.CallerPort("e4")) {
    if (!caller_.Write(port_, "set " + name + " " + name).Succeeded())
      throw std::runtime_error("failed to write the key " + name);
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

  bool AwaitProgress(int count, milliseconds timeout) const {
    const int target = correct_answers_ + count;
    return WaitUntil(timeout, [&] { return correct_answers_ >= target; });
  }
  int wrong_answers() const { return wrong_answers_; }

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
      if (reply.Succeeded())
        ++(reply.Text("value") == name_ ? correct_answers_ : wrong_answers_);
    }
  }

  std::string name_;
  std::uint16_t port_;
  Caller caller_{Fleet::kHallKey};
  std::atomic<int> correct_answers_{0};
  std::atomic<int> wrong_answers_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

void SetFaultOnAll(const Fleet& fleet,
                   const std::string& kind,
                   std::int64_t value) {
  for (const char* endpoint : kEndpoints)
    fleet.SetFault(endpoint, kind, value);
}

}  // namespace

// Guards against answers that are matched to requests by connection or order
// instead of by call id, and against writes that are run again after their
// answer was lost.
TEST_CASE("Late, lost and crossed answers reach no wrong caller",
          "[process_tests][guarantee]") {
  Fleet fleet;
  std::vector<std::unique_ptr<ReadLoad>> readers;
  for (const char* name : {"anna", "bola", "chris", "dayo"})
    readers.push_back(std::make_unique<ReadLoad>(fleet, name));
  IncrementLoad writer("load-1",
                       {fleet.CallerPort("e1"), fleet.CallerPort("e5")});
  const auto check_progress = [&] {
    CHECK(writer.AwaitProgress(kProgressRequests, kTimeout));
    for (const auto& reader : readers)
      CHECK(reader->AwaitProgress(kProgressRequests, kTimeout));
  };
  check_progress();
  // Longer than the timeout of the readers, so each answer is late.
  SetFaultOnAll(fleet, "delay_answer_ms", 250);
  CHECK(writer.AwaitProgress(2, kTimeout));
  SetFaultOnAll(fleet, "delay_answer_ms", 0);
  check_progress();
  SetFaultOnAll(fleet, "drop_answer", 10);
  check_progress();
  SetFaultOnAll(fleet, "cross_answers", 10);
  check_progress();
  for (const auto& reader : readers) {
    reader->Stop();
    CHECK(reader->wrong_answers() == 0);
  }
  const LoadReport report = writer.Stop();
  INFO(report.ToText());
  CHECK(report.wrong_values.empty());
}

// Guards against a connection that is used again after a request on it has
// timed out, and against silent connections that are never probed. A request in
// progress ends only at its own deadline, so the clients use a timeout of 1 s.
TEST_CASE("Endpoint connections that go silent are replaced within 5 s",
          "[process_tests]") {
  Fleet fleet;
  constexpr milliseconds request_timeout{1'000};
  IncrementLoad load("load-1", {fleet.CallerPort("e4"), fleet.CallerPort("e5")},
                     request_timeout);
  REQUIRE(load.AwaitProgress(kProgressRequests, kTimeout));
  const std::string silent_endpoint = fleet.Primary();
  fleet.SetFault(silent_endpoint, "silence_connections", 1);
  CHECK(load.AwaitProgress(kProgressRequests, kTimeout));
  SetFaultOnAll(fleet, "silence_connections", 1);
  CHECK(load.AwaitProgress(kProgressRequests, kTimeout));
  const LoadReport report = load.Stop();
  INFO(report.ToText());
  CHECK(report.longest_gap <= kMaxFailoverGap);
  CHECK(report.wrong_values.empty());
}

}  // namespace goldcrest::process_tests
