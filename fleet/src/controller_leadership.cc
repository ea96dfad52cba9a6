// The tasks of the leader: limits and their reserves, holders of shares, and
// the membership.

#include <algorithm>
#include <chrono>
#include <utility>

#include "goldcrest/fleet/controller.h"

namespace goldcrest::fleet {
namespace {

constexpr Duration kMembershipInterval = std::chrono::milliseconds(200);

// An instance without a report for this long, twice the time after which its
// shares expire, is no longer registered as a holder of shares.
constexpr Duration kHolderExpiry = 2 * quota::kShareExpiry;

// The bounds of standing shares change in the log at most this often.
constexpr Duration kBoundsInterval = std::chrono::milliseconds(200);

constexpr Duration kTakeoverLogInterval = std::chrono::seconds(1);

}  // namespace

bool Controller::HoldsLeadership(Time now) const {
  return leadership_ != nullptr && replica_.HoldsLeaderLease(now);
}

void Controller::UpdateLeadership(Time now) {
  const bool leads = replica_.IsLeader();
  if (leadership_ != nullptr &&
      (!leads || replica_.Term() != leadership_->term)) {
    hooks_.log_decision("leadership_lost", std::to_string(leadership_->term),
                        "");
    leadership_.reset();
  }
  if (leadership_ != nullptr || !leads || !replica_.HoldsLeaderLease(now))
    return;
  leadership_ = std::make_unique<Leadership>();
  leadership_->term = replica_.Term();
  leadership_->won_at = now;
  hooks_.log_decision("leadership_won", std::to_string(leadership_->term), "");
  // Members that have not been heard from get the full timeout from now on.
  for (const std::string& member : replica_.Members()) {
    if (member != options_.replica.self)
      peers_[member].heard_at = std::max(peers_[member].heard_at, now);
  }
  std::map<std::string, std::int64_t> registered;
  for (const auto& [instance, holder] : state_.holders()) {
    if (holder.process != 0)
      registered[instance] = holder.incarnation;
  }
  leadership_->owner =
      std::make_unique<quota::Owner>(leadership_->term, now, registered);
  for (const auto& [customer, percent] : state_.share_bounds())
    leadership_->owner->OnBoundRecorded(now, customer, percent);
  FailoverHooks failover;
  failover.probe = hooks_.probe;
  failover.fence = hooks_.fence;
  failover.promote = hooks_.promote;
  failover.assigned = [this](const messages::PrimaryAssignment& assignment) {
    messages::ProxyUpdate update;
    update.primaries.push_back(assignment);
    SendToEntries(update);
  };
  failover.hold_writes = [this](const messages::WriteHold& hold) {
    messages::ProxyUpdate update;
    update.write_holds.push_back(hold);
    SendToEntries(update);
  };
  failover.are_writes_held = [this](const messages::WriteHold& hold) {
    return std::ranges::all_of(entries_, [&](const auto& item) {
      const std::map<std::string, std::int64_t>& held = item.second.held_writes;
      const auto it = held.find(hold.group);
      return !item.second.linked ||
             (it != held.end() && it->second == hold.number);
    });
  };
  failover.request_contacts = [this] {
    messages::ProxyUpdate update;
    update.report_now = true;
    SendToEntries(update);
  };
  failover.log_decision =
      [this](const std::string& event, const std::string& group,
             const std::string& endpoint, const std::string& cause) {
        hooks_.log_decision(event, group + " " + endpoint, cause);
      };
  leadership_->failover = std::make_unique<FailoverPlanner>(
      now, leadership_->term, &directory_, std::move(failover));
  leadership_->failover->SetEvacuatedZones(state_.evacuated_zones());
  SetLimits(now);
  leadership_->last_reserve_grant = now;
  // Before the first configuration no request could use tokens or fail, so that
  // the reserves are not needed.
  if (!state_.reserve_used() && !state_.text().empty())
    ProposeReserveUse(now, true);
  for (const messages::EndpointRecord& record : directory_.All())
    RecordEndpoint(now, record);
  SendNotices(now);
  // The answers to the reports tell the entries that this controller leads.
  messages::ProxyUpdate update;
  update.report_now = true;
  SendToEntries(update);
}

// The reserves of limits are granted at a takeover, when callers retry failed
// requests and the new owner's buckets are empty. The log records the grant, so
// that the next leader does not repeat it too soon.
void Controller::ProposeReserveUse(Time now, bool used) {
  messages::FleetCommand command;
  messages::ReserveUse reserve;
  reserve.term = leadership_->term;
  reserve.used = used;
  command.__set_reserve(reserve);
  leadership_->reserve_change_proposed = Propose(now, command) != 0;
}

void Controller::OnReserveUse(Time now, const messages::ReserveUse& reserve) {
  if (leadership_ == nullptr || reserve.term != leadership_->term)
    return;
  leadership_->reserve_change_proposed = false;
  if (!reserve.used)
    return;
  leadership_->last_reserve_grant = now;
  leadership_->owner->GrantReserve(now);
  hooks_.log_decision("reserve_given_out", std::to_string(reserve.term), "");
}

// Allows the next grant of the reserves. An earlier leader can have granted
// them no later than the takeover of this leader, from which the interval
// counts.
void Controller::ProposeReserveReset(Time now) {
  if (state_.reserve_used() && !leadership_->reserve_change_proposed &&
      now - leadership_->last_reserve_grant >= quota::kReserveGrantInterval)
    ProposeReserveUse(now, false);
}

// The next leader finds the bounds in the log: what entries that it can't reach
// may hold is within them.
void Controller::ProposeShareBounds(Time now) {
  if (now < leadership_->next_bounds_check)
    return;
  leadership_->next_bounds_check = now + kBoundsInterval;
  const std::map<std::string, int> bounds =
      leadership_->owner->BoundsToRecord(now);
  if (bounds.empty())
    return;
  messages::ShareBounds change;
  change.percents.insert(bounds.begin(), bounds.end());
  messages::FleetCommand command;
  command.__set_bounds(change);
  Propose(now, command);
}

void Controller::OnShareBounds(Time now, const messages::ShareBounds& bounds) {
  if (leadership_ == nullptr)
    return;
  for (const auto& [customer, percent] : bounds.percents)
    leadership_->owner->OnBoundRecorded(now, customer, percent);
}

void Controller::SetLimits(Time now) {
  if (state_.text().empty() || leadership_->version == state_.version())
    return;
  const routing::RoutingTable* table = Table();
  if (table == nullptr)
    return;
  leadership_->version = state_.version();
  std::map<std::string, int> sync_replicas;
  for (const auto& [name, group] : table->groups)
    sync_replicas[name] = group.sync_replicas;
  leadership_->failover->SetGroups(now, sync_replicas);
  for (const routing::Customer& customer : table->customers)
    leadership_->owner->SetLimit(
        now, customer.name,
        quota::LimitFor(customer.rate_per_second, customer.burst,
                        options_.limit_window));
}

// Tells how far the new owner of the shares is: until it knows what entries
// hold it gives out only a part of each limit, or nothing.
void Controller::LogTakeover(Time now) {
  if (now < leadership_->next_takeover_log)
    return;
  const quota::Owner& owner = *leadership_->owner;
  const auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - leadership_->won_at);
  const std::string age =
      std::to_string(taken.count()) + " ms after takeover, withholds " +
      std::to_string(owner.WithheldPercent()) + "% of the rates, gave " +
      std::to_string(owner.TokensGiven()) + " tokens";
  if (leadership_->owner->Ready(now)) {
    leadership_->next_takeover_log = kNever;
    hooks_.log_decision("shares_known", std::to_string(leadership_->term), age);
    return;
  }
  leadership_->next_takeover_log = now + kTakeoverLogInterval;
  hooks_.log_decision(
      "shares_unknown", std::to_string(owner.UnknownCount()),
      age + (owner.WaitsForExpiry() ? ", waits until they have expired" : ""));
}

