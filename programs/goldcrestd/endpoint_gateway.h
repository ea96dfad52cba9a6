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

//! Makes the coordinator's calls to endpoints over HTTP. Safe from any thread.
class EndpointGateway {
 public:
  using Callback = std::function<void(coordinator::CallResult)>;

  explicit EndpointGateway(boost::asio::io_context& context)
      : context_(context) {}

  void SetEndpoints(const std::vector<messages::EndpointInfo>& endpoints);

  //! `callback` runs once, on a worker thread.
  void Call(const coordinator::EndpointCall& call, const Callback& callback);

  void ClosePin(const std::string& endpoint, std::uint64_t pin);
  void ReleasePin(const std::string& endpoint, std::uint64_t pin);

  //! Asks the address of an announcement for its identity. `callback` gets
  //! whether it answers as that endpoint, group and incarnation.
  void Verify(const messages::EndpointInfo& info,
              Time deadline,
              std::function<void(bool)> callback);

 private:
  struct Client {
    std::string host;
    int port = 0;
    // Statements must not delay probes, so these have a pool of their own.
    std::shared_ptr<adapters::HttpClient> statements;
    std::shared_ptr<adapters::HttpClient> probes;
  };
  struct Pin {
    std::shared_ptr<adapters::PinnedConnection> connection;  // null: opening
    bool closed = false;
  };
  using PinKey = std::pair<std::string, std::uint64_t>;

  std::shared_ptr<adapters::HttpClient> NewClient(const std::string& host,
                                                  int port,
                                                  int connections);
  void CallPinned(const coordinator::EndpointCall& call,
                  const std::shared_ptr<adapters::HttpClient>& client,
                  adapters::HttpCall http,
                  adapters::HttpCallback done);

  boost::asio::io_context& context_;
  std::mutex mutex_;
  std::map<std::string, Client> clients_;
  std::map<PinKey, Pin> pins_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_ENDPOINT_GATEWAY_H_
