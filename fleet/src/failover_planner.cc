#include "goldcrest/fleet/failover_planner.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace goldcrest::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Duration kProbeInterval = milliseconds(250);
constexpr Duration kFailingProbeInterval = milliseconds(100);

// A primary that the leader has failed to reach for this long is lost, unless
// an entry has reached it during that time. Longer than the retransmission of a
// packet takes.
constexpr Duration kLostPrimaryTimeout = milliseconds(450);
constexpr int kLostPrimaryMinFailures = 2;

// A primary that most entries can't reach is replaced though some entries reach
// it. The timeout is longer, since the promotion loses commits that are not
// replicated yet.
constexpr Duration kMostEntriesFailTimeout = milliseconds(1200);
constexpr int kMostEntriesFailRatio = 2;

// Contacts that an entry reported longer ago than this are ignored.
constexpr Duration kMaxReportAge = milliseconds(1500);

// How long the leader waits for the heartbeat of a primary, from its election
// or from when the group was added, before it counts the missing primary as
// lost.
constexpr Duration kMissingPrimaryTimeout = milliseconds(2500);

constexpr Duration kPromotionResendInterval = milliseconds(400);
constexpr int kMaxPromotionSends = 4;
constexpr Duration kConfirmationTimeout = milliseconds(2500);
constexpr Duration kConfirmationProbeInterval = milliseconds(60);

// An order that got no answer may be carried out this much later.
constexpr Duration kLateOrderTimeout = std::chrono::seconds(13);

// Size of the range of order numbers of one term. Each promotion order gets a
// higher number, so that a delayed call for an earlier order is refused.
constexpr std::int64_t kMaxOrdersPerTerm = 100'000;

}  // namespace

FailoverPlanner::FailoverPlanner(Time now,
                                 std::int64_t term,
                                 const routing::EndpointDirectory* directory,
                                 FailoverHooks hooks)
    : term_(term),
      directory_(directory),
      hooks_(std::move(hooks)),
      started_at_(now) {}

void FailoverPlanner::SetGroups(
    Time now,
    const std::map<std::string, int>& sync_replicas) {
  std::erase_if(groups_, [&](const auto& item) {
    return sync_replicas.count(item.first) == 0;
  });
  for (const auto& [name, replicas] : sync_replicas) {
    const auto [it, inserted] = groups_.try_emplace(name);
    it->second.sync_replicas = replicas;
    if (!inserted)
      continue;
    it->second.phase_since = now;
    // An earlier leader may have fenced some.
    for (const auto* member : directory_->MembersOf(name))
      it->second.maybe_fenced.insert(member->record.endpoint);
    it->second.unfence_at = now + kLateOrderTimeout;
  }
}

void FailoverPlanner::SetEvacuatedZones(std::set<std::string> zones) {
  evacuated_zones_ = std::move(zones);
}

bool FailoverPlanner::IsEvacuated(
    const routing::EndpointDirectory::Entry& entry) const {
  return evacuated_zones_.count(entry.record.zone) > 0;
}

bool FailoverPlanner::IsLeaving(
    const routing::EndpointDirectory::Entry& entry) const {
  return entry.record.draining || IsEvacuated(entry);
}

// True if a member other than the primary may be promoted.
bool FailoverPlanner::IsReplaceable(const std::string& name,
                                    const Group& group) const {
  return std::ranges::any_of(
      directory_->MembersOf(name), [&](const auto* member) {
        return member->record.endpoint != group.primary &&
               !IsEvacuated(*member);
      });
}

void FailoverPlanner::Tick(Time now) {
  for (auto& [name, group] : groups_) {
    RepeatHold(now, group);
    switch (group.phase) {
      case Phase::kMonitoring:
        Monitor(now, name, group);
        break;
      case Phase::kSurveying:
        Survey(now, name, group);
        break;
      case Phase::kHolding:
        Hold(now, name, group);
        break;
      case Phase::kFencing:
        Fence(now, name, group);
        break;
      case Phase::kOrdering:
        SendOrder(now, name, group);
        break;
      case Phase::kConfirming:
        Confirm(now, name, group);
        break;
    }
  }
}

void FailoverPlanner::EnterPhase(Time now, Group& group, Phase phase) {
  if (phase == Phase::kMonitoring || phase == Phase::kSurveying)
    LiftHold(group);
  group.phase = phase;
  group.phase_since = now;
  group.next_probe = now;
}

void FailoverPlanner::MonitorEndpoint(Time now,
                                      const std::string& name,
                                      Group& group,
                                      const std::string& endpoint) {
  hooks_.log_decision("primary_seen", name, endpoint, "heartbeat");
  group.primary = endpoint;
  group.has_led = false;
  group.failing_since.reset();
  group.failures = 0;
  group.phase_since = now;
  group.next_probe = now;
}

