#include "operator_client.h"

#include <thread>
#include <utility>

namespace goldcrest::ctl {
namespace {

constexpr int kMaxRounds = 3;
// Gives a restarting daemon time to accept connections.
constexpr std::chrono::milliseconds kPauseBetweenRounds{200};

}  // namespace

OperatorClient::OperatorClient(std::vector<settings::Address> servers,
                               std::string token,
                               std::chrono::milliseconds timeout)
    : servers_(std::move(servers)),
      token_(std::move(token)),
      timeout_(timeout) {}

std::optional<settings::HttpAnswer> OperatorClient::Send(
    settings::HttpCall call) const {
  call.headers["Authorization"] = "Bearer " + token_;
  for (int round = 0; round < kMaxRounds; ++round) {
    if (round > 0)
      std::this_thread::sleep_for(kPauseBetweenRounds);
    for (const settings::Address& server : servers_) {
      settings::HttpClient client(server.host, server.port);
      if (auto answer = client.Call(call, timeout_))
        return answer;
    }
  }
  return std::nullopt;
}

}  // namespace goldcrest::ctl
