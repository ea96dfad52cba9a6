#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_DAEMON_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_DAEMON_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "goldcrest/adapters/counters.h"
#include "goldcrest/adapters/http_server.h"
#include "goldcrest/adapters/io_pool.h"
#include "goldcrest/adapters/logger.h"
#include "goldcrest/adapters/peer_transport.h"
#include "goldcrest/adapters/scheduler.h"
#include "goldcrest/entry/control_node.h"
#include "goldcrest/entry/entry_node.h"
#include "goldcrest/settings/daemon_settings.h"
#include "goldcrest/storage/log_store.h"
#include "programs/goldcrestd/endpoint_gateway.h"
#include "programs/goldcrestd/operator_api.h"
#include "programs/goldcrestd/refusal_counters.h"

namespace goldcrest {

//! The daemon of one instance: its HTTP servers, its peer links, its entry node
//! and, on control members, its control node. Runs on a pool of worker threads.
//!
//! Locking: entry_mutex_ guards entry_, control_mutex_ guards control_, and
//! pending_callers_mutex_ guards pending_callers_. No thread holds two of them
//! at once, and effects are applied without any of them, so that no lock order
//! is needed.
class Daemon {
 public:
  //! Binds the listen addresses; throws std::system_error if one can't be
  //! bound. `log` has a store on control members only. `bootstrap` starts a new
  //! cluster if the data folder is empty.
  Daemon(const settings::DaemonSettings& settings,
         std::shared_ptr<adapters::Logger> logger,
         storage::OpenedLog log,
         bool bootstrap);
  ~Daemon();

  void Start();

  //! Starts a planned stop; `done` runs once all caller connections are closed
  //! and the entry node is drained.
  void BeginDrain(std::function<void()> done);

  //! `hook` runs when the log can't be written; the process must stop then.
  void SetFailureHook(std::function<void()> hook) {
    on_failure_ = std::move(hook);
  }

  //! `hook` runs when an operator requests a planned stop.
  void SetDrainRequestHook(std::function<void()> hook) {
    on_drain_request_ = std::move(hook);
  }

  void Stop();

  boost::asio::io_context& Context() { return pool_.Context(); }

 private:
  using EntryStep = std::function<entry::EntryEffects(entry::EntryNode&, Time)>;
  using ControlStep =
      std::function<entry::ControlEffects(entry::ControlNode&, Time)>;

  void RunEntryStep(const EntryStep& step);
  void RunControlStep(const ControlStep& step);
  void ApplyEffects(const entry::EntryEffects& effects);
  void ApplyEffects(const entry::ControlEffects& effects);
  void Send(const std::string& to, messages::PeerMessage message);
  void DispatchMessage(const std::string& from,
                       const messages::PeerMessage& message);
  void AnswerQuery(const std::string& from,
                   const messages::QueryRequest& query);
  void UpdatePeers();
  void TickEntry();
  void TickControl();
  void ContinueDrain();

  void HandleCallerRequest(adapters::HttpRequest request,
                           adapters::HttpServer::Respond respond);
  adapters::HttpResponse HealthResponse();
  void HandleAnnouncement(const adapters::HttpRequest& request,
                          adapters::HttpServer::Respond respond);
  void AnswerCaller(const entry::CallerAnswer& answer);
  OperatorApiHooks MakeOperatorHooks();

  settings::DaemonSettings settings_;
  std::shared_ptr<adapters::Logger> logger_;
  adapters::Counters counters_;
  RefusalCounters refusal_counters_;
  std::string announce_secret_;
  std::unique_ptr<storage::LogStore> store_;

  struct PendingCaller {
    adapters::HttpServer::Respond respond;
    Time arrival;
  };
  std::mutex pending_callers_mutex_;
  std::unordered_map<std::uint64_t, PendingCaller> pending_callers_;
  std::atomic<std::uint64_t> next_caller_id_{1};

  std::mutex entry_mutex_;
  std::unique_ptr<entry::EntryNode> entry_;
  std::mutex control_mutex_;
  std::unique_ptr<entry::ControlNode> control_;

  std::atomic<bool> draining_{false};
  std::atomic<bool> serving_{false};
  Time listener_closes_at_ = kNever;
  std::function<void()> on_drained_;
  std::function<void()> on_failure_;
  std::function<void()> on_drain_request_;

  // Declared last, so that they are destroyed before the members that their
  // handlers use.
  adapters::IoPool pool_;
  EndpointGateway gateway_;
  adapters::Scheduler scheduler_;
  std::unique_ptr<OperatorApi> operator_api_;
  std::unique_ptr<adapters::PeerTransport> peers_;
  std::unique_ptr<adapters::HttpServer> caller_server_;
  std::unique_ptr<adapters::HttpServer> operator_server_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_DAEMON_H_
