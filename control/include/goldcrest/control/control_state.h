#ifndef GOLDCREST_CONTROL_CONTROL_STATE_H_
#define GOLDCREST_CONTROL_CONTROL_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/policy/configuration.h"
#include "goldcrest/types/result_code.h"

namespace goldcrest::control {

//! Result of applying a logged command.
struct ApplyResult {
  ResultCode code = ResultCode::kOk;
  std::int64_t revision = 0;  //!< Configuration revision after a change.
  std::string message;
};

//! Replicated state machine of the control members. Its state depends only on
//! the applied commands, so all members reach the same state.
class ControlState {
 public:
  ApplyResult Apply(const messages::Command& command);

  messages::ControlSnapshot Save() const;
  void Load(const messages::ControlSnapshot& snapshot);

  const policy::Configuration& configuration() const { return configuration_; }
  const std::map<std::string, messages::GroupState>& groups() const {
    return groups_;
  }
  //! Names of the groups whose coordinator is `instance`.
  const std::set<std::string>& GroupsCoordinatedBy(
      const std::string& instance) const;
  const std::map<std::string, messages::EndpointInfo>& endpoints() const {
    return endpoints_;
  }
  const std::map<std::string, messages::InstanceInfo>& instances() const {
    return instances_;
  }
  const std::deque<messages::JournalEntry>& journal() const { return journal_; }
  //! Key that signs session tokens; empty until a leader has logged one.
  const std::string& session_secret() const { return session_secret_; }
  //! Increases with every change of groups, endpoints or instances.
  std::int64_t groups_revision() const { return groups_revision_; }

 private:
  ApplyResult ApplyChange(const messages::Command& command);
  ApplyResult RegisterInstance(const messages::InstanceInfo& info);
  ApplyResult RegisterEndpoint(const messages::EndpointInfo& info);
  ApplyResult AssignCoordinator(const messages::AssignCoordinator& assign);
  ApplyResult SetPrimary(const messages::SetPrimary& set);
  void AddToJournal(std::int64_t wall_ms,
                    const std::string& kind,
                    const std::string& subject,
                    const std::string& cause,
                    std::map<std::string, std::string> inputs);

  policy::Configuration configuration_;
  std::string session_secret_;
  std::int64_t groups_revision_ = 0;
  std::map<std::string, messages::GroupState> groups_;
  // Index for GroupsCoordinatedBy(), so that the leader need not iterate over
  // all groups for each report.
  std::map<std::string, std::set<std::string>> groups_by_coordinator_;
  std::map<std::string, messages::EndpointInfo> endpoints_;
  std::map<std::string, messages::InstanceInfo> instances_;
  std::deque<messages::JournalEntry> journal_;
};

}  // namespace goldcrest::control

#endif  // GOLDCREST_CONTROL_CONTROL_STATE_H_
