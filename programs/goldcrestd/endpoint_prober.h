#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_ENDPOINT_PROBER_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_ENDPOINT_PROBER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "goldcrest/adapters/line_socket.h"
#include "goldcrest/adapters/scheduler.h"
#include "goldcrest/fleet/failover_planner.h"
#include "goldcrest/platform/statement_codec.h"

namespace goldcrest {

//! Asks endpoints whether they lead and how far their logs are. Keeps one
//! connection to each endpoint that it asks again and again.
class EndpointProber {
 public:
  using Result = std::function<void(const std::string& group,
                                    const std::string& endpoint,
                                    const fleet::ProbeResult&)>;

  EndpointProber(boost::asio::io_context& context,
                 adapters::Scheduler& scheduler,
                 Result result);
  ~EndpointProber();

  //! A probe of an endpoint that is being probed is dropped.
  void Probe(const messages::EndpointRecord& record,
             fleet::ProbePurpose purpose);

  //! Closes connections that were not used for a while.
  void CloseIdle(Time now);

 private:
  struct Connection {
    std::string group;
    std::string endpoint;
    std::string address;
    std::shared_ptr<adapters::LineSocket> socket;
    platform::AnswerDecoder decoder;
    fleet::ProbePurpose purpose = fleet::ProbePurpose::kLeadership;
    bool started = false;   // the endpoint has accepted the connection
    bool asked = false;     // an answer to the probe is due
    bool cleaning = false;  // the answer to the rollback is due
    std::uint64_t attempt = 0;
    Time used_at;
    Time asked_at;
  };

  void Ask(Connection& connection);
  void OnLine(const std::string& endpoint, std::string_view line);
  void OnAnswer(Connection& connection, const statements::Answer& answer);
  void Finish(Connection& connection, const fleet::ProbeResult& result);
  void Fail(const std::string& endpoint);

  boost::asio::io_context& context_;
  adapters::Scheduler& scheduler_;
  Result result_;
  std::uint64_t attempts_ = 0;
  std::map<std::string, std::unique_ptr<Connection>> connections_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_ENDPOINT_PROBER_H_