std::string FailoverPlanner::FindPrimary(const std::string& name,
                                         const Group& group) const {
  const auto is_disproved =
      [&](const routing::EndpointDirectory::Entry* entry) {
        return group.disproved.count(entry->record.endpoint) > 0;
      };
  const routing::EndpointDirectory::Entry* newest = nullptr;
  for (const auto* member : directory_->MembersOf(name)) {
    if (!member->record.primary)
      continue;
    if (group.assigned && member->record.endpoint == group.assigned->endpoint)
      return member->record.endpoint;
    if (newest == nullptr ||
        std::pair(!is_disproved(member), member->changed_at) >
            std::pair(!is_disproved(newest), newest->changed_at))
      newest = member;
  }
  return newest == nullptr ? "" : newest->record.endpoint;
}

void FailoverPlanner::Monitor(Time now, const std::string& name, Group& group) {
  const auto* known = directory_->Find(group.primary);
  const bool present = known != nullptr && !known->record.gone;
  // Its heartbeat tells of the promotion up to a second later, and so does that
  // of the replaced primary. Its probes tell when it leads no more.
  const bool promoted =
      group.assigned && group.assigned->endpoint == group.primary;
  if (!present || (!known->record.primary && !(promoted && group.has_led))) {
    const std::string found = FindPrimary(name, group);
    // After a promotion, the record of the former primary still names it until
    // its next heartbeat.
    const bool outdated = known != nullptr && !known->record.gone &&
                          group.leads_at && group.has_led && !found.empty() &&
                          directory_->Find(found)->changed_at < *group.leads_at;
    if (!found.empty() && found != group.primary && !outdated)
      MonitorEndpoint(now, name, group, found);
  }
  const auto* primary = directory_->Find(group.primary);
  if (primary == nullptr || primary->record.gone) {
    if (!directory_->MembersOf(name).empty() &&
        now - std::max(group.phase_since, started_at_) >=
            kMissingPrimaryTimeout)
      BeginSurvey(now, name, group, "no endpoint leads");
    return;
  }
  if (primary->record.draining)
    return BeginSurvey(now, name, group, "primary drains");
  if (IsEvacuated(*primary)) {
    // Without a successor there is nothing to decide until a member joins.
    if (IsReplaceable(name, group))
      BeginSurvey(now, name, group, "availability zone evacuated");
    return;
  }
  if (IsLost(now, group)) {
    if (!group.has_led) {
      // Another writer may have named it the primary.
      group.disproved.insert(group.primary);
      const std::string found = FindPrimary(name, group);
      if (!found.empty() && group.disproved.count(found) == 0)
        return MonitorEndpoint(now, name, group, found);
    }
    return BeginSurvey(now, name, group, "primary unreachable");
  }
  if (now < group.next_probe)
    return;
  group.next_probe =
      now + (group.failing_since ? kFailingProbeInterval : kProbeInterval);
  hooks_.probe(*primary, ProbePurpose::kLeadership);
  Unfence(now, group);
}

bool FailoverPlanner::IsLost(Time now, const Group& group) const {
  int entries_reaching = 0;
  int entries_failing = 0;
  std::optional<Time> reached_at;
  std::optional<Time> failing_since;
  for (const auto& [entry, contact] : group.contacts) {
    if (contact.endpoint != group.primary ||
        now - contact.reported_at > kMaxReportAge)
      continue;
    if (contact.failing_since) {
      ++entries_failing;
      if (!failing_since || *contact.failing_since < *failing_since)
        failing_since = contact.failing_since;
      continue;
    }
    if (!contact.success_at || now - *contact.success_at > kMaxReportAge)
      continue;
    ++entries_reaching;
    reached_at = std::max(reached_at.value_or(Time()), *contact.success_at);
  }
  const bool leader_fails = group.failing_since &&
                            group.failures >= kLostPrimaryMinFailures &&
                            now - *group.failing_since >= kLostPrimaryTimeout;
  if (leader_fails && (!reached_at || *reached_at < *group.failing_since))
    return true;
  return entries_failing >
             kMostEntriesFailRatio *
                 (entries_reaching + (group.failing_since ? 0 : 1)) &&
         now - *failing_since >= kMostEntriesFailTimeout;
}

std::int64_t FailoverPlanner::NextOrder() {
  return term_ * kMaxOrdersPerTerm + ++issued_orders_;
}

void FailoverPlanner::SendOrder(Time now,
                                const std::string& name,
                                Group& group) {
  if (now < group.next_send_at)
    return;
  if (const auto* candidate = directory_->Find(group.order->endpoint);
      candidate != nullptr && IsEvacuated(*candidate))
    return BeginSurvey(now, name, group, "availability zone evacuated");
  if (group.send_count >= kMaxPromotionSends)
    return BeginSurvey(now, name, group, "no answer to the promotion");
  ++group.send_count;
  group.next_send_at = now + kPromotionResendInterval;
  group.unfence_at = now + kLateOrderTimeout;
  hooks_.promote(*group.order);
}

