#include "goldcrest/control/control_state.h"

#include <utility>

namespace goldcrest::control {
namespace {

constexpr std::size_t kMaxJournalEntries = 2'000;

// A session mark from before the oldest kept term start is limited to the
// position of that term start, which is higher and therefore safe.
constexpr std::size_t kMaxTermStartsPerGroup = 64;

ApplyResult RefusedResult(ResultCode code, std::string message) {
  return {code, 0, std::move(message)};
}

}  // namespace

ApplyResult ControlState::Apply(const messages::Command& command) {
  if (command.__isset.change)
    return ApplyChange(command);
  if (command.__isset.register_instance)
    return RegisterInstance(command.register_instance);
  if (command.__isset.remove_instance) {
    if (instances_.erase(command.remove_instance) > 0)
      ++groups_revision_;
    return {};
  }
  if (command.__isset.register_endpoint)
    return RegisterEndpoint(command.register_endpoint);
  if (command.__isset.assign_coordinator) {
    const messages::AssignCoordinator& assign = command.assign_coordinator;
    ApplyResult result = AssignCoordinator(assign);
    if (result.code == ResultCode::kOk)
      AddToJournal(command.wall_ms, "coordinator_assigned", assign.group,
                   assign.cause,
                   {{"coordinator", assign.coordinator},
                    {"epoch", std::to_string(assign.epoch)}});
    return result;
  }
  if (command.__isset.set_primary) {
    const messages::SetPrimary& set = command.set_primary;
    ApplyResult result = SetPrimary(set);
    if (result.code == ResultCode::kOk)
      AddToJournal(command.wall_ms, "primary_changed", set.group, set.cause,
                   {{"primary", set.primary},
                    {"term", std::to_string(set.term)},
                    {"position", std::to_string(set.previous_term_end)},
                    {"epoch", std::to_string(set.epoch)}});
    return result;
  }
  if (command.__isset.note) {
    const messages::JournalEntry& note = command.note;
    AddToJournal(note.wall_ms, note.kind, note.subject, note.cause,
                 note.inputs);
  }
  if (command.__isset.session_secret && session_secret_.empty())
    session_secret_ = command.session_secret;
  return {};
}

ApplyResult ControlState::ApplyChange(const messages::Command& command) {
  const std::int64_t before = configuration_.Revision();
  const messages::ChangeResult result = configuration_.Apply(command.change);
  const ResultCode code = ResultCodeFromNumber(result.code);
  if (configuration_.Revision() > before) {
    std::map<std::string, std::string> inputs = {
        {"author", command.change.author},
        {"change_id", command.change.change_id}};
    for (const messages::Object& object : command.change.objects)
      inputs["object " + object.name] = object.deleted ? "deleted" : "set";
    AddToJournal(command.wall_ms, "configuration_changed",
                 std::to_string(result.revision), "operator change",
                 std::move(inputs));
  }
  return {code, result.revision, result.message};
}

ApplyResult ControlState::RegisterInstance(const messages::InstanceInfo& info) {
  const auto it = instances_.find(info.instance);
  if (it != instances_.end() && it->second == info)
    return {};
  if (it != instances_.end() && it->second.incarnation > info.incarnation)
    return RefusedResult(ResultCode::kInvalidField, "older incarnation");
  instances_[info.instance] = info;
  ++groups_revision_;
  return {};
}

ApplyResult ControlState::RegisterEndpoint(const messages::EndpointInfo& info) {
  const auto it = endpoints_.find(info.endpoint);
  if (it != endpoints_.end()) {
    if (it->second == info)
      return {};
    if (it->second.incarnation > info.incarnation)
      return RefusedResult(ResultCode::kAnnouncementRejected,
                           "older incarnation");
    if (it->second.group != info.group)
      return RefusedResult(ResultCode::kAnnouncementRejected,
                           "endpoint belongs to group " + it->second.group);
  }
  endpoints_[info.endpoint] = info;
  ++groups_revision_;
  messages::GroupState& group = groups_[info.group];
  if (group.group.empty()) {
    group.group = info.group;
    group.revision = groups_revision_;
  }
  return {};
}

ApplyResult ControlState::AssignCoordinator(
    const messages::AssignCoordinator& assign) {
  const auto it = groups_.find(assign.group);
  if (it == groups_.end())
    return RefusedResult(ResultCode::kUnknownGroup, assign.group);
  messages::GroupState& group = it->second;
  if (assign.epoch != group.coordinator_epoch + 1)
    return RefusedResult(ResultCode::kCoordinatorMoved, "epoch has moved on");
  if (const auto old = groups_by_coordinator_.find(group.coordinator);
      old != groups_by_coordinator_.end()) {
    old->second.erase(assign.group);
    if (old->second.empty())
      groups_by_coordinator_.erase(old);
  }
  groups_by_coordinator_[assign.coordinator].insert(assign.group);
  group.coordinator = assign.coordinator;
  group.coordinator_epoch = assign.epoch;
  group.revision = ++groups_revision_;
  return {};
}

ApplyResult ControlState::SetPrimary(const messages::SetPrimary& set) {
  const auto it = groups_.find(set.group);
  if (it == groups_.end())
    return RefusedResult(ResultCode::kUnknownGroup, set.group);
  messages::GroupState& group = it->second;
  if (set.epoch != group.coordinator_epoch)
    return RefusedResult(ResultCode::kCoordinatorMoved,
                         "the asking coordinator was replaced");
  if (set.term != group.term + 1)
    return RefusedResult(ResultCode::kCoordinatorMoved, "term has moved on");
  group.term = set.term;
  group.primary = set.primary;
  messages::TermStart start;
  start.term = set.term;
  start.position = set.previous_term_end;
  group.term_starts.push_back(start);
  if (group.term_starts.size() > kMaxTermStartsPerGroup)
    group.term_starts.erase(group.term_starts.begin());
  group.revision = ++groups_revision_;
  return {};
}

void ControlState::AddToJournal(std::int64_t wall_ms,
                                const std::string& kind,
                                const std::string& subject,
                                const std::string& cause,
                                std::map<std::string, std::string> inputs) {
  messages::JournalEntry entry;
  entry.wall_ms = wall_ms;
  entry.kind = kind;
  entry.subject = subject;
  entry.cause = cause;
  entry.inputs = std::move(inputs);
  journal_.push_back(std::move(entry));
  if (journal_.size() > kMaxJournalEntries)
    journal_.pop_front();
}

const std::set<std::string>& ControlState::GroupsCoordinatedBy(
    const std::string& instance) const {
  static const std::set<std::string> no_groups;
  const auto it = groups_by_coordinator_.find(instance);
  return it == groups_by_coordinator_.end() ? no_groups : it->second;
}

messages::ControlSnapshot ControlState::Save() const {
  messages::ControlSnapshot snapshot;
  policy::ConfigurationState saved = configuration_.Save();
  snapshot.revision = saved.revision;
  snapshot.objects = std::move(saved.objects);
  snapshot.changes = std::move(saved.changes);
  snapshot.groups_revision = groups_revision_;
  snapshot.session_secret = session_secret_;
  for (const auto& [name, group] : groups_)
    snapshot.groups.push_back(group);
  for (const auto& [name, endpoint] : endpoints_)
    snapshot.endpoints.push_back(endpoint);
  for (const auto& [name, instance] : instances_)
    snapshot.instances.push_back(instance);
  snapshot.journal.assign(journal_.begin(), journal_.end());
  return snapshot;
}

void ControlState::Load(const messages::ControlSnapshot& snapshot) {
  *this = ControlState();
  configuration_.Load({snapshot.revision, snapshot.objects, snapshot.changes});
  groups_revision_ = snapshot.groups_revision;
  session_secret_ = snapshot.session_secret;
  for (const messages::GroupState& group : snapshot.groups) {
    groups_[group.group] = group;
    if (!group.coordinator.empty())
      groups_by_coordinator_[group.coordinator].insert(group.group);
  }
  for (const messages::EndpointInfo& endpoint : snapshot.endpoints)
    endpoints_[endpoint.endpoint] = endpoint;
  for (const messages::InstanceInfo& instance : snapshot.instances)
    instances_[instance.instance] = instance;
  journal_.assign(snapshot.journal.begin(), snapshot.journal.end());
}

}  // namespace goldcrest::control
