#ifndef GOLDCREST_CTL_OPERATOR_CLIENT_H_
#define GOLDCREST_CTL_OPERATOR_CLIENT_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/settings/daemon_settings.h"
#include "goldcrest/settings/http_client.h"

namespace goldcrest::ctl {

//! Calls the operator interface of the first daemon that answers.
class OperatorClient {
 public:
  OperatorClient(std::vector<settings::Address> servers,
                 std::string token,
                 std::chrono::milliseconds timeout);

  //! Sends `call` to each server, up to three times in turn, until one answers.
  //! A call must be safe to repeat: reads are, and changes carry a change id.
  //! Nullopt when none answers; a change may have been made then.
  std::optional<settings::HttpAnswer> Send(settings::HttpCall call) const;

 private:
  std::vector<settings::Address> servers_;
  std::string token_;
  std::chrono::milliseconds timeout_;
};

}  // namespace goldcrest::ctl

#endif  // GOLDCREST_CTL_OPERATOR_CLIENT_H_
