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

//! Carries the customers' limits from the configuration to the buckets, once
//! per revision.
class LimitRefresher {
 public:
  //! Calls `set` for each customer with a limit, and with nullopt for each that
  //! had one before. Does nothing while the revision is the same.
  void Refresh(const policy::Configuration& configuration,
               const std::function<void(const std::string& customer,
                                        std::optional<quota::Limit>)>& set);

 private:
  std::int64_t revision_ = -1;
  std::set<std::string> limited_;
};

}  // namespace goldcrest::control

#endif  // GOLDCREST_CONTROL_LIMIT_REFRESHER_H_
