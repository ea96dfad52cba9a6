#ifndef GOLDCREST_POLICY_ACCESS_REQUEST_H_
#define GOLDCREST_POLICY_ACCESS_REQUEST_H_

#include <span>
#include <string_view>

#include "goldcrest/messages/messages.h"

namespace goldcrest::policy {

//! A request for access to a group, as the input of Configuration::Decide().
struct AccessRequest {
  std::string_view key_digest;  //!< SHA-256 of the key; empty without a key.
  std::string_view group;
  bool write = false;
  //! Endpoints of `group`; those of other groups are ignored.
  std::span<const messages::EndpointInfo> endpoints;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_ACCESS_REQUEST_H_
