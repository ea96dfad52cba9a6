#include "goldcrest/control/leader.h"

#include <algorithm>
#include <iterator>

#include "internal/pending_key.h"

namespace goldcrest::control {
namespace {

std::map<std::string, std::int64_t> IncarnationsOf(const ControlState& state) {
  std::map<std::string, std::int64_t> incarnations;
  for (const auto& [name, info] : state.instances())
    incarnations[name] = info.incarnation;
  return incarnations;
}

}  // namespace

Leader::Leader(const ControlState* state,
               std::string self,
               std::int64_t term,
               LeaderOptions options,
               std::function<std::string()> random_secret,
               Time now)
    : state_(state),
      self_(std::move(self)),
      term_(term),
      options_(options),
      random_secret_(std::move(random_secret)),
      leader_since_(now),
      owner_(term, now, IncarnationsOf(*state)) {
  // The previous leader may have granted leases until now.
  for (const auto& [name, group] : state_->groups())
    coordinator_lease_until_[name] =
        now + WithDrift(options_.coordinator_lease);
  RefreshLimits(now);
  AnnounceLeadership();
}

// Until an entry knows the new leader it gets no leases, and the other members
// name the new leader only when they are asked.
void Leader::AnnounceLeadership() {
  messages::PeerMessage message;
  messages::ControlUpdate update;
  update.leader_term = term_;
  update.leader = self_;
  message.__set_update(update);
  for (const auto& [name, info] : state_->instances())
    effects_.messages.emplace_back(name, message);
}

LeaderEffects Leader::OnReport(const messages::EntryReport& report, Time now) {
  const std::string& name = report.instance.instance;
  InstanceView& view = instance_views_[name];
  if (report.instance.incarnation < view.incarnation)
    return TakeEffects();
  view.incarnation = report.instance.incarnation;
  view.applied_revision = report.applied_revision;
  view.applied_groups_revision = report.applied_groups_revision;
  if (report.draining && !view.draining) {
    messages::Command command;
    messages::JournalEntry& note = command.note;
    note.wall_ms = report.wall_ms;
    note.kind = "instance_stopping";
    note.subject = name;
    note.cause = "planned stop";
    command.__isset.note = true;
    Propose(std::move(command), kNoteKeyPrefix, name);
  }
  view.draining = report.draining;
  ProposeRegistrations(report, report.wall_ms);
  ProposeJournalEntries(report);

  messages::ControlUpdate update = MakeUpdate(view);
  update.report_sequence = report.sequence;
  update.report_sent_micros = report.sent_micros;
  const auto registered = state_->instances().find(name);
  const bool is_registered = registered != state_->instances().end() &&
                             registered->second == report.instance;
  if (report.stopped) {
    owner_.Release(now, name);
    messages::Command command;
    command.__set_remove_instance(name);
    if (is_registered)
      Propose(std::move(command), kRemoveKeyPrefix, name);
    return TakeEffects();
  }
  // Only a registered instance is granted leases: a change waits for the
  // registered instances, so no other instance may serve requests.
  if (is_registered) {
    view.last_report = now;
    update.control_lease_ms = options_.control_lease.count();
    owner_.Register(name, report.instance.incarnation);
    update.shares =
        owner_.OnReport(now, name, report.instance.incarnation, report.shares);
    GrantLeases(report, &update, now);
  }
  messages::PeerMessage message;
  message.__set_update(update);
  effects_.messages.emplace_back(name, std::move(message));
  CompleteInForceWaits(now);
  return TakeEffects();
}

LeaderEffects Leader::OnPropose(const std::string& from,
                                const messages::ProposeRequest& request,
                                std::int64_t wall_ms,
                                Time now) {
  messages::Command command = request.command;
  command.wall_ms = wall_ms;
  const Requester requester{from, request.id, request.wait_in_force};
  if (command.__isset.set_primary) {
    // A coordinator whose lease has expired on the leader's side must not
    // change the primary.
    const messages::SetPrimary& set = command.set_primary;
    const auto it = state_->groups().find(set.group);
    if (it == state_->groups().end() || it->second.coordinator != from ||
        now >= coordinator_lease_until_[set.group]) {
      Respond(requester, ResultCode::kCoordinatorMoved, 0,
              "the asking instance does not coordinate the group", {});
      return TakeEffects();
    }
  }
  const std::uint64_t id = next_proposal_++;
  requesters_[id] = requester;
  effects_.proposals.push_back({id, std::move(command)});
  return TakeEffects();
}

LeaderEffects Leader::OnApplied(std::uint64_t id,
                                const ApplyResult& result,
                                Time now) {
  if (const auto it = pending_key_by_proposal_.find(id);
      it != pending_key_by_proposal_.end()) {
    // A new coordinator has the duration of one lease to request its first
    // lease. Otherwise the group would be reassigned at each tick.
    if (it->second.starts_with(kCoordinatorKeyPrefix))
      coordinator_lease_until_[it->second.substr(
          kCoordinatorKeyPrefix.size())] =
          now + WithDrift(options_.coordinator_lease);
    pending_keys_.erase(it->second);
    pending_key_by_proposal_.erase(it);
  }
  RefreshLimits(now);
  if (result.code == ResultCode::kOk)
    PushUpdates();
  const auto it = requesters_.find(id);
  if (it == requesters_.end())
    return TakeEffects();
  const Requester requester = it->second;
  requesters_.erase(it);
  if (result.code != ResultCode::kOk || !requester.wait_in_force) {
    Respond(requester, result.code, result.revision, result.message, {});
    return TakeEffects();
  }
  in_force_waits_.push_back({requester, result.revision,
                             now + options_.in_force_timeout, result.message});
  CompleteInForceWaits(now);
  return TakeEffects();
}

LeaderEffects Leader::Tick(std::int64_t wall_ms, Time now) {
  if (state_->session_secret().empty()) {
    messages::Command command;
    command.__set_session_secret(random_secret_());
    Propose(std::move(command), "session secret", "");
  }
  AssignCoordinators(wall_ms, now);
  RemoveInactiveInstances(wall_ms, now);
  CompleteInForceWaits(now);
  return TakeEffects();
}

std::vector<std::string> Leader::InstancesMissingRevision(std::int64_t revision,
                                                          Time now) const {
  std::vector<std::string> missing;
  for (const auto& [name, info] : state_->instances()) {
    if (IsLapsed(name, now))
      continue;
    const auto view = instance_views_.find(name);
    if (view != instance_views_.end() &&
        view->second.applied_revision >= revision &&
        view->second.incarnation == info.incarnation)
      continue;
    missing.push_back(name);
  }
  return missing;
}

std::vector<std::string> Leader::LapsedInstances(Time now) const {
  std::vector<std::string> lapsed;
  for (const auto& [name, info] : state_->instances()) {
    if (IsLapsed(name, now))
      lapsed.push_back(name);
  }
  return lapsed;
}

bool Leader::IsLapsed(const std::string& instance, Time now) const {
  const auto view = instance_views_.find(instance);
  Time last = leader_since_;
  if (view != instance_views_.end() && view->second.last_report)
    last = *view->second.last_report;
  return now - last > WithDrift(options_.control_lease);
}

void Leader::Propose(messages::Command command,
                     std::string_view key_prefix,
                     const std::string& name) {
  std::string pending_key = std::string(key_prefix) + name;
  if (!pending_keys_.insert(pending_key).second)
    return;
  const std::uint64_t id = next_proposal_++;
  pending_key_by_proposal_[id] = std::move(pending_key);
  effects_.proposals.push_back({id, std::move(command)});
}

void Leader::CompleteInForceWaits(Time now) {
  std::erase_if(in_force_waits_, [&](const InForceWait& wait) {
    std::vector<std::string> missing =
        InstancesMissingRevision(wait.revision, now);
    if (!missing.empty() && now < wait.deadline)
      return false;
    const bool in_force = missing.empty();
    Respond(wait.requester,
            in_force ? ResultCode::kOk : ResultCode::kNotInForce, wait.revision,
            wait.message, in_force ? LapsedInstances(now) : std::move(missing));
    return true;
  });
}

void Leader::RefreshLimits(Time now) {
  limit_refresher_.Refresh(
      state_->configuration(),
      [&](const std::string& customer, std::optional<quota::Limit> limit) {
        if (limit)
          owner_.SetLimit(now, customer, *limit);
        else
          owner_.RemoveLimit(now, customer);
      });
}

void Leader::PushUpdates() {
  for (const auto& [name, view] : instance_views_) {
    if (!view.last_report)
      continue;
    messages::PeerMessage message;
    message.__set_update(MakeUpdate(view));
    effects_.messages.emplace_back(name, std::move(message));
  }
}

messages::ControlUpdate Leader::MakeUpdate(const InstanceView& view) const {
  messages::ControlUpdate update;
  update.leader_term = term_;
  update.leader = self_;
  const policy::Configuration& configuration = state_->configuration();
  update.revision = configuration.Revision();
  if (view.applied_revision < update.revision)
    update.objects = configuration.ChangedSince(view.applied_revision);
  update.base_revision = view.applied_revision;
  update.groups_revision = state_->groups_revision();
  update.base_groups_revision = view.applied_groups_revision;
  if (view.applied_groups_revision < update.groups_revision) {
    for (const auto& [name, group] : state_->groups()) {
      if (group.revision > view.applied_groups_revision)
        update.groups.push_back(group);
    }
    for (const auto& [name, endpoint] : state_->endpoints())
      update.endpoints.push_back(endpoint);
    for (const auto& [name, info] : state_->instances())
      update.instances.push_back(info);
  }
  update.session_secret = state_->session_secret();
  return update;
}

void Leader::Respond(const Requester& requester,
                     ResultCode code,
                     std::int64_t revision,
                     const std::string& message,
                     std::vector<std::string> missing) {
  messages::ProposeResponse response;
  response.id = requester.request_id;
  response.code = ToNumber(code);
  response.revision = revision;
  response.message = message;
  response.missing = std::move(missing);
  messages::PeerMessage peer_message;
  peer_message.__set_propose_response(response);
  effects_.messages.emplace_back(requester.instance, std::move(peer_message));
}

Duration Leader::WithDrift(std::chrono::milliseconds lease) const {
  return std::chrono::duration_cast<Duration>(
      lease * (1.0 + options_.clock_drift_fraction));
}

LeaderEffects Leader::TakeEffects() {
  return std::exchange(effects_, LeaderEffects());
}

}  // namespace goldcrest::control
