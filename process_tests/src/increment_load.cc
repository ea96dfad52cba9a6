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

// Clients are steady but leave the processors to the daemons.
constexpr milliseconds kPause{5};
// Longest time that the last request is sent again after Stop().
constexpr milliseconds kLastRequest{10'000};

}  // namespace

std::string LoadReport::ToText() const {
  std::string text = fmt::format(
      "acknowledged {}, longest gap {} ms, cut {}, unknown {}, wrong {}",
      acknowledged, longest_gap.count(), cut, unknown, wrong.size());
  for (const auto& [code, count] : codes)
    text += fmt::format(", code {}: {}", code, count);
  for (const std::string& line : wrong)
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

bool IncrementLoad::Continues(std::int64_t more, milliseconds bound) const {
  const std::int64_t target = acknowledged_ + more;
  return Eventually(bound, [&] { return acknowledged_ >= target; });
}

LoadReport IncrementLoad::Stop() {
  stopping_ = true;
  if (thread_.joinable())
    thread_.join();
  return report_;
}

void IncrementLoad::Run() {
  Caller caller(Fleet::kHallKey);
  std::size_t next = 0;
  auto last = steady_clock::now();
  while (!stopping_) {
    const std::string expected = std::to_string(report_.acknowledged + 1);
    const std::string id = counter_ + "-" + expected;
    auto end = steady_clock::time_point::max();
    while (steady_clock::now() < end) {
      const Reply reply =
          caller.Post(ports_[next % ports_.size()], "/v1/execute",
                      {{"group", "bookings"},
                       {"kind", "write"},
                       {"statement", "incr " + counter_},
                       {"request_id", id},
                       {"timeout_ms", request_timeout_.count()}});
      ++report_.codes[reply.code];
      report_.cut += reply.code == -1 && reply.sent ? 1 : 0;
      report_.unknown += reply.outcome == "unknown" ? 1 : 0;
      if (reply.Done()) {
        const auto now = steady_clock::now();
        report_.longest_gap =
            std::max(report_.longest_gap,
                     std::chrono::duration_cast<milliseconds>(now - last));
        last = now;
        if (reply.Text("value") != expected) {
          report_.wrong.push_back(fmt::format("{} got {}, expected {}", id,
                                              reply.Text("value"), expected));
        }
        acknowledged_ = ++report_.acknowledged;
        break;
      }
      ++next;
      if (stopping_ && end == steady_clock::time_point::max())
        end = steady_clock::now() + kLastRequest;
      std::this_thread::sleep_for(kPause);
    }
    ++next;
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace goldcrest::process_tests
