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
//! the log from the primary it follows and announces itself.
class StandinServer {
 public:
  //! Listens at once; throws std::exception when the port can't be used.
  explicit StandinServer(StandinOptions options);
  //! Stops at once, without leaving.
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  std::uint16_t port() const { return options_.port; }

  //! Announces that the endpoint is leaving, then serves until the leave time
  //! has passed and nothing runs, or until the limit of 10 s.
  void Leave();

 private:
  HttpReply Handle(const HttpRequest& request);
  HttpReply HandleStatement(const HttpRequest& request);
  HttpReply HandlePromote(const HttpRequest& request);
  HttpReply HandleFollow(const HttpRequest& request);
  HttpReply HandleOutcome(const HttpRequest& request);
  HttpReply HandleLog(const HttpRequest& request) const;
  HttpReply HandleFault(const HttpRequest& request);
  void Record(const HttpRequest& request);
  //! False when `connection` is one more than may carry statements.
  bool AdmitConnection(std::uint64_t connection);
  void CloseConnection(std::uint64_t connection);
  std::string StatusJson() const;

  void Replicate();
  void Pull(const Database::Source& source);
  //! Follows the group mate that is primary, if any; a restarted server has
  //! no order to follow.
  void LookForPrimary();
  settings::HttpClient& ClientFor(const HostPort& address);

  void Announce();
  std::string AnnouncementBody() const;

  StandinOptions options_;
  const std::int64_t incarnation_;
  Database database_;
  Faults faults_;
  SeenRequests seen_;
  std::atomic<bool> leaving_ = false;
  std::atomic<std::int64_t> sequence_ = 0;
  mutable std::mutex mutex_;
  std::set<std::uint64_t> statement_connections_;
  std::size_t peak_statement_connections_ = 0;
  // Used by the replicator's thread alone.
  std::map<std::string, std::unique_ptr<settings::HttpClient>> clients_;
  std::unique_ptr<HttpListener> listener_;
  std::thread replicator_;
  std::thread announcer_;
};

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_STANDIN_SERVER_H_
