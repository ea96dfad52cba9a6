#include "goldcrest/statements/primary_view.h"

#include <chrono>

namespace goldcrest::statements {
namespace {

// An endpoint that still says it leads is asked again this long after it
// refused: a promotion takes some hundred milliseconds to come into force.
constexpr Duration kDenialLasts = std::chrono::milliseconds(150);

}  // namespace

PrimaryView::PrimaryView(const routing::EndpointDirectory* directory)
    : directory_(directory) {}

void PrimaryView::OnAssignment(const messages::PrimaryAssignment& assignment) {
  Belief& belief = beliefs_[assignment.group];
  if (assignment.order <= belief.order)
    return;
  belief.order = assignment.order;
  belief.assigned = assignment.endpoint;
  belief.denied_at.erase(assignment.endpoint);
  if (belief.confirmed != assignment.endpoint) {
    belief.confirmed.clear();
    belief.failing_since.reset();
  }
}

void PrimaryView::OnConfirmed(Time now,
                              const std::string& group,
                              const std::string& endpoint) {
  Belief& belief = beliefs_[group];
  belief.confirmed = endpoint;
  belief.contacted = endpoint;
  belief.denied_at.erase(endpoint);
  belief.success_at = now;
  belief.failing_since.reset();
}

void PrimaryView::OnDenied(Time now,
                           const std::string& group,
                           const std::string& endpoint) {
  Belief& belief = beliefs_[group];
  belief.denied_at[endpoint] = now;
  if (belief.confirmed == endpoint)
    belief.confirmed.clear();
}

void PrimaryView::OnUnreachable(Time now,
                                const std::string& group,
                                const std::string& endpoint) {
  Belief& belief = beliefs_[group];
  if (belief.contacted != endpoint) {
    belief.contacted = endpoint;
    belief.success_at.reset();
    belief.failing_since.reset();
  }
  if (!belief.failing_since)
    belief.failing_since = now;
}

bool PrimaryView::IsDenied(Time now,
                           const Belief& belief,
                           const std::string& endpoint) const {
  const auto it = belief.denied_at.find(endpoint);
  if (it == belief.denied_at.end())
    return false;
  const auto* entry = directory_->Find(endpoint);
  if (entry != nullptr && entry->record.primary &&
      entry->changed_at > it->second)
    return false;
  return now < it->second + kDenialLasts;
}

std::string PrimaryView::PrimaryOf(Time now, const std::string& group) const {
  const auto it = beliefs_.find(group);
  static const Belief none;
  const Belief& belief = it == beliefs_.end() ? none : it->second;
  const auto usable = [&](const std::string& endpoint) {
    if (endpoint.empty() || IsDenied(now, belief, endpoint))
      return false;
    const auto* entry = directory_->Find(endpoint);
    return entry != nullptr && !entry->record.gone &&
           entry->record.group == group;
  };
  if (usable(belief.confirmed))
    return belief.confirmed;
  if (usable(belief.assigned) && belief.denied_at.count(belief.assigned) == 0)
    return belief.assigned;
  const routing::EndpointDirectory::Entry* newest = nullptr;
  for (const auto* member : directory_->MembersOf(group)) {
    if (!member->record.primary || !usable(member->record.endpoint))
      continue;
    if (newest == nullptr || member->changed_at > newest->changed_at)
      newest = member;
  }
  if (newest != nullptr)
    return newest->record.endpoint;
  return usable(belief.assigned) ? belief.assigned : "";
}

std::vector<messages::PrimaryContact> PrimaryView::Contacts(Time now) const {
  const auto milliseconds = [](Duration duration) {
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
  };
  std::vector<messages::PrimaryContact> contacts;
  for (const auto& [group, belief] : beliefs_) {
    if (belief.contacted.empty())
      continue;
    messages::PrimaryContact contact;
    contact.group = group;
    contact.endpoint = belief.contacted;
    contact.success_age_ms =
        belief.success_at ? milliseconds(now - *belief.success_at) : -1;
    contact.failing_ms = belief.failing_since
                             ? milliseconds(now - *belief.failing_since) + 1
                             : 0;
    contacts.push_back(contact);
  }
  return contacts;
}

}  // namespace goldcrest::statements
