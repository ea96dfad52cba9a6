#include <csignal>
#include <exception>
#include <fstream>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <docopt/docopt.h>
#include <fmt/format.h>

#include "standin_options.h"
#include "standin_server.h"

namespace goldcrest::testing {
namespace {

constexpr const char* kUsage =
    R"(Stand-in database server: one process is one endpoint.

Usage:
  goldcrest_standin --endpoint=NAME --group=NAME --port=PORT [options]
                    [--announce=ADDRESS]... [--members=MEMBER]...

Options:
  --endpoint=NAME              Name of this endpoint.
  --group=NAME                 Name of its group.
  --port=PORT                  Port to listen on; 0 lets the system choose.
  --host=HOST                  Address to listen on [default: 127.0.0.1].
  --zone=ZONE                  Availability zone [default: ].
  --slots=N                    Maximum concurrent statements and transactions
                               [default: 3].
  --connections=N              Maximum connections that carry statements
                               [default: 25].
  --open-ms=MS                 Delay before serving a new connection
                               [default: 0].
  --lag-ms=MS                  Replication lag [default: 0].
  --statement-ms=MS            Service time of a statement [default: 0].
  --leave-ms=MS                Minimum time to serve after SIGTERM
                               [default: 3000].
  --primary                    Do not look for a primary while the term is 0.
  --members=MEMBER             Another group member, NAME=HOST:PORT (repeatable).
  --announce=ADDRESS           Entry to announce to, HOST:PORT (repeatable).
  --announce-secret-file=FILE  File with the secret that signs announcements
                               [default: ].
  -h --help                    Show this text.
)";

using Arguments = std::map<std::string, docopt::value>;

std::chrono::milliseconds GetMillis(const Arguments& arguments,
                                    const std::string& name) {
  return std::chrono::milliseconds(arguments.at(name).asLong());
}

HostPort ParseHostPort(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    throw std::invalid_argument(text + " is not HOST:PORT");
  return {text.substr(0, colon),
          static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

std::string ReadSecret(const std::string& path) {
  if (path.empty())
    return "";
  std::ifstream file(path);
  std::string secret;
  if (!std::getline(file, secret))
    throw std::runtime_error("can't read the announcement secret from " + path);
  return secret;
}

StandinOptions ToOptions(const Arguments& arguments) {
  StandinOptions options;
  options.endpoint = arguments.at("--endpoint").asString();
  options.group = arguments.at("--group").asString();
  options.zone = arguments.at("--zone").asString();
  options.host = arguments.at("--host").asString();
  options.port = static_cast<std::uint16_t>(arguments.at("--port").asLong());
  options.slots = static_cast<int>(arguments.at("--slots").asLong());
  options.connections =
      static_cast<int>(arguments.at("--connections").asLong());
  options.open_delay = GetMillis(arguments, "--open-ms");
  options.lag = GetMillis(arguments, "--lag-ms");
  options.statement_duration = GetMillis(arguments, "--statement-ms");
  options.min_leave_time = GetMillis(arguments, "--leave-ms");
  options.skip_primary_discovery = arguments.at("--primary").asBool();
  for (const std::string& entry : arguments.at("--announce").asStringList())
    options.announce_addresses.push_back(ParseHostPort(entry));
  for (const std::string& member : arguments.at("--members").asStringList()) {
    const std::size_t equals = member.find('=');
    if (equals == std::string::npos)
      throw std::invalid_argument(member + " is not NAME=HOST:PORT");
    const std::string name = member.substr(0, equals);
    if (name != options.endpoint)
      options.members[name] = ParseHostPort(member.substr(equals + 1));
  }
  options.announce_secret =
      ReadSecret(arguments.at("--announce-secret-file").asString());
  return options;
}

int Main(int argc, char** argv) {
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  // Blocked before the server starts its threads, which inherit the mask, so
  // that only sigwait receives the signals.
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  try {
    StandinServer server(
        ToOptions(docopt::docopt(kUsage, {argv + 1, argv + argc})));
    fmt::print(stderr, "listening on port {}\n", server.port());
    int signal = 0;
    sigwait(&stop_signals, &signal);
    server.Leave();
  } catch (const std::exception& error) {
    fmt::print(stderr, "goldcrest_standin: {}\n", error.what());
    return 2;
  }
  return 0;
}

}  // namespace
}  // namespace goldcrest::testing

int main(int argc, char** argv) {
  return goldcrest::testing::Main(argc, argv);
}
