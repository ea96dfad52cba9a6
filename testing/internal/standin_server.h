#ifndef GOLDCREST_TESTING_STANDIN_SERVER_H_
#define GOLDCREST_TESTING_STANDIN_SERVER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "database.h"
#include "faults.h"
#include "goldcrest/settings/http_client.h"
#include "goldcrest/testing/http_listener.h"
#include "seen_requests.h"
#include "standin_options.h"

namespace goldcrest::testing {

//! A stand-in database server: serves the endpoint interface over HTTP, pulls
//! the log of the primary it follows and announces itself to entries.
class StandinServer {
 public:
  //! Starts listening; throws std::exception when the port can't be used.
  explicit StandinServer(StandinOptions options);
  //! Stops without announcing that the endpoint is leaving.
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  std::uint16_t port() const { return options_.port; }

  //! Announces that the endpoint is leaving and goes on serving until the
  //! minimum leave time has elapsed and no statement or transaction is open,
  //! for at most 10 s.
  void Leave();

 private:
  HttpReply HandleRequest(const HttpRequest& request);
  HttpReply HandleStatement(const HttpRequest& request);
  HttpReply HandlePromote(const HttpRequest& request);
  HttpReply HandleFollow(const HttpRequest& request);
  HttpReply HandleOutcome(const HttpRequest& request);
  HttpReply HandleLog(const HttpRequest& request) const;
  HttpReply HandleFault(const HttpRequest& request);
  void RecordRequest(const HttpRequest& request);
  //! Returns false when `connection` carries no statements yet and the limit of
  //! connections with statements is reached.
  bool AdmitConnection(std::uint64_t connection);
  void CloseConnection(std::uint64_t connection);
  std::string StatusJson() const;

  void RunReplication();
  void PullLog(const Database::Source& source);
  //! Follows the group member that is primary, if any. A restarted server needs
  //! this because it has lost the last request to follow a primary.
  void DiscoverPrimary();
  settings::HttpClient& ClientFor(const HostPort& address);

  void RunAnnouncements();
  std::string BuildAnnouncementBody() const;

  StandinOptions options_;
  const std::int64_t incarnation_;
  Database database_;
  Faults faults_;
  SeenRequests seen_requests_;
  std::atomic<bool> leaving_ = false;
  std::atomic<std::int64_t> announcement_sequence_ = 0;
  mutable std::mutex connections_mutex_;
  std::set<std::uint64_t> statement_connections_;
  std::size_t peak_statement_connections_ = 0;
  // Used only by the replicator thread.
  std::map<std::string, std::unique_ptr<settings::HttpClient>> clients_;
  std::unique_ptr<HttpListener> listener_;
  std::thread replicator_;
  std::thread announcer_;
};

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_STANDIN_SERVER_H_
