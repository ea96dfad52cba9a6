#ifndef GOLDCREST_POLICY_DRY_RUN_REPORT_H_
#define GOLDCREST_POLICY_DRY_RUN_REPORT_H_

#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"

namespace goldcrest::policy {

//! What a change would do, without doing it. Names are in ascending order.
struct DryRunReport {
  messages::ChangeResult result;       //!< Answer the change would get.
  std::vector<std::string> customers;  //!< Quota or a key's decision differs.
  std::vector<std::string> keys;       //!< A decision differs.
  //! Allowed to other callers than before, or begins or ends leaving.
  std::vector<std::string> endpoints;
  bool callers_without_key = false;  //!< A decision without a key differs.
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_DRY_RUN_REPORT_H_
