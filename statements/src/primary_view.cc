#include "goldcrest/statements/primary_view.h"

#include <chrono>
#include <utility>

namespace goldcrest::statements {
namespace {

// How long an endpoint is left out after it refused as not being the primary,
// although its record says that it is: a promotion takes some hundred
// milliseconds to take effect.
constexpr Duration kRefusalValidity = std::chrono::milliseconds(150);

}  // namespace

PrimaryView::PrimaryView(const routing::EndpointDirectory* directory)
    : directory_(directory) {}

void PrimaryView::OnAssignment(Time now,
                               const messages::PrimaryAssignment& assignment) {
  PrimaryState& state = states_[assignment.group];
  if (assignment.order <= state.order)
    return;
  state.order = assignment.order;
  state.assigned = assignment.endpoint;
  state.assigned_at = now;
  state.refused_at.erase(assignment.endpoint);
  if (state.confirmed != assignment.endpoint) {
    state.confirmed.clear();
    state.failing_since.reset();
  }
}

void PrimaryView::OnConfirmed(Time now,
                              Time sent_at,
                              const std::string& group,
                              const std::string& endpoint) {
  PrimaryState& state = states_[group];
  if (endpoint != state.assigned && state.assigned_at &&
      sent_at <= *state.assigned_at)
    return;
  state.confirmed = endpoint;
  state.contacted = endpoint;
  state.refused_at.erase(endpoint);
  state.success_at = now;
  state.failing_since.reset();
}

void PrimaryView::OnRefused(Time now,
                            const std::string& group,
                            const std::string& endpoint) {
  PrimaryState& state = states_[group];
  state.refused_at[endpoint] = now;
  if (state.confirmed == endpoint)
    state.confirmed.clear();
}

void PrimaryView::OnUnreachable(Time now,
                                const std::string& group,
                                const std::string& endpoint) {
  PrimaryState& state = states_[group];
  if (state.contacted != endpoint) {
    state.contacted = endpoint;
    state.success_at.reset();
    state.failing_since.reset();
  }
  if (!state.failing_since)
    state.failing_since = now;
}

bool PrimaryView::HasRecentlyRefused(Time now,
                                     const PrimaryState& state,
                                     const std::string& endpoint) const {
  const auto it = state.refused_at.find(endpoint);
  if (it == state.refused_at.end())
    return false;
  const auto* entry = directory_->Find(endpoint);
  if (entry != nullptr && entry->record.primary &&
      entry->changed_at > it->second)
    return false;
  return now < it->second + kRefusalValidity;
}

std::string PrimaryView::PrimaryOf(
    Time now,
    const std::string& group,
    const std::function<bool(const std::string&)>& excluded) const {
  const auto it = states_.find(group);
  static const PrimaryState none;
  const PrimaryState& state = it == states_.end() ? none : it->second;
  const auto usable = [&](const std::string& endpoint) {
    if (endpoint.empty() || HasRecentlyRefused(now, state, endpoint) ||
        (excluded && excluded(endpoint)))
      return false;
    const auto* entry = directory_->Find(endpoint);
    return entry != nullptr && !entry->record.gone &&
           entry->record.group == group;
  };
  if (usable(state.confirmed))
    return state.confirmed;
  if (usable(state.assigned) && state.refused_at.count(state.assigned) == 0)
    return state.assigned;
  // Of several endpoints that call themselves primary, one that can't be
  // reached may have been named by another writer.
  const auto is_reachable = [&](const std::string& endpoint) {
    return !state.failing_since || state.contacted != endpoint;
  };
  const routing::EndpointDirectory::Entry* newest = nullptr;
  for (const auto* member : directory_->MembersOf(group)) {
    if (!member->record.primary || !usable(member->record.endpoint))
      continue;
    if (newest == nullptr ||
        std::pair(is_reachable(member->record.endpoint), member->changed_at) >
            std::pair(is_reachable(newest->record.endpoint),
                      newest->changed_at))
      newest = member;
  }
  if (newest != nullptr)
    return newest->record.endpoint;
  return usable(state.assigned) ? state.assigned : "";
}

std::vector<messages::PrimaryContact> PrimaryView::Contacts(Time now) const {
  const auto milliseconds = [](Duration duration) {
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
  };
  std::vector<messages::PrimaryContact> contacts;
  for (const auto& [group, state] : states_) {
    if (state.contacted.empty())
      continue;
    messages::PrimaryContact contact;
    contact.group = group;
    contact.endpoint = state.contacted;
    contact.success_age_ms =
        state.success_at ? milliseconds(now - *state.success_at) : -1;
    contact.failing_ms =
        state.failing_since ? milliseconds(now - *state.failing_since) + 1 : 0;
    contacts.push_back(contact);
  }
  return contacts;
}

}  // namespace goldcrest::statements