// An instance without reports for much longer than a share lasts holds no share
// any more. While it is registered as a holder, each new owner waits for it.
void Controller::ReleaseSilentHolders(Time now) {
  if (now - leadership_->won_at < kHolderExpiry)
    return;
  for (const auto& [instance, holder] : state_.holders()) {
    const auto it = entries_.find(instance);
    if (holder.process == 0 ||
        (it != entries_.end() && now - it->second.reported_at < kHolderExpiry))
      continue;
    hooks_.log_decision("holder_released", instance, "silent");
    // Passes a copy, since the proposal may change the holders.
    return ReleaseHolder(now, std::string(instance));
  }
}

void Controller::ReleaseHolder(Time now, const std::string& instance) {
  leadership_->owner->Release(now, instance);
  messages::FleetCommand command;
  messages::RegisterHolder holder;
  holder.instance = instance;
  holder.released = true;
  command.__set_holder(holder);
  Propose(now, command);
}

void Controller::PlanMembership(Time now) {
  if (now < next_membership_check_ || draining_)
    return;
  next_membership_check_ = now + kMembershipInterval;
  MembershipView view;
  view.self = options_.replica.self;
  view.members = replica_.Members();
  view.peers = peers_;
  view.changed_at = members_changed_at_;
  view.tolerated_losses = options_.tolerated_losses;
  view.addition_refused = leadership_->addition_refused;
  for (const std::string& member : view.members) {
    if (member != view.self)
      view.peers.try_emplace(member);
  }
  const auto next = NextMembership(now, view);
  if (!next)
    return;
  consensus::Proposal proposal = replica_.ProposeMembers(now, *next);
  leadership_->addition_refused =
      next->size() > view.members.size() && proposal.code != ResultCode::kOk;
  if (proposal.code == ResultCode::kOk)
    hooks_.log_decision("membership_proposed", std::to_string(next->size()),
                        "was " + std::to_string(view.members.size()));
  ProcessOutput(now, std::move(proposal.output));
}

}  // namespace goldcrest::fleet
