#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_ENTRY_SERVICE_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_ENTRY_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "goldcrest/adapters/counters.h"
#include "goldcrest/adapters/http_server.h"
#include "goldcrest/adapters/line_socket.h"
#include "goldcrest/adapters/peer_transport.h"
#include "goldcrest/adapters/scheduler.h"
#include "goldcrest/platform/boot_settings.h"
#include "goldcrest/platform/statement_codec.h"
#include "goldcrest/statements/controller_client.h"
#include "goldcrest/statements/statement_proxy.h"
#include "programs/goldcrestd/caller_connections.h"
#include "programs/goldcrestd/platform_log.h"

namespace goldcrest {

//! The entry process, which serves the statement sessions of callers. Connects
//! a StatementProxy to the sockets of callers and endpoints and to its links to
//! all controllers. Runs on one thread.
class EntryService {
 public:
  EntryService(boost::asio::io_context& context,
               const platform::BootSettings& settings,
               PlatformLog& log);
  ~EntryService();

  void Start();

  //! Starts a planned stop; `done` runs once all sessions are closed or the
  //! grace period is nearly over.
  void BeginDrain(std::function<void()> done);

  //! Applies changed settings; only the controller seeds may change.
  void OnSettings(const platform::BootSettings& settings);

 private:
  struct EndpointConnection {
    std::shared_ptr<adapters::LineSocket> socket;
    platform::AnswerDecoder decoder;
    bool started = false;
    // Null for an endpoint of the own zone.
    adapters::Counter* other_zone_statements = nullptr;
    adapters::Counter* other_zone_bytes = nullptr;
  };
  statements::ProxyHooks MakeHooks();
  statements::ControllerClientHooks MakeControllerHooks();
  std::unique_ptr<adapters::PeerTransport> MakeRelayLinks();
  void CountRelayed(const char* event);
  void ConnectWantedRelays();
  CallerConnections::Hooks MakeCallerHooks();
  void OnCallerLine(statements::SessionId id, std::string_view line);
  void OpenEndpointConnection(statements::ConnectionId id,
                              const statements::ConnectionTarget& target);
  void OnEndpointLine(statements::ConnectionId id, std::string_view line);
  //! With what its endpoint's connection holds.
  statements::SessionMemory MemoryOf(statements::SessionId session) const;
  //! Passes on the rows of an answer that is too long to be kept.
  void PassRows(statements::ConnectionId id, EndpointConnection& link);
  bool IsOutputFull(statements::SessionId session) const;
  void ContinueRelayedAnswers();
  void ContinueEndpoint(statements::SessionId session);
  void OnEndpointClosed(statements::ConnectionId id, const std::string& cause);
  void Tick();
  void ContinueDrain(Time now);
  bool IsReady() const;
  void PublishRateCounts();
  adapters::HttpResponse HandleHttp(const adapters::HttpRequest& request);

  boost::asio::io_context& context_;
  platform::BootSettings settings_;
  PlatformLog& log_;
  adapters::Counters counters_;
  adapters::Scheduler scheduler_;
  const std::int64_t process_;  // random, differs after a restart
  statements::StatementProxy proxy_;
  CallerConnections callers_;
  // Connections that are not read from until the session's caller reads.
  std::map<statements::SessionId, statements::ConnectionId> paused_endpoints_;
  std::map<statements::ConnectionId, EndpointConnection> endpoint_connections_;
  statements::ControllerClient controllers_;
  bool last_logged_readiness_ = false;
  Time drain_started_at_ = kNever;
  Time sessions_ended_at_ = kNever;  // by the planned stop
  std::function<void()> on_drained_;
  std::unique_ptr<adapters::PeerTransport> peers_;
  // Links to other entries, for relayed operations.
  std::unique_ptr<adapters::PeerTransport> relay_links_;
  std::set<std::string> connected_relays_;  // that this entry connects to
  std::unique_ptr<adapters::HttpServer> http_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_ENTRY_SERVICE_H_
