#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_ENDPOINT_PROBER_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_ENDPOINT_PROBER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "goldcrest/adapters/line_socket.h"
#include "goldcrest/adapters/scheduler.h"
#include "goldcrest/fleet/failover_planner.h"
#include "goldcrest/platform/statement_codec.h"

namespace goldcrest {

//! Probes endpoints for whether they lead their group and for the position of
//! their log, and fences them. Reuses one connection per endpoint. An endpoint
//! that leads and tells no position with that is asked for its status; a
//! position gives a second result.
class EndpointProber {
 public:
  using ResultCallback = std::function<void(const std::string& group,
                                            const std::string& endpoint,
                                            const fleet::ProbeResult&)>;

  EndpointProber(boost::asio::io_context& context,
                 adapters::Scheduler& scheduler,
                 ResultCallback on_result);
  ~EndpointProber();

  //! Probes an endpoint. While a probe of this endpoint is pending, one with
  //! another purpose is sent after its answer; only the latest such one. A
  //! probe that has opened a transaction is rolled back before the next one.
  void Probe(const messages::EndpointRecord& record,
             fleet::ProbePurpose purpose,
             std::int64_t fence_term = 0);

  //! Closes connections that have been idle for two seconds.
  void CloseIdleConnections(Time now);

 private:
  struct Connection {
    // What the endpoint has to answer: the start line, a probe, the question
    // for its position after BEGIN, or a rollback.
    enum class State {
      kStarting,
      kIdle,
      kProbing,
      kAskingPosition,
      kRollingBack,
    };

    messages::EndpointRecord record;
    State state = State::kStarting;
    std::shared_ptr<adapters::LineSocket> socket;
    platform::AnswerDecoder decoder;
    fleet::ProbePurpose purpose = fleet::ProbePurpose::kLeadership;
    std::int64_t fence_term = 0;
    // To be sent once the connection is idle.
    std::optional<fleet::ProbePurpose> next_purpose;
    std::int64_t next_fence_term = 0;
    std::uint64_t attempt = 0;
    Time last_used_at;
    Time probe_sent_at;
  };

  void Connect(const messages::EndpointRecord& record,
               fleet::ProbePurpose purpose,
               std::int64_t fence_term);
  void SendProbe(Connection& connection);
  void AskPosition(Connection& connection);
  void SendRollback(Connection& connection);
  void SendNextProbe(Connection& connection);
  void AwaitAnswer(Connection& connection);
  void OnLine(const std::string& endpoint, std::string_view line);
  void OnAnswer(Connection& connection, const statements::Answer& answer);
  void OnProbeAnswer(Connection& connection, const statements::Answer& answer);
  void OnRollbackAnswer(Connection& connection,
                        const statements::Answer& answer);
  void Fail(const std::string& endpoint);

  boost::asio::io_context& context_;
  adapters::Scheduler& scheduler_;
  ResultCallback on_result_;
  std::uint64_t attempts_ = 0;
  std::map<std::string, std::unique_ptr<Connection>> connections_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_ENDPOINT_PROBER_H_
