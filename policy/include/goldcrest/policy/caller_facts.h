#ifndef GOLDCREST_POLICY_CALLER_FACTS_H_
#define GOLDCREST_POLICY_CALLER_FACTS_H_

#include <span>
#include <string_view>

#include "goldcrest/messages/messages.h"

namespace goldcrest::policy {

//! What is known of a request when access to a group is decided.
struct CallerFacts {
  std::string_view key_digest;  //!< SHA-256 of the key; empty: no key shown.
  std::string_view group;
  bool write = false;
  //! Endpoints of `group`; those of other groups are ignored.
  std::span<const messages::EndpointInfo> endpoints;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_CALLER_FACTS_H_
