#ifndef GOLDCREST_POLICY_DRY_RUN_REPORT_H_
#define GOLDCREST_POLICY_DRY_RUN_REPORT_H_

#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"

namespace goldcrest::policy {

//! Effects that a change would have. Names are in ascending order.
struct DryRunReport {
  messages::ChangeResult result;  //!< Result of the change.
  //! Customers whose quota, or the decision for one of whose keys, differs.
  std::vector<std::string> customers;
  std::vector<std::string> keys;  //!< Keys for which a decision differs.
  //! Endpoints allowed to different callers, or that start or stop leaving.
  std::vector<std::string> endpoints;
  bool callers_without_key = false;  //!< A decision for them differs.
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_DRY_RUN_REPORT_H_
