#ifndef GOLDCREST_POLICY_ACCESS_DECISION_H_
#define GOLDCREST_POLICY_ACCESS_DECISION_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/types/result_code.h"

namespace goldcrest::policy {

//! Whether a caller may use a group, and by which rule.
struct AccessDecision {
  //! kOk, kKeyMissing, kKeyUnknown, kKeyWithdrawn or kNoAccess.
  ResultCode code = ResultCode::kNoAccess;
  std::string customer;  //!< Empty without a key.
  std::string key_name;  //!< Empty without a key.
  std::string rule;      //!< Empty unless the code is kOk.
  //! Maximum age of the data that a read accepts; nullopt: only the primary's
  //! data.
  std::optional<std::chrono::milliseconds> max_age;
  messages::Durability::type durability = messages::Durability::MAJORITY;
  //! Allowed endpoints, in the order of AccessRequest::endpoints.
  std::vector<std::string> endpoints;

  bool operator==(const AccessDecision&) const = default;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_ACCESS_DECISION_H_
