#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_ENTRY_SERVICE_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_ENTRY_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
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
  };
  statements::ProxyHooks MakeHooks();
  statements::ControllerClientHooks MakeControllerHooks();
  void AcceptNextCaller();
  void OnCallerAccepted(boost::asio::ip::tcp::socket socket);
  void OnCallerLine(statements::SessionId id, std::string_view line);
  void CloseCaller(statements::SessionId id);
  void OpenEndpointConnection(statements::ConnectionId id,
                              const statements::ConnectionTarget& target);
  void OnEndpointLine(statements::ConnectionId id, std::string_view line);
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
  boost::asio::ip::tcp::acceptor acceptor_;
  statements::StatementProxy proxy_;
  std::uint64_t next_session_ = 1;
  std::map<statements::SessionId, std::shared_ptr<adapters::LineSocket>>
      callers_;
  std::set<statements::SessionId> started_sessions_;
  std::map<statements::ConnectionId, EndpointConnection> endpoint_connections_;
  statements::ControllerClient controllers_;
  bool last_logged_readiness_ = false;
  Time drain_started_at_ = kNever;
  Time sessions_ended_at_ = kNever;  // by the planned stop
  // Closed by the planned stop; expired once its connection has ended.
  std::vector<std::weak_ptr<adapters::LineSocket>> closing_callers_;
  std::function<void()> on_drained_;
  std::unique_ptr<adapters::PeerTransport> peers_;
  std::unique_ptr<adapters::HttpServer> http_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_ENTRY_SERVICE_H_
