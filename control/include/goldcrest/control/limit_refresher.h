#ifndef GOLDCREST_CONTROL_LIMIT_REFRESHER_H_
#define GOLDCREST_CONTROL_LIMIT_REFRESHER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "goldcrest/policy/configuration.h"
#include "goldcrest/quota/limit.h"

namespace goldcrest::control {

//! Passes the customers' rate limits from the configuration to their token
//! buckets, once per configuration revision.
class LimitRefresher {
 public:
  //! Calls `set_limit` for each customer with a limit, and with nullopt for
  //! each customer whose limit was removed. Does nothing if the revision is
  //! unchanged.
  void Refresh(
      const policy::Configuration& configuration,
      const std::function<void(const std::string& customer,
                               std::optional<quota::Limit>)>& set_limit);

 private:
  std::int64_t revision_ = -1;
  std::set<std::string> limited_customers_;
};

}  // namespace goldcrest::control

#endif  // GOLDCREST_CONTROL_LIMIT_REFRESHER_H_
