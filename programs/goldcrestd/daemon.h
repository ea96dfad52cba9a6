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
#include "programs/goldcrestd/refusal_log.h"

namespace goldcrest {

//! One instance: the servers, the peer links and the tables of both roles, run
//! by a pool of workers.
//!
//! Locks: entry_mutex_ and control_mutex_ guard one table each. Neither is
//! taken while the other is held, and no effect is carried out under either, so
//! there is no order to keep between them. callers_mutex_ guards the answers
//! due and is taken alone.
class Daemon {
 public:
  //! Binds the addresses; throws std::system_error when one can't be bound.
  //! `log` is set for the role control; `bootstrap` starts a new cluster if its
  //! folder is empty.
  Daemon(const settings::DaemonSettings& settings,
         std::shared_ptr<adapters::Logger> logger,
         storage::OpenedLog log,
         bool bootstrap);
  ~Daemon();

  void Start();

  //! Starts a planned stop; `done` runs once nothing is left to do.
  void BeginDrain(std::function<void()> done);

  //! Runs when the log can't be written; the process must stop.
  void SetFailureHook(std::function<void()> hook) {
    on_failure_ = std::move(hook);
  }

  //! Runs when an operator asks for a planned stop.
  void SetDrainRequestHook(std::function<void()> hook) {
    on_drain_request_ = std::move(hook);
  }

  void Stop();

  boost::asio::io_context& Context() { return pool_.Context(); }

 private:
  using EntryStep = std::function<entry::EntryEffects(entry::EntryNode&, Time)>;
  using ControlStep =
      std::function<entry::ControlEffects(entry::ControlNode&, Time)>;

  void WithEntry(const EntryStep& step);
  void WithControl(const ControlStep& step);
  void CarryOut(const entry::EntryEffects& effects);
  void CarryOut(const entry::ControlEffects& effects);
  void Send(const std::string& to, messages::PeerMessage message);
  void Dispatch(const std::string& from, const messages::PeerMessage& message);
  void AnswerQuery(const std::string& from,
                   const messages::QueryRequest& query);
  void UpdatePeers();
  void TickEntry();
  void TickControl();
  void DrainStep();

  void HandleCaller(adapters::HttpRequest request,
                    adapters::HttpServer::Respond respond);
  adapters::HttpResponse Health();
  void HandleAnnouncement(const adapters::HttpRequest& request,
                          adapters::HttpServer::Respond respond);
  void AnswerCaller(const entry::CallerAnswer& answer);
  OperatorApiHooks MakeOperatorHooks();

  settings::DaemonSettings settings_;
  std::shared_ptr<adapters::Logger> logger_;
  adapters::Counters counters_;
  RefusalLog refusals_;
  std::string announce_secret_;
  std::unique_ptr<storage::LogStore> store_;

  struct DueAnswer {
    adapters::HttpServer::Respond respond;
    Time arrival;
  };
  std::mutex callers_mutex_;
  std::unordered_map<std::uint64_t, DueAnswer> callers_;
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

  // Last, so that they stop before what their handlers use goes away.
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
