#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_OPERATOR_API_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_OPERATOR_API_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "goldcrest/adapters/http_message.h"
#include "goldcrest/adapters/http_server.h"
#include "goldcrest/messages/messages.h"
#include "goldcrest/policy/configuration.h"
#include "goldcrest/types/time.h"
#include "programs/goldcrestd/refusal_log.h"

namespace goldcrest {

//! What the operator interface needs of the daemon.
struct OperatorApiHooks {
  //! Starts a logged change; its answer comes through OnAnswer with this id.
  std::function<void(std::uint64_t id, const messages::ProposeRequest& request)>
      propose;
  //! Asks the control leader; its answer comes through OnQueryAnswer.
  std::function<void(const messages::QueryRequest&)> query;
  //! Calls back with this entry's copy of the configuration and endpoints.
  std::function<void(
      const std::function<void(const policy::Configuration&,
                               const std::vector<messages::EndpointInfo>&)>&)>
      read_configuration;
  //! False when there is no such instance.
  std::function<bool(const std::string& instance)> drain;
  const RefusalLog* refusals = nullptr;
};

//! The operators' HTTP interface. Safe from any thread.
class OperatorApi {
 public:
  using Respond = adapters::HttpServer::Respond;

  //! `token_digest`: SHA-256 of the operators' token.
  OperatorApi(std::string token_digest, OperatorApiHooks hooks);

  void Handle(const adapters::HttpRequest& request, Respond respond);
  void OnAnswer(std::uint64_t id, const messages::ProposeResponse& response);
  void OnQueryAnswer(const messages::QueryResponse& response);
  //! Answers queries that have waited too long.
  void Expire(Time now);

 private:
  struct Query {
    Respond respond;
    std::string subject;  // explain: adds this instance's refusals
    bool explain = false;
    Time deadline;
  };

  void HandleChange(const adapters::HttpRequest& request, Respond respond);
  void HandleKeyIssue(const adapters::HttpRequest& request, Respond respond);
  void HandleKeyWithdrawal(const adapters::HttpRequest& request,
                           Respond respond);
  void HandleObjects(const adapters::HttpRequest& request,
                     const Respond& respond);
  void HandleDrain(const adapters::HttpRequest& request,
                   const Respond& respond);
  void HandleQuery(const std::string& path,
                   const std::string& subject,
                   Respond respond);
  void DryRun(const messages::Change& change, const Respond& respond);
  void HandleMembers(const adapters::HttpRequest& request, Respond respond);
  void Propose(const messages::Change& change, Respond respond);
  void Propose(const messages::ProposeRequest& request, Respond respond);

  std::string token_digest_;
  OperatorApiHooks hooks_;
  std::mutex mutex_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Respond> changes_;
  std::map<std::int64_t, Query> queries_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_OPERATOR_API_H_
