#include "goldcrest/entry/control_view.h"

namespace goldcrest::entry {

bool ControlView::Merge(const messages::ControlUpdate& update) {
  bool changed = false;
  const std::int64_t before = configuration_.Revision();
  if (update.revision > before)
    changed = configuration_.Merge(update.objects, update.revision,
                                   update.base_revision);
  if (session_secret_ != update.session_secret &&
      !update.session_secret.empty()) {
    session_secret_ = update.session_secret;
    changed = true;
  }
  // An update for an earlier process of this instance can start from a revision
  // that this process does not have.
  if (update.groups_revision <= groups_revision_ ||
      update.base_groups_revision > groups_revision_)
    return changed;
  groups_revision_ = update.groups_revision;
  for (const messages::GroupState& group : update.groups) {
    messages::GroupState& known = groups_[group.group];
    if (group.revision >= known.revision)
      known = group;
  }
  endpoints_.clear();
  for (const messages::EndpointInfo& endpoint : update.endpoints)
    endpoints_[endpoint.group].push_back(endpoint);
  instances_ = update.instances;
  return true;
}

const messages::GroupState* ControlView::FindGroup(
    const std::string& group) const {
  const auto it = groups_.find(group);
  return it == groups_.end() ? nullptr : &it->second;
}

const std::vector<messages::EndpointInfo>& ControlView::EndpointsOf(
    const std::string& group) const {
  static const std::vector<messages::EndpointInfo> none;
  const auto it = endpoints_.find(group);
  return it == endpoints_.end() ? none : it->second;
}

const messages::EndpointInfo* ControlView::FindEndpoint(
    const std::string& endpoint) const {
  for (const auto& [group, endpoints] : endpoints_) {
    for (const messages::EndpointInfo& info : endpoints) {
      if (info.endpoint == endpoint)
        return &info;
    }
  }
  return nullptr;
}

}  // namespace goldcrest::entry
