#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_ENDPOINT_GATEWAY_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_ENDPOINT_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/adapters/http_client.h"
#include "goldcrest/coordinator/endpoint_call.h"
#include "goldcrest/messages/messages.h"

namespace goldcrest {

//! Sends the coordinator's calls to endpoints over HTTP. Thread-safe.
class EndpointGateway {
 public:
  using Callback = std::function<void(coordinator::CallResult)>;

  explicit EndpointGateway(boost::asio::io_context& context)
      : context_(context) {}

  void SetEndpoints(const std::vector<messages::EndpointInfo>& endpoints);

  //! `callback` runs once, on a worker thread or before Call() returns.
  void Call(const coordinator::EndpointCall& call, const Callback& callback);

  void ClosePin(const std::string& endpoint, std::uint64_t pin);
  void ReleasePin(const std::string& endpoint, std::uint64_t pin);

  //! Requests the identity of the endpoint at the announced address. `callback`
  //! receives true if its name, group and incarnation are those of `info`.
  void VerifyIdentity(const messages::EndpointInfo& info,
                      Time deadline,
                      std::function<void(bool)> callback);

 private:
  struct EndpointClients {
    std::string host;
    int port = 0;
    // Probes have a connection pool of their own, so that statements can't
    // delay them.
    std::shared_ptr<adapters::HttpClient> statements;
    std::shared_ptr<adapters::HttpClient> probes;
  };
  struct Pin {
    std::shared_ptr<adapters::PinnedConnection>
        connection;  // null until opened
    bool closed = false;
  };
  using PinKey = std::pair<std::string, std::uint64_t>;

  std::shared_ptr<adapters::HttpClient> MakeClient(const std::string& host,
                                                   int port,
                                                   int connections);
  void CallPinned(const coordinator::EndpointCall& call,
                  const std::shared_ptr<adapters::HttpClient>& client,
                  adapters::HttpCall http,
                  adapters::HttpCallback done);

  boost::asio::io_context& context_;
  std::mutex mutex_;
  std::map<std::string, EndpointClients> clients_;
  std::map<PinKey, Pin> pins_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_ENDPOINT_GATEWAY_H_
