#include "increment_load.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "caller.h"
#include "fleet.h"
#include "wait.h"

namespace goldcrest::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Pause between requests, which leaves CPU time to the daemons.
constexpr milliseconds kPause{5};
// Time limit for retries of the last request after Stop().
constexpr milliseconds kLastRequestTimeout{10'000};

}  // namespace

std::string LoadReport::ToText() const {
  std::string text = fmt::format(
      "acknowledged {}, longest gap {} ms, cut {}, unknown {}, wrong {}",
      acknowledged, longest_gap.count(), cut, unknown, wrong_values.size());
  for (const auto& [code, count] : codes)
    text += fmt::format(", code {}: {}", code, count);
  for (const std::string& line : wrong_values)
    text += "\n  " + line;
  return text;
}

IncrementLoad::IncrementLoad(std::string counter,
                             std::vector<std::uint16_t> ports,
                             std::chrono::milliseconds request_timeout)
    : counter_(std::move(counter)),
      ports_(std::move(ports)),
      request_timeout_(request_timeout) {
  thread_ = std::thread([this] { Run(); });
}

IncrementLoad::~IncrementLoad() {
  Stop();
}

bool IncrementLoad::AwaitProgress(std::int64_t count,
                                  milliseconds timeout) const {
  const std::int64_t target = acknowledged_ + count;
  return WaitUntil(timeout, [&] { return acknowledged_ >= target; });
}

LoadReport IncrementLoad::Stop() {
  stopping_ = true;
  if (thread_.joinable())
    thread_.join();
  return report_;
}

void IncrementLoad::Run() {
  Caller caller(Fleet::kHallKey);
  std::size_t port_index = 0;
  auto last_acknowledgement = steady_clock::now();
  while (!stopping_) {
    const std::string expected = std::to_string(report_.acknowledged + 1);
    const std::string request_id = counter_ + "-" + expected;
    auto deadline = steady_clock::time_point::max();
    while (steady_clock::now() < deadline) {
      const Reply reply =
          caller.Post(ports_[port_index % ports_.size()], "/v1/execute",
                      {{"group", "bookings"},
                       {"kind", "write"},
                       {"statement", "incr " + counter_},
                       {"request_id", request_id},
                       {"timeout_ms", request_timeout_.count()}});
      ++report_.codes[reply.code];
      report_.cut += reply.code == -1 && reply.sent ? 1 : 0;
      report_.unknown += reply.outcome == "unknown" ? 1 : 0;
      if (reply.Succeeded()) {
        const auto now = steady_clock::now();
        report_.longest_gap = std::max(report_.longest_gap,
                                       std::chrono::duration_cast<milliseconds>(
                                           now - last_acknowledgement));
        last_acknowledgement = now;
        if (reply.Text("value") != expected) {
          report_.wrong_values.push_back(
              fmt::format("{} got {}, expected {}", request_id,
                          reply.Text("value"), expected));
        }
        acknowledged_ = ++report_.acknowledged;
        break;
      }
      ++port_index;
      if (stopping_ && deadline == steady_clock::time_point::max())
        deadline = steady_clock::now() + kLastRequestTimeout;
      std::this_thread::sleep_for(kPause);
    }
    ++port_index;
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace goldcrest::process_tests
