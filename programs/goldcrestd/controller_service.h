#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_CONTROLLER_SERVICE_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_CONTROLLER_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>
#include <functional>
#include <memory>
#include <string>

#include "goldcrest/adapters/counters.h"
#include "goldcrest/adapters/http_client.h"
#include "goldcrest/adapters/http_server.h"
#include "goldcrest/adapters/peer_transport.h"
#include "goldcrest/adapters/scheduler.h"
#include "goldcrest/fleet/controller.h"
#include "goldcrest/platform/boot_settings.h"
#include "goldcrest/platform/http_requests.h"
#include "goldcrest/storage/log_store.h"
#include "programs/goldcrestd/endpoint_prober.h"
#include "programs/goldcrestd/platform_log.h"

namespace goldcrest {

//! The controller process, which receives the heartbeats of endpoints and the
//! configuration requests of operators. Connects a fleet::Controller to its
//! HTTP server, its log on disk, its peers and the endpoint prober. Runs on one
//! thread, which blocks while the log is written.
//!
//! While the log can't be written, since the disk is full, the service answers
//! 503 and takes part in nothing. Once it can, it goes on from what is on the
//! disk, as after a restart.
class ControllerService {
 public:
  using OpenLog = std::function<boost::leaf::result<storage::OpenedLog>()>;

  //! `open_log` opens the log of an instance with a disk, and is called again
  //! after a write to it has failed. Null without a disk.
  ControllerService(boost::asio::io_context& context,
                    const platform::BootSettings& settings,
                    storage::OpenedLog opened_log,
                    OpenLog open_log,
                    PlatformLog& log);
  ~ControllerService();

  void Start();

  //! Starts a planned stop, which transfers leadership; `done` runs once the
  //! process may exit.
  void BeginDrain(std::function<void()> done);

  //! `hook` runs when the log is damaged; the process must stop then.
  void SetFailureHook(std::function<void()> hook) {
    on_failure_ = std::move(hook);
  }

  void OnSettings(const platform::BootSettings& settings);

 private:
  void MakeController(const consensus::RestoredState& state);
  void Suspend();
  void TryResume();
  fleet::ControllerHooks MakeHooks();
  bool Persist(const std::vector<consensus::LogWrite>& writes);
  void Tick();
  void HandleHttp(const adapters::HttpRequest& request,
                  const adapters::HttpServer::Respond& respond);
  adapters::HttpResponse HandleHeartbeat(const std::string& endpoint,
                                         const std::string& body);
  adapters::HttpResponse HandleDeregistration(const std::string& endpoint,
                                              const std::string& body);
  void HandlePutConfiguration(const std::string& body,
                              const adapters::HttpServer::Respond& respond);
  void HandleEvacuation(const platform::DecodedHttpRequest& call,
                        const std::string& path,
                        const adapters::HttpServer::Respond& respond);
  adapters::HttpResponse ToResponse(const fleet::ConfigurationResult& result,
                                    std::string_view path) const;
  void Promote(const messages::PrimaryAssignment& assignment);

  boost::asio::io_context& context_;
  platform::BootSettings settings_;
  PlatformLog& log_;
  adapters::Counters counters_;
  adapters::Scheduler scheduler_;
  OpenLog open_log_;
  std::unique_ptr<storage::LogStore> store_;
  EndpointProber prober_;
  std::unique_ptr<adapters::HttpClient> platform_api_;
  std::unique_ptr<fleet::Controller> controller_;  // null while suspended
  std::unique_ptr<adapters::PeerTransport> peers_;
  std::unique_ptr<adapters::HttpServer> http_;
  std::function<void()> on_failure_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_CONTROLLER_SERVICE_H_
