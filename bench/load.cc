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
  const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  const auto string_argument = [&](const char* name) {
    const auto& value = arguments.at(name);
    return value.isString() ? value.asString() : std::string();
  };
  Options options;
  options.direct = arguments.at("direct").asBool();
  options.port =
      static_cast<std::uint16_t>(std::stoi(string_argument("--port")));
  options.term = string_argument("--term");
  options.key = string_argument("--key");
  options.group = string_argument("--group");
  options.kind = string_argument("--kind");
  options.max_age_ms = string_argument("--max-age-ms");
  options.requests = std::stoi(string_argument("--requests"));
  options.connections = std::stoi(string_argument("--connections"));
  std::istringstream pids(string_argument("--pids"));
  for (std::string pid; std::getline(pids, pid, ',');)
    options.pids.push_back(pid);
  return options;
}

// Total user and system time of the processes, from /proc/PID/stat. Throws
// std::runtime_error if a process does not exist.
microseconds ProcessorTime(const std::vector<std::string>& pids) {
  constexpr int skipped_field_count =
      11;  // between the name in parentheses and utime
  std::int64_t ticks = 0;
  for (const std::string& pid : pids) {
    std::ifstream file("/proc/" + pid + "/stat");
    std::string line;
    std::getline(file, line);
    const std::size_t name_end = line.rfind(')');
    if (name_end == std::string::npos)
      throw std::runtime_error("no process " + pid);
    std::istringstream fields(line.substr(name_end + 1));
    std::string skipped_field;
    for (int i = 0; i < skipped_field_count; ++i)
      fields >> skipped_field;
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    ticks += user + system;
  }
  return microseconds(ticks * 1'000'000 / sysconf(_SC_CLK_TCK));
}

settings::HttpCall MakeHttpCall(const Options& options, int number) {
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

struct ConnectionResult {
  std::vector<microseconds> latencies;
  int failed = 0;
};

void SendRequests(const Options& options,
                  int first,
                  int count,
                  ConnectionResult* result) {
  settings::HttpClient client("127.0.0.1", options.port);
  for (int i = 0; i < count; ++i) {
    const auto start = steady_clock::now();
    const auto answer =
        client.Call(MakeHttpCall(options, first + i), std::chrono::seconds(6));
    const bool succeeded =
        answer && answer->status == 200 &&
        answer->body.find("\"not_run\"") == std::string::npos;
    if (!succeeded) {
      ++result->failed;
      continue;
    }
    result->latencies.push_back(
        std::chrono::duration_cast<microseconds>(steady_clock::now() - start));
  }
}

int Run(const Options& options) {
  std::vector<ConnectionResult> results(
      static_cast<std::size_t>(options.connections));
  const microseconds cpu_before = ProcessorTime(options.pids);
  const auto start = steady_clock::now();
  std::vector<std::thread> threads;
  threads.reserve(results.size());
  const int requests_per_connection = options.requests / options.connections;
  for (int i = 0; i < options.connections; ++i)
    threads.emplace_back(SendRequests, options, i * requests_per_connection,
                         requests_per_connection,
                         &results[static_cast<std::size_t>(i)]);
  for (std::thread& thread : threads)
    thread.join();
  const std::chrono::duration<double> elapsed = steady_clock::now() - start;
  const microseconds cpu = ProcessorTime(options.pids) - cpu_before;

  std::vector<microseconds> latencies;
  int failed = 0;
  for (const ConnectionResult& result : results) {
    latencies.insert(latencies.end(), result.latencies.begin(),
                     result.latencies.end());
    failed += result.failed;
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
      failed, static_cast<double>(latencies.size()) / elapsed.count(),
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
