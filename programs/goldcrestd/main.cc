#include <sysexits.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <future>
#include <iostream>
#include <memory>
#include <string_view>

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf.hpp>

#include "goldcrest/settings/daemon_settings.h"
#include "goldcrest/storage/storage_error.h"
#include "programs/goldcrestd/daemon.h"
#include "programs/goldcrestd/platform_main.h"

namespace goldcrest {
namespace {

namespace leaf = boost::leaf;

constexpr const char* kUsage = R"(goldcrestd, the goldcrestcross daemon.

Usage:
  goldcrestd run --config FILE [--bootstrap]
  goldcrestd check --config FILE
  goldcrestd entry
  goldcrestd controller
  goldcrestd (-h | --help)
  goldcrestd --version

Options:
  --config FILE  Settings in TOML; see docs/settings.md.
  --bootstrap    Start a new cluster if the data folder is empty. For the very
                 first start only: a member that lost its disk must start
                 without it.
  -h --help      Show this text.
  --version      Show the version.

entry and controller are the two processes of an instance on a platform that
writes their settings; an environment variable names the file. See
docs/platform.md.

SIGTERM or SIGINT starts a planned stop, which cuts no request; a second one
stops at once.
)";

adapters::LogLevel LevelOf(settings::LogLevel level) {
  switch (level) {
    case settings::LogLevel::kDebug:
      return adapters::LogLevel::kDebug;
    case settings::LogLevel::kInfo:
      return adapters::LogLevel::kInfo;
    case settings::LogLevel::kWarning:
      return adapters::LogLevel::kWarning;
    case settings::LogLevel::kError:
      return adapters::LogLevel::kError;
  }
  return adapters::LogLevel::kInfo;
}

void PrintProblems(const std::vector<settings::Problem>& problems) {
  for (const settings::Problem& problem : problems)
    fmt::print(stderr, "{}\n", settings::ToString(problem));
}

// Runs the daemon until a planned stop is complete, its log can't be written or
// a second signal arrives. Returns the exit code.
int RunDaemon(Daemon& daemon) {
  std::promise<int> ended;
  std::once_flag once;
  const auto end = [&](int code) {
    std::call_once(once, [&] { ended.set_value(code); });
  };
  const auto drain = [&] { daemon.BeginDrain([&] { end(EXIT_SUCCESS); }); };
  daemon.SetFailureHook([&] { end(EX_IOERR); });
  daemon.SetDrainRequestHook(drain);

  boost::asio::signal_set signals(daemon.Context(), SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (error)
      return;
    drain();
    signals.async_wait([&](const boost::system::error_code& again, int) {
      if (!again)
        end(EXIT_FAILURE);
    });
  });
  daemon.Start();
  const int code = ended.get_future().get();
  daemon.Stop();
  return code;
}

leaf::result<int> Run(const std::string& config, bool bootstrap) {
  const settings::LoadedSettings loaded = settings::LoadSettings(config);
  if (!loaded.problems.empty()) {
    PrintProblems(loaded.problems);
    return EX_CONFIG;
  }
  const settings::DaemonSettings& settings = loaded.settings;
  auto logger = std::make_shared<adapters::Logger>(adapters::LoggerOptions{
      LevelOf(settings.log.level), settings.instance, settings.zone, {}});
  storage::OpenedLog log;
  if (settings.control.enabled) {
    BOOST_LEAF_AUTO(opened,
                    storage::LogStore::Open({settings.control.data_folder,
                                             settings.cluster,
                                             settings.instance,
                                             {}}));
    log = std::move(opened);
  }
  Daemon daemon(settings, logger, std::move(log), bootstrap);
  return RunDaemon(daemon);
}

int Main(int argc, char** argv) {
  const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true,
                                        "goldcrestd " GOLDCREST_VERSION);
  if (arguments.at("entry").asBool())
    return RunEntry();
  if (arguments.at("controller").asBool())
    return RunController();
  const std::string config = arguments.at("--config").asString();
  if (arguments.at("check").asBool()) {
    const std::vector<settings::Problem> problems =
        settings::CheckSettings(config);
    PrintProblems(problems);
    if (problems.empty())
      fmt::print("{}: settings are valid\n", config);
    return problems.empty() ? EXIT_SUCCESS : EX_CONFIG;
  }
  return leaf::try_handle_all(
      [&] { return Run(config, arguments.at("--bootstrap").asBool()); },
      [](const storage::StorageError& error) {
        fmt::print(stderr, "error {} {}: {}\n", ToNumber(error.code),
                   InfoOf(error.code).name, error.message);
        return EX_IOERR;
      },
      [](leaf::catch_<std::exception> error) {
        fmt::print(stderr, "error: {}\n", error.matched.what());
        return EX_OSERR;
      },
      [] { return EX_SOFTWARE; });
}

}  // namespace
}  // namespace goldcrest

int main(int argc, char** argv) {
  // Until the handler that reloads the settings is installed, a SIGHUP would
  // end the process.
  const std::string_view role = argc > 1 ? argv[1] : "";
  if (role == "entry" || role == "controller")
    std::signal(SIGHUP, SIG_IGN);
  try {
    return goldcrest::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return EX_OSERR;
  }
}
