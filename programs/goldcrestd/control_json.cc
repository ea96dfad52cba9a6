#include "programs/goldcrestd/control_json.h"

#include <algorithm>

#include "goldcrest/adapters/json.h"

namespace goldcrest {
namespace {

using adapters::JsonWriter;

bool MentionsSubject(const messages::JournalEntry& entry,
                     const std::string& subject) {
  if (subject.empty() || entry.subject == subject)
    return true;
  return std::ranges::any_of(entry.inputs, [&](const auto& input) {
    return input.second == subject || input.first == "object " + subject;
  });
}

std::string InstanceJson(const messages::InstanceInfo& info, bool lapsed) {
  JsonWriter json;
  json.BeginObject()
      .Member("instance", info.instance)
      .Member("zone", info.zone)
      .Member("address", info.host + ":" + std::to_string(info.port))
      .Member("serving", !lapsed)
      .EndObject();
  return json.Take();
}

std::string EndpointJson(const messages::EndpointInfo& info,
                         const policy::Configuration& configuration) {
  JsonWriter json;
  json.BeginObject()
      .Member("endpoint", info.endpoint)
      .Member("group", info.group)
      .Member("zone", info.zone)
      .Member("address", info.host + ":" + std::to_string(info.port))
      .Member("leaving",
              info.leaving || configuration.EndpointLeaving(info.endpoint))
      .EndObject();
  return json.Take();
}

}  // namespace

std::string StatusJson(const entry::ControlNode& node, Time now) {
  const control::ControlState& state = node.state();
  JsonWriter json;
  json.BeginObject()
      .Member("leader", node.replica().Leader())
      .Member("term", node.replica().Term())
      .Member("commit_index", node.replica().CommitIndex())
      .Member("revision", state.configuration().Revision())
      .BeginArray("control_members");
  for (const std::string& member : node.replica().Members())
    json.Element(member);
  json.EndArray().BeginArray("instances");
  const std::vector<std::string> lapsed =
      node.leader() == nullptr ? std::vector<std::string>()
                               : node.leader()->LapsedInstances(now);
  for (const auto& [name, info] : state.instances())
    json.ElementRaw(InstanceJson(info, std::ranges::count(lapsed, name) > 0));
  json.EndArray().BeginArray("groups");
  for (const auto& [name, group] : state.groups()) {
    JsonWriter item;
    item.BeginObject()
        .Member("group", name)
        .Member("term", group.term)
        .Member("primary", group.primary)
        .Member("coordinator", group.coordinator)
        .Member("epoch", group.coordinator_epoch)
        .EndObject();
    json.ElementRaw(item.Take());
  }
  json.EndArray().BeginArray("endpoints");
  for (const auto& [name, info] : state.endpoints())
    json.ElementRaw(EndpointJson(info, state.configuration()));
  json.EndArray().EndObject();
  return json.Take();
}

std::string JournalJson(const control::ControlState& state,
                        const std::string& subject) {
  JsonWriter json;
  json.BeginObject().BeginArray("journal");
  for (const messages::JournalEntry& entry : state.journal()) {
    if (!MentionsSubject(entry, subject))
      continue;
    JsonWriter item;
    item.BeginObject()
        .Member("wall_ms", entry.wall_ms)
        .Member("kind", entry.kind)
        .Member("subject", entry.subject)
        .Member("cause", entry.cause)
        .Member("inputs", Labels(entry.inputs))
        .EndObject();
    json.ElementRaw(item.Take());
  }
  json.EndArray().EndObject();
  return json.Take();
}

}  // namespace goldcrest
