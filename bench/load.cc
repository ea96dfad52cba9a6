#include <algorithm>
#include <chrono>
#include <cstdio>
#include <exception>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <unistd.h>

#include "goldcrest/settings/http_client.h"

namespace goldcrest {
namespace {

using std::chrono::microseconds;
using std::chrono::steady_clock;

constexpr const char* kUsage = R"(Load tool: sends statements and times them.

Usage:
  goldcrest_load direct --port=PORT --term=TERM [options]
  goldcrest_load proxy --port=PORT --key=KEY --group=GROUP [options]

Options:
  --port=PORT          Port on 127.0.0.1 of an endpoint or of an entry.
  --term=TERM          Term of the group, for direct calls.
  --kind=KIND          "read" or "write" [default: read].
  --max-age-ms=MS      Age bound of reads through the proxy [default: 5000].
  --requests=N         Requests in total [default: 2000].
  --connections=N      Connections, each with one request at a time [default: 1].
  --pids=PIDS          Processes whose processor time is counted, separated by
                       commas [default: ].
  -h --help            Show this text.
)";

struct Options {
  bool direct = false;
  std::uint16_t port = 0;
  std::string term;
  std::string key;
  std::string group;
  std::string kind;
  std::string max_age_ms;
  int requests = 0;
  int connections = 0;
  std::vector<std::string> pids;
};

Options ParseOptions(int argc, char** argv) {
  const auto given = docopt::docopt(kUsage, {argv + 1, argv + argc});
  const auto text = [&](const char* name) {
    const auto& value = given.at(name);
    return value.isString() ? value.asString() : std::string();
  };
  Options options;
  options.direct = given.at("direct").asBool();
  options.port = static_cast<std::uint16_t>(std::stoi(text("--port")));
  options.term = text("--term");
  options.key = text("--key");
  options.group = text("--group");
  options.kind = text("--kind");
  options.max_age_ms = text("--max-age-ms");
  options.requests = std::stoi(text("--requests"));
  options.connections = std::stoi(text("--connections"));
  std::istringstream pids(text("--pids"));
  for (std::string pid; std::getline(pids, pid, ',');)
    options.pids.push_back(pid);
  return options;
}

// User and system time of the processes, from /proc/PID/stat.
microseconds ProcessorTime(const std::vector<std::string>& pids) {
  constexpr int fields_before_user_time = 11;  // after the name in brackets
  std::int64_t ticks = 0;
  for (const std::string& pid : pids) {
    std::ifstream file("/proc/" + pid + "/stat");
    std::string line;
    std::getline(file, line);
    const std::size_t name_end = line.rfind(')');
    if (name_end == std::string::npos)
      throw std::runtime_error("no process " + pid);
    std::istringstream fields(line.substr(name_end + 1));
    std::string skipped;
    for (int i = 0; i < fields_before_user_time; ++i)
      fields >> skipped;
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    ticks += user + system;
  }
  return microseconds(ticks * 1'000'000 / sysconf(_SC_CLK_TCK));
}

settings::HttpCall MakeCall(const Options& options, int number) {
  settings::HttpCall call;
  call.method = "POST";
  const std::string statement = options.kind == "write"
                                    ? fmt::format("set k{} v", number % 100)
                                    : fmt::format("get k{}", number % 100);
  if (options.direct) {
    call.target = "/v1/statement";
    call.body = fmt::format(
        R"({{"call_id":{},"term":{},"kind":"{}","statement":"{}","timeout_ms":5000}})",
        number, options.term, options.kind, statement);
    return call;
  }
  call.target = "/v1/execute";
  call.headers["Authorization"] = "Bearer " + options.key;
  call.body = fmt::format(
      R"({{"group":"{}","kind":"{}","statement":"{}","max_age_ms":{},"timeout_ms":5000}})",
      options.group, options.kind, statement, options.max_age_ms);
  return call;
}

struct Outcome {
  std::vector<microseconds> latencies;
  int failed = 0;
};

void SendAll(const Options& options, int first, int count, Outcome* outcome) {
  settings::HttpClient client("127.0.0.1", options.port);
  for (int i = 0; i < count; ++i) {
    const auto start = steady_clock::now();
    const auto answer =
        client.Call(MakeCall(options, first + i), std::chrono::seconds(6));
    const bool done = answer && answer->status == 200 &&
                      answer->body.find("\"not_run\"") == std::string::npos;
    if (!done) {
      ++outcome->failed;
      continue;
    }
    outcome->latencies.push_back(
        std::chrono::duration_cast<microseconds>(steady_clock::now() - start));
  }
}

int Run(const Options& options) {
  std::vector<Outcome> outcomes(static_cast<std::size_t>(options.connections));
  const microseconds cpu_before = ProcessorTime(options.pids);
  const auto start = steady_clock::now();
  std::vector<std::thread> threads;
  threads.reserve(outcomes.size());
  const int each = options.requests / options.connections;
  for (int i = 0; i < options.connections; ++i)
    threads.emplace_back(SendAll, options, i * each, each,
                         &outcomes[static_cast<std::size_t>(i)]);
  for (std::thread& thread : threads)
    thread.join();
  const std::chrono::duration<double> length = steady_clock::now() - start;
  const microseconds cpu = ProcessorTime(options.pids) - cpu_before;

  std::vector<microseconds> latencies;
  int failed = 0;
  for (const Outcome& outcome : outcomes) {
    latencies.insert(latencies.end(), outcome.latencies.begin(),
                     outcome.latencies.end());
    failed += outcome.failed;
  }
  if (latencies.empty()) {
    fmt::print(stderr, "no request succeeded\n");
    return 1;
  }
  std::ranges::sort(latencies);
  const auto quantile = [&](double q) {
    const auto last = static_cast<double>(latencies.size() - 1);
    return latencies[static_cast<std::size_t>(q * last)].count();
  };
  fmt::print(
      "{:<7}{:<6} done={} failed={} rate={:.0f}/s p50={}us p99={}us "
      "processor={}us/request\n",
      options.direct ? "direct" : "proxy", options.kind, latencies.size(),
      failed, static_cast<double>(latencies.size()) / length.count(),
      quantile(0.5), quantile(0.99),
      cpu.count() / static_cast<std::int64_t>(latencies.size()));
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace goldcrest

int main(int argc, char** argv) {
  try {
    return goldcrest::Run(goldcrest::ParseOptions(argc, argv));
  } catch (const std::exception& error) {
    fmt::print(stderr, "error: {}\n", error.what());
    return 2;
  }
}