void FailoverPlanner::OnPromotion(Time now,
                                  const messages::PrimaryAssignment& assignment,
                                  PromotionResult result) {
  const auto it = groups_.find(assignment.group);
  if (it == groups_.end())
    return;
  Group& group = it->second;
  if (group.phase != Phase::kOrdering || !group.order ||
      group.order->order != assignment.order)
    return;
  if (result == PromotionResult::kUnanswered)
    return;  // SendOrder() repeats it later under the same number.
  if (result == PromotionResult::kRefused) {
    // Without it, the others may lack a commit.
    if (group.sync_replicas == 0)
      group.refused.insert(assignment.endpoint);
    return BeginSurvey(now, it->first, group, "promotion refused");
  }
  group.assigned = assignment;
  group.primary = assignment.endpoint;
  group.has_led = false;
  group.failing_since.reset();
  group.failures = 0;
  group.contacts.clear();
  EnterPhase(now, group, Phase::kConfirming);
  hooks_.assigned(assignment);
}

void FailoverPlanner::Confirm(Time now, const std::string& name, Group& group) {
  const auto* primary = directory_->Find(group.primary);
  if (primary == nullptr || now - group.phase_since >= kConfirmationTimeout)
    return BeginSurvey(now, name, group, "promoted endpoint does not lead");
  if (now < group.next_probe)
    return;
  group.next_probe = now + kConfirmationProbeInterval;
  hooks_.probe(*primary, ProbePurpose::kLeadership);
}

void FailoverPlanner::OnProbe(Time now,
                              const std::string& name,
                              const std::string& endpoint,
                              const ProbeResult& result) {
  const auto it = groups_.find(name);
  if (it == groups_.end())
    return;
  Group& group = it->second;
  if (result.purpose == ProbePurpose::kUnfence) {
    if (result.kind == ProbeResult::Kind::kFollows ||
        result.kind == ProbeResult::Kind::kUnsupported)
      group.maybe_fenced.erase(endpoint);
    return;
  }
  if (group.phase == Phase::kSurveying || group.phase == Phase::kHolding ||
      group.phase == Phase::kFencing)
    return OnSurveyProbe(now, name, group, endpoint, result);
  if (endpoint != group.primary || result.purpose != ProbePurpose::kLeadership)
    return;
  switch (result.kind) {
    case ProbeResult::Kind::kLeads:
      NoteDepartures(name, group, result);
      group.leads_at = now;
      group.has_led = true;
      group.disproved.erase(endpoint);
      group.failing_since.reset();
      group.failures = 0;
      if (group.phase != Phase::kConfirming)
        return;
      hooks_.log_decision("promotion_in_force", name, endpoint, group.cause);
      return EnterPhase(now, group, Phase::kMonitoring);
    case ProbeResult::Kind::kFollows:
      if (group.phase != Phase::kMonitoring)
        return;
      // A heartbeat may have named another endpoint as the primary.
      group.failing_since.reset();
      group.failures = 0;
      if (!group.has_led)
        group.disproved.insert(endpoint);
      if (const std::string found = FindPrimary(name, group); found != endpoint)
        MonitorEndpoint(now, name, group, found);
      else if (group.leads_at && now - *group.leads_at > kMissingPrimaryTimeout)
        BeginSurvey(now, name, group, "no endpoint leads");
      return;
    case ProbeResult::Kind::kUndetermined:
    case ProbeResult::Kind::kUnsupported:
      group.failing_since.reset();
      group.failures = 0;
      return;
    case ProbeResult::Kind::kUnreachable:
      if (!group.failing_since)
        group.failing_since = now;
      ++group.failures;
      if (group.phase == Phase::kMonitoring)
        hooks_.request_contacts();
      return;
  }
}

void FailoverPlanner::OnContacts(
    Time now,
    const std::string& entry,
    const std::vector<messages::PrimaryContact>& contacts) {
  for (const messages::PrimaryContact& reported : contacts) {
    const auto it = groups_.find(reported.group);
    if (it == groups_.end())
      continue;
    EntryContact& contact = it->second.contacts[entry];
    contact = EntryContact{reported.endpoint, std::nullopt, std::nullopt, now};
    if (reported.success_age_ms >= 0)
      contact.success_at = now - milliseconds(reported.success_age_ms);
    if (reported.failing_ms > 0)
      contact.failing_since = now - milliseconds(reported.failing_ms);
  }
}

std::vector<messages::WriteHold> FailoverPlanner::WriteHolds() const {
  std::vector<messages::WriteHold> holds;
  for (const auto& [name, group] : groups_) {
    if (group.hold)
      holds.push_back(*group.hold);
  }
  return holds;
}

std::vector<messages::PrimaryAssignment> FailoverPlanner::Assignments() const {
  std::vector<messages::PrimaryAssignment> assignments;
  for (const auto& [name, group] : groups_) {
    if (group.assigned)
      assignments.push_back(*group.assigned);
  }
  return assignments;
}

}  // namespace goldcrest::fleet
