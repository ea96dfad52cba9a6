// The survey of a group's positions before a promotion.

#include <algorithm>
#include <chrono>
#include <tuple>

#include "goldcrest/fleet/failover_planner.h"

namespace goldcrest::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Duration kSurveyTimeout = milliseconds(400);

// Interval at which endpoints are asked again that have not told a position.
constexpr Duration kSurveyProbeInterval = milliseconds(100);

// Longer than a round trip and the time that entries wait for the commits that
// are under way.
constexpr Duration kHoldTimeout = milliseconds(400);

// Much shorter than the time after which a hold lapses at an entry.
constexpr Duration kHoldInterval = milliseconds(500);

// Size of the range of hold numbers of one term.
constexpr std::int64_t kMaxHoldsPerTerm = 100'000;

// How long an endpoint that is gone counts as silent if no primary has
// confirmed a position since. A successor at its address has its log by then.
constexpr Duration kSuccessorTimeout = std::chrono::seconds(15);

// A database ends within this time after it has deregistered.
constexpr Duration kDepartureTime = milliseconds(500);

// After this many rounds a draining endpoint is promoted if it is ahead of
// those that stay, which have not caught up.
constexpr int kMaxCatchUpRounds = 8;

}  // namespace

void FailoverPlanner::BeginSurvey(Time now,
                                  const std::string& name,
                                  Group& group,
                                  const std::string& cause) {
  hooks_.log_decision("survey", name, group.primary, cause);
  group.cause = cause;
  group.holders.clear();
  group.rounds = 0;
  group.reported_positions.reset();
  group.disproved.clear();
  ContinueSurvey(now, name, group);
}

// Asks all holders again.
void FailoverPlanner::ContinueSurvey(Time now,
                                     const std::string& name,
                                     Group& group) {
  ++group.rounds;
  group.live_holders.clear();
  group.positions.clear();
  group.unreachable.clear();
  group.undetermined.clear();
  group.fenced.clear();
  group.candidate.clear();
  EnterPhase(now, group, Phase::kSurveying);
  AddHolders(now, name, group);
  ProbeHolders(now, group);
}

// Holders are added only: one that falls silent during the survey may be the
// only one that holds a commit. The position that one told before it left may
// not have been its last.
void FailoverPlanner::AddHolders(Time now,
                                 const std::string& name,
                                 Group& group) const {
  const bool counts_draining = group.sync_replicas > 0;
  std::set<std::string> addresses;
  for (const auto* member : directory_->MembersOf(name)) {
    addresses.insert(member->record.address);
    if (member->record.endpoint == group.primary ||
        (!counts_draining && IsLeaving(*member)))
      continue;
    group.holders.insert(member->record.endpoint);
    group.live_holders.insert(member->record.endpoint);
  }
  if (!counts_draining)
    return;
  for (const auto* member : directory_->DeparturesOf(name)) {
    const std::string& endpoint = member->record.endpoint;
    if (endpoint != group.primary &&
        (group.departures.count(endpoint) > 0 ||
         now - member->changed_at < kSuccessorTimeout))
      group.holders.insert(endpoint);
  }
  const auto has_left = [&](const std::string& endpoint) {
    const auto* entry = directory_->Find(endpoint);
    return entry != nullptr && entry->record.gone;
  };
  std::erase_if(group.positions,
                [&](const auto& item) { return has_left(item.first); });
  const auto is_covered = [&](const std::string& endpoint) {
    const auto departure = group.departures.find(endpoint);
    return departure != group.departures.end() &&
           std::ranges::any_of(group.positions, [&](const auto& item) {
             return departure->second.position <= item.second.position;
           });
  };
  std::erase_if(group.holders, [&](const std::string& endpoint) {
    return has_left(endpoint) &&
           (is_covered(endpoint) ||
            addresses.count(directory_->Find(endpoint)->record.address) > 0);
  });
}

// Called with each position of a primary that leads.
void FailoverPlanner::NoteDepartures(const std::string& name,
                                     Group& group,
                                     const ProbeResult& result) const {
  if (group.sync_replicas == 0 || !result.position)
    return;
  for (const auto* entry : directory_->DeparturesOf(name)) {
    if (result.asked_at >= entry->changed_at + kDepartureTime)
      group.departures.try_emplace(entry->record.endpoint, result);
  }
}

std::size_t FailoverPlanner::PositionsNeeded(const Group& group) const {
  if (group.sync_replicas == 0)
    return 0;
  const int needed =
      static_cast<int>(group.holders.size()) - group.sync_replicas + 1;
  return std::max(1, needed);
}

void FailoverPlanner::ProbeHolders(Time now, Group& group) {
  group.next_probe = now + kSurveyProbeInterval;
  for (const std::string& endpoint : group.holders) {
    const auto* entry = directory_->Find(endpoint);
    if (entry != nullptr && !entry->record.gone &&
        group.positions.count(endpoint) == 0)
      hooks_.probe(*entry, ProbePurpose::kPosition);
  }
}

