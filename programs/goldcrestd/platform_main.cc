#include "programs/goldcrestd/platform_main.h"

#include <fmt/format.h>
#include <malloc.h>
#include <sysexits.h>

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/pred.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>

#include "goldcrest/storage/storage_error.h"
#include "programs/goldcrestd/controller_service.h"
#include "programs/goldcrestd/entry_service.h"

namespace goldcrest {
namespace {

namespace leaf = boost::leaf;

constexpr const char* kLogClusterName = "goldcrestcross";

// The platform may change the settings file without sending SIGHUP.
constexpr Duration kSettingsPollInterval = std::chrono::seconds(2);

// Runs a service until SIGTERM or SIGINT has stopped it. Reloads the settings
// on SIGHUP and at a fixed interval.
template <typename Service>
class ServiceRunner {
 public:
  ServiceRunner(boost::asio::io_context& context,
                Service& service,
                PlatformLog& log)
      : context_(context),
        service_(service),
        log_(log),
        scheduler_(context),
        stop_signals_(context, SIGTERM, SIGINT),
        reload_signals_(context, SIGHUP) {}

  int Run() {
    AwaitStopSignal();
    AwaitReloadSignal();
    PollSettings();
    service_.Start();
    log_.LogEvent("started", {});
    context_.run();
    return exit_code_;
  }

  void Stop(int code) {
    exit_code_ = code;
    context_.stop();
  }

 private:
  void AwaitStopSignal() {
    stop_signals_.async_wait([this](boost::system::error_code error, int) {
      if (error)
        return;
      service_.BeginDrain([this] { Stop(EXIT_SUCCESS); });
      AwaitStopSignal();
    });
  }

  void AwaitReloadSignal() {
    reload_signals_.async_wait([this](boost::system::error_code error, int) {
      if (error)
        return;
      ReloadSettings();
      AwaitReloadSignal();
    });
  }

  void PollSettings() {
    scheduler_.After(kSettingsPollInterval, [this] {
      ReloadSettings();
      PollSettings();
    });
  }

  void ReloadSettings() {
    leaf::try_handle_all(
        [this]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(settings, platform::LoadBootSettings());
          if (settings.controller_seeds == seeds_)
            return {};
          seeds_ = settings.controller_seeds;
          service_.OnSettings(settings);
          return {};
        },
        [this](const platform::BootError& error) {
          log_.LogEvent("settings_unreadable", {{"cause", error.message}});
        },
        [this] {
          log_.LogEvent("settings_unreadable", {{"cause", "unknown"}});
        });
  }

  boost::asio::io_context& context_;
  Service& service_;
  PlatformLog& log_;
  adapters::Scheduler scheduler_;
  boost::asio::signal_set stop_signals_;
  boost::asio::signal_set reload_signals_;
  std::vector<platform::SocketAddress> seeds_;
  int exit_code_ = EXIT_SUCCESS;
};

leaf::result<int> TryEntry() {
  BOOST_LEAF_AUTO(settings, platform::LoadBootSettings());
  PlatformLog log(settings.instance + "/entry", settings.zone);
  boost::asio::io_context context(1);
  EntryService service(context, settings, log);
  return ServiceRunner(context, service, log).Run();
}

leaf::result<int> TryController() {
  // A write beyond a file size limit has to fail as one to a full disk does.
  std::signal(SIGXFSZ, SIG_IGN);
  BOOST_LEAF_AUTO(settings, platform::LoadBootSettings());
  PlatformLog log(settings.instance + "/controller", settings.zone);
  storage::OpenedLog opened;
  ControllerService::OpenLog open_log;
  if (!settings.data_folder.empty()) {
    storage::LogStoreOptions options;
    options.folder = settings.data_folder;
    options.cluster = kLogClusterName;
    options.instance = settings.host;
    open_log = [options] { return storage::LogStore::Open(options); };
    BOOST_LEAF_ASSIGN(opened, open_log());
    log.LogEvent("log_opened", {{"empty", opened.state.fresh},
                                {"term", opened.state.hard_state.term},
                                {"joining", opened.state.hard_state.joining},
                                {"snapshot", opened.state.snapshot.last_index},
                                {"entries", opened.state.entries.size()}});
  }
  boost::asio::io_context context(1);
  ControllerService service(context, settings, std::move(opened), open_log,
                            log);
  ServiceRunner runner(context, service, log);
  service.SetFailureHook([&] { runner.Stop(EX_IOERR); });
  return runner.Run();
}

// Buffers of long messages go back to the system once they are free. By default
// the allocator keeps ever larger ones after the first are freed.
void ReturnFreedBuffers() {
  mallopt(M_MMAP_THRESHOLD, 128 << 10);
  mallopt(M_TRIM_THRESHOLD, 1 << 20);
}

template <typename Function>
int RunAndReportErrors(Function run) {
  return leaf::try_handle_all(
      run,
      [](const platform::BootError& error) {
        fmt::print(stderr, "settings: {}\n", error.message);
        return EX_CONFIG;
      },
      [](const storage::StorageError& error) {
        fmt::print(stderr, "error {}: {}\n", ToNumber(error.code),
                   error.message);
        return EX_IOERR;
      },
      [](leaf::catch_<std::exception> error) {
        fmt::print(stderr, "error: {}\n", error.matched.what());
        return EX_OSERR;
      },
      [] { return EX_SOFTWARE; });
}

}  // namespace

int RunEntry() {
  ReturnFreedBuffers();
  return RunAndReportErrors(TryEntry);
}

int RunController() {
  ReturnFreedBuffers();
  return RunAndReportErrors(TryController);
}

}  // namespace goldcrest
