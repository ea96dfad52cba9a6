#ifndef GOLDCREST_POLICY_QUOTA_LIMIT_H_
#define GOLDCREST_POLICY_QUOTA_LIMIT_H_

#include <cstdint>
#include <string>

namespace goldcrest::policy {

//! A customer's rate and burst over all instances.
struct QuotaLimit {
  std::int64_t rate_micros = 0;   //!< Millionths of a request a second.
  std::int64_t burst_micros = 0;  //!< Millionths of a request.
  std::string rule;               //!< Name of the quota rule.

  bool operator==(const QuotaLimit&) const = default;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_QUOTA_LIMIT_H_