// Asks the endpoints that call themselves primary whether one leads.
void FailoverPlanner::ProbeClaimants(const std::string& name, Group& group) {
  for (const auto* member : directory_->MembersOf(name)) {
    if (!IsLeaving(*member) &&
        (member->record.primary || member->record.endpoint == group.primary))
      hooks_.probe(*member, ProbePurpose::kLeadership);
  }
}

std::string FailoverPlanner::ChooseCandidate(const std::string& name,
                                             const Group& group) const {
  const auto* primary = directory_->Find(group.primary);
  const bool primary_serves =
      primary != nullptr && !primary->record.gone && IsLeaving(*primary);
  // One that stays catches up with a primary that still serves.
  const bool prefers_staying =
      primary_serves && group.rounds <= kMaxCatchUpRounds;
  std::string best;
  std::tuple<bool, std::optional<LogPosition>, bool> best_rank;
  for (const auto* member : directory_->MembersOf(name)) {
    const std::string& endpoint = member->record.endpoint;
    const auto it = group.positions.find(endpoint);
    if (it == group.positions.end() || group.refused.count(endpoint) > 0 ||
        IsEvacuated(*member))
      continue;
    const bool stays = !member->record.draining;
    const std::tuple rank(prefers_staying && stays, it->second.position, stays);
    if (!best.empty() && rank <= best_rank)
      continue;
    best = endpoint;
    best_rank = rank;
  }
  if (!best.empty() || group.sync_replicas > 0)
    return best;
  const ProbeResult* highest = nullptr;
  for (const auto& [endpoint, result] : group.undetermined) {
    const auto* entry = directory_->Find(endpoint);
    if (entry == nullptr || IsEvacuated(*entry) ||
        group.refused.count(endpoint) > 0 ||
        (highest != nullptr && result.position <= highest->position))
      continue;
    best = endpoint;
    highest = &result;
  }
  return best;
}

void FailoverPlanner::Survey(Time now, const std::string& name, Group& group) {
  AddHolders(now, name, group);
  const std::size_t needed = PositionsNeeded(group);
  const bool complete =
      group.positions.size() + group.unreachable.size() >= group.holders.size();
  const bool timed_out = now - group.phase_since >= kSurveyTimeout;
  if ((!complete && !timed_out) || group.positions.size() < needed) {
    if (now < group.next_probe)
      return;
    ProbeHolders(now, group);
    if (!timed_out)
      return;
    ProbeClaimants(name, group);
    if (group.positions.size() != group.reported_positions) {
      group.reported_positions = group.positions.size();
      hooks_.log_decision("positions_missing", name, group.primary,
                          std::to_string(group.positions.size()) + " of " +
                              std::to_string(group.holders.size()) +
                              " known, " + std::to_string(needed) + " needed");
    }
    return;
  }
  group.candidate = ChooseCandidate(name, group);
  group.refused.clear();
  if (!group.candidate.empty()) {
    if (group.sync_replicas > 0)
      return BeginHold(now, name, group);
    return Order(now, name, group);
  }
  hooks_.log_decision("no_candidate", name, "", group.cause);
  group.failing_since.reset();
  group.failures = 0;
  EnterPhase(now, group, Phase::kMonitoring);
}

void FailoverPlanner::BeginHold(Time now,
                                const std::string& name,
                                Group& group) {
  messages::WriteHold hold;
  hold.group = name;
  hold.endpoint = group.candidate;
  hold.number = term_ * kMaxHoldsPerTerm + ++issued_holds_;
  hold.active = true;
  group.hold = hold;
  group.next_hold_at = now;
  EnterPhase(now, group, Phase::kHolding);
  RepeatHold(now, group);
  Hold(now, name, group);
}

// The fences are asked for once no commit is under way, so that the positions
// told with them are final. An entry that does not answer may be frozen or cut
// off; then the fences alone have to do.
void FailoverPlanner::Hold(Time now, const std::string& name, Group& group) {
  if (!hooks_.are_writes_held(*group.hold)) {
    if (now - group.phase_since < kHoldTimeout)
      return;
    hooks_.log_decision("writes_not_held", name, group.candidate,
                        "an entry has not confirmed");
  }
  EnterPhase(now, group, Phase::kFencing);
  Fence(now, name, group);
}

void FailoverPlanner::RepeatHold(Time now, Group& group) {
  if (!group.hold || now < group.next_hold_at)
    return;
  group.next_hold_at = now + kHoldInterval;
  hooks_.hold_writes(*group.hold);
}

void FailoverPlanner::LiftHold(Group& group) {
  if (!group.hold)
    return;
  group.hold->active = false;
  hooks_.hold_writes(*group.hold);
  group.hold.reset();
}

