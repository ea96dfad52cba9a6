#ifndef GOLDCREST_ENTRY_CONTROL_VIEW_H_
#define GOLDCREST_ENTRY_CONTROL_VIEW_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/policy/configuration.h"
#include "goldcrest/types/time.h"

namespace goldcrest::entry {

//! An entry's copy of the state that control has logged. Only ControlClient
//! updates it.
class ControlView {
 public:
  //! Merges newer state. Returns false if nothing changed.
  bool Merge(const messages::ControlUpdate& update);

  policy::Configuration& configuration() { return configuration_; }
  const policy::Configuration& configuration() const { return configuration_; }

  const messages::GroupState* FindGroup(const std::string& group) const;
  const std::vector<messages::EndpointInfo>& EndpointsOf(
      const std::string& group) const;
  const messages::EndpointInfo* FindEndpoint(const std::string& endpoint) const;
  const std::map<std::string, messages::GroupState>& groups() const {
    return groups_;
  }
  const std::vector<messages::InstanceInfo>& instances() const {
    return instances_;
  }
  std::int64_t groups_revision() const { return groups_revision_; }
  const std::string& session_secret() const { return session_secret_; }

 private:
  policy::Configuration configuration_;
  std::int64_t groups_revision_ = 0;
  std::map<std::string, messages::GroupState> groups_;
  std::map<std::string, std::vector<messages::EndpointInfo>> endpoints_;
  std::vector<messages::InstanceInfo> instances_;
  std::string session_secret_;
};

}  // namespace goldcrest::entry

#endif  // GOLDCREST_ENTRY_CONTROL_VIEW_H_
