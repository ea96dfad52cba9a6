#ifndef GOLDCREST_CTL_OPERATOR_CLIENT_H_
#define GOLDCREST_CTL_OPERATOR_CLIENT_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/settings/daemon_settings.h"
#include "goldcrest/settings/http_client.h"

namespace goldcrest::ctl {

//! Client of the operator interface; uses the first daemon that answers.
class OperatorClient {
 public:
  OperatorClient(std::vector<settings::Address> servers,
                 std::string token,
                 std::chrono::milliseconds timeout);

  //! Sends `call` to one server after another, in up to three rounds, until one
  //! answers. The call must be safe to repeat: a read, or a change with a
  //! change id. Nullopt if no server answers; a change may have taken effect
  //! even then.
  std::optional<settings::HttpAnswer> Send(settings::HttpCall call) const;

 private:
  std::vector<settings::Address> servers_;
  std::string token_;
  std::chrono::milliseconds timeout_;
};

}  // namespace goldcrest::ctl

#endif  // GOLDCREST_CTL_OPERATOR_CLIENT_H_
