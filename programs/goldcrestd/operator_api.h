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
#include "programs/goldcrestd/refusal_counters.h"

namespace goldcrest {

//! Functions of the daemon that the operator interface calls.
struct OperatorApiHooks {
  //! Proposes a change to the replicated log; the answer arrives through
  //! OnProposalAnswer() with this id.
  std::function<void(std::uint64_t id, const messages::ProposeRequest& request)>
      propose;
  //! Sends a query to the control leader; the answer arrives through
  //! OnQueryAnswer().
  std::function<void(const messages::QueryRequest&)> query;
  //! Calls its argument with this entry's copy of the configuration and the
  //! endpoints.
  std::function<void(
      const std::function<void(const policy::Configuration&,
                               const std::vector<messages::EndpointInfo>&)>&)>
      read_configuration;
  //! Starts a planned stop of an instance; false if the instance is unknown.
  std::function<bool(const std::string& instance)> drain;
  const RefusalCounters* refusals = nullptr;
};

//! The operators' HTTP interface. Thread-safe.
class OperatorApi {
 public:
  using Respond = adapters::HttpServer::Respond;

  //! `token_digest` is the SHA-256 digest of the operators' token.
  OperatorApi(std::string token_digest, OperatorApiHooks hooks);

  void Handle(const adapters::HttpRequest& request, Respond respond);
  void OnProposalAnswer(std::uint64_t id,
                        const messages::ProposeResponse& response);
  void OnQueryAnswer(const messages::QueryResponse& response);
  //! Answers the queries whose deadline has passed with kNotLeader.
  void ExpireQueries(Time now);

 private:
  struct PendingQuery {
    Respond respond;
    std::string subject;
    bool explain = false;  // the answer includes this instance's refusals
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
  std::map<std::uint64_t, Respond> pending_changes_;
  std::map<std::int64_t, PendingQuery> pending_queries_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_OPERATOR_API_H_