// Fences the other holders. Another round starts when one of them has a
// position that the candidate had not reached.
void FailoverPlanner::Fence(Time now, const std::string& name, Group& group) {
  AddHolders(now, name, group);
  const auto found = group.positions.find(group.candidate);
  // One that has told its position may have left since.
  if (found == group.positions.end() ||
      group.positions.size() < PositionsNeeded(group))
    return ContinueSurvey(now, name, group);
  const ProbeResult& candidate = found->second;
  std::int64_t newest_term = 0;
  bool behind = false;
  bool behind_fenced = false;
  for (const auto& [endpoint, result] : group.positions) {
    newest_term =
        std::max({newest_term, result.position->term, result.newest_term});
    if (result.position <= candidate.position)
      continue;
    behind = true;
    behind_fenced |= group.fenced.count(endpoint) > 0;
  }
  if (behind_fenced)
    return ContinueSurvey(now, name, group);
  // One that has left counts: it may have received what another one, which
  // still receives, only needs to receive as well.
  const std::size_t receivers =
      std::max(group.holders.size(), group.live_holders.size());
  if (group.fenced.size() + group.sync_replicas >= receivers)
    return behind ? ContinueSurvey(now, name, group) : Order(now, name, group);
  if (now - group.phase_since >= kSurveyTimeout)
    return ContinueSurvey(now, name, group);
  if (now < group.next_probe)
    return;
  group.next_probe = now + kSurveyProbeInterval;
  for (const std::string& endpoint : group.holders) {
    const auto* entry = directory_->Find(endpoint);
    if (endpoint == group.candidate || group.fenced.count(endpoint) > 0 ||
        entry == nullptr || entry->record.gone)
      continue;
    group.maybe_fenced.insert(endpoint);
    hooks_.fence(*entry, newest_term + group.rounds);
  }
}

void FailoverPlanner::OnSurveyProbe(Time now,
                                    const std::string& name,
                                    Group& group,
                                    const std::string& endpoint,
                                    const ProbeResult& result) {
  // A position from before the round may lack a commit acknowledged since.
  if (result.asked_at < group.phase_since)
    return;
  const bool answered =
      result.kind == ProbeResult::Kind::kFollows && result.position;
  if (result.purpose == ProbePurpose::kLeadership) {
    const auto* entry = directory_->Find(endpoint);
    if (result.kind != ProbeResult::Kind::kLeads || entry == nullptr ||
        IsLeaving(*entry) || group.sync_replicas == 0)
      return;
    MonitorEndpoint(now, name, group, endpoint);
    group.has_led = true;
    group.leads_at = now;
    return EnterPhase(now, group, Phase::kMonitoring);
  }
  if (group.holders.count(endpoint) == 0)
    return;
  if (group.phase == Phase::kSurveying &&
      result.purpose == ProbePurpose::kPosition) {
    group.unreachable.erase(endpoint);
    if (answered)
      group.positions[endpoint] = result;
    else if (result.kind == ProbeResult::Kind::kUnreachable)
      group.unreachable.insert(endpoint);
    else
      group.undetermined[endpoint] = result;
    return Survey(now, name, group);
  }
  if (group.phase != Phase::kFencing || result.purpose != ProbePurpose::kFence)
    return;
  if (answered)
    group.positions[endpoint] = result;
  else if (result.kind != ProbeResult::Kind::kUnsupported)
    return;
  group.fenced.insert(endpoint);
  Fence(now, name, group);
}

// Called while a primary leads. An order may still be carried out that relies
// on the fences, until its time has passed.
void FailoverPlanner::Unfence(Time now, Group& group) {
  if (group.sync_replicas == 0 || !group.has_led || now < group.unfence_at)
    return;
  for (const std::string& endpoint : group.maybe_fenced) {
    const auto* entry = directory_->Find(endpoint);
    if (entry != nullptr && !entry->record.gone)
      hooks_.probe(*entry, ProbePurpose::kUnfence);
  }
  std::erase_if(group.maybe_fenced, [&](const std::string& endpoint) {
    const auto* entry = directory_->Find(endpoint);
    return entry == nullptr || entry->record.gone;
  });
}

void FailoverPlanner::Order(Time now, const std::string& name, Group& group) {
  std::string position = "unknown";
  if (const auto it = group.positions.find(group.candidate);
      it != group.positions.end())
    position = it->second.position->ToText();
  hooks_.log_decision("promotion_ordered", name, group.candidate,
                      group.cause + ", position " + position);
  messages::PrimaryAssignment order;
  order.group = name;
  order.endpoint = group.candidate;
  order.order = NextOrder();
  group.order = order;
  group.send_count = 0;
  if (group.sync_replicas == 0)
    group.next_send_at = now;
  EnterPhase(now, group, Phase::kOrdering);
  SendOrder(now, name, group);
}

}  // namespace goldcrest::fleet
