#include <algorithm>
#include <tuple>

#include "goldcrest/control/leader.h"
#include "internal/pending_key.h"

namespace goldcrest::control {
namespace {

// Limits the journal entries that are logged for one report, so that a single
// instance cannot fill the log.
constexpr std::size_t kMaxJournalEntriesPerReport = 20;

}  // namespace

void Leader::ProposeRegistrations(const messages::EntryReport& report,
                                  std::int64_t wall_ms) {
  const std::string& name = report.instance.instance;
  const auto registered = state_->instances().find(name);
  const bool known = registered != state_->instances().end() &&
                     registered->second == report.instance;
  if (!known && !report.stopped) {
    messages::Command command;
    command.wall_ms = wall_ms;
    command.__set_register_instance(report.instance);
    Propose(std::move(command), kInstanceKeyPrefix, name);
  }
  for (const messages::Announcement& announcement : report.announcements) {
    const messages::EndpointInfo& info = announcement.info;
    const auto it = state_->endpoints().find(info.endpoint);
    if (it != state_->endpoints().end() &&
        (it->second == info || it->second.incarnation > info.incarnation))
      continue;
    messages::Command command;
    command.wall_ms = wall_ms;
    command.__set_register_endpoint(info);
    Propose(std::move(command), kEndpointKeyPrefix, info.endpoint);
  }
}

void Leader::ProposeJournalEntries(const messages::EntryReport& report) {
  std::size_t proposed_entries = 0;
  for (const messages::JournalEntry& entry : report.journal) {
    if (++proposed_entries > kMaxJournalEntriesPerReport)
      return;
    messages::Command command;
    command.wall_ms = entry.wall_ms;
    command.__set_note(entry);
    effects_.proposals.push_back({next_proposal_++, std::move(command)});
  }
}

void Leader::GrantLeases(const messages::EntryReport& report,
                         messages::ControlUpdate* update,
                         Time now) {
  const std::string& name = report.instance.instance;
  // The failure of one instance should not stop both a group's coordinator and
  // the leader that assigns the next one, so the leader hands its own groups
  // over if another instance can coordinate them.
  const bool has_other_candidate =
      now - leader_since_ >= options_.report_timeout &&
      std::ranges::any_of(state_->instances(), [&](const auto& entry) {
        return entry.first != self_ && IsCoordinatorCandidate(entry.first, now);
      });
  std::set<std::string> resigned;
  for (const messages::CoordinatorReport& coordinator : report.coordinators) {
    if (coordinator.resign)
      resigned.insert(coordinator.group);
  }
  for (const std::string& group_name : state_->GroupsCoordinatedBy(name)) {
    if (resigned.contains(group_name)) {
      coordinator_lease_until_[group_name] = now;
      continue;
    }
    // The log may already contain the assignment of another coordinator.
    if (pending_keys_.contains(std::string(kCoordinatorKeyPrefix) + group_name))
      continue;
    messages::CoordinatorLease lease;
    lease.group = group_name;
    lease.epoch = state_->groups().at(group_name).coordinator_epoch;
    lease.lease_ms = options_.coordinator_lease.count();
    update->leases.push_back(lease);
    coordinator_lease_until_[group_name] =
        now + WithDrift(options_.coordinator_lease);
    if (name == self_ && has_other_candidate)
      update->hand_over.push_back(group_name);
  }
}

void Leader::AssignCoordinators(std::int64_t wall_ms, Time now) {
  for (const auto& [name, group] : state_->groups()) {
    if (now < coordinator_lease_until_[name])
      continue;
    const auto chosen = ChooseCoordinator(group, now);
    if (!chosen)
      continue;
    messages::AssignCoordinator assign;
    assign.group = name;
    assign.coordinator = *chosen;
    assign.epoch = group.coordinator_epoch + 1;
    assign.cause = group.coordinator.empty()
                       ? "group has no coordinator"
                       : "lease of " + group.coordinator + " lapsed";
    messages::Command command;
    command.wall_ms = wall_ms;
    command.__set_assign_coordinator(assign);
    Propose(std::move(command), kCoordinatorKeyPrefix, name);
  }
}

bool Leader::IsCoordinatorCandidate(const std::string& instance,
                                    Time now) const {
  const auto view = instance_views_.find(instance);
  return view != instance_views_.end() && view->second.last_report &&
         !view->second.draining &&
         now - *view->second.last_report <= options_.report_timeout;
}

std::optional<std::string> Leader::ChooseCoordinator(
    const messages::GroupState& group,
    Time now) const {
  std::map<std::string, int> load;
  for (const auto& [name, other] : state_->groups())
    ++load[other.coordinator];
  // Pending assignments are not part of the state yet.
  for (const std::string& key : pending_keys_) {
    if (key.starts_with(kCoordinatorKeyPrefix))
      ++load[key];
  }

  const auto primary = state_->endpoints().find(group.primary);
  const std::string zone =
      primary == state_->endpoints().end() ? "" : primary->second.zone;
  std::optional<std::string> best;
  // Lower is better: the leader ranks last (see GrantLeases()), then the
  // instance with fewer groups, then one in the availability zone of the
  // primary.
  std::tuple<bool, int, bool> best_rank;
  for (const auto& [name, info] : state_->instances()) {
    if (!IsCoordinatorCandidate(name, now))
      continue;
    // Right after the election the leader's own report is often the only one.
    if (name == self_ && now - leader_since_ < options_.report_timeout)
      continue;
    const std::tuple rank(name == self_, load[name], info.zone != zone);
    if (best && rank >= best_rank)
      continue;
    best = name;
    best_rank = rank;
  }
  return best;
}

void Leader::RemoveInactiveInstances(std::int64_t wall_ms, Time now) {
  for (const auto& [name, info] : state_->instances()) {
    const auto view = instance_views_.find(name);
    Time last = leader_since_;
    if (view != instance_views_.end() && view->second.last_report)
      last = *view->second.last_report;
    if (now - last < options_.removal_timeout)
      continue;
    messages::Command command;
    command.wall_ms = wall_ms;
    command.__set_remove_instance(name);
    Propose(std::move(command), kRemoveKeyPrefix, name);
  }
}

}  // namespace goldcrest::control
