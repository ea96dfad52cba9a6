// Orders to evacuate availability zones.

#include <algorithm>
#include <utility>

#include "goldcrest/fleet/controller.h"

namespace goldcrest::fleet {

void Controller::Evacuate(Time now,
                          const std::string& zone,
                          bool active,
                          Done done) {
  if (!HoldsLeadership(now))
    return done(RedirectToLeader(now));
  // An order for the zone that is not committed yet can still change the state.
  const bool undecided =
      std::ranges::any_of(pending_evacuations_,
                          [&](const auto& call) { return call.zone == zone; });
  if (!undecided && (state_.evacuated_zones().count(zone) > 0) == active)
    return done({ConfigurationResult::Kind::kDone, "", ""});
  messages::FleetCommand command;
  messages::ZoneEvacuation evacuation;
  evacuation.zone = zone;
  evacuation.active = active;
  command.__set_evacuation(evacuation);
  pending_evacuations_.push_back(
      {zone, replica_.LastIndex() + 1, replica_.Term(), std::move(done)});
  if (Propose(now, command) == 0)
    pending_evacuations_.back().term = -1;  // Fails it below.
  FailLostEvacuations();
}

// An entry of another term at the same index has replaced the order.
void Controller::AnswerEvacuations(const messages::LogEntry& entry) {
  std::vector<PendingEvacuation> committed;
  std::erase_if(pending_evacuations_, [&](PendingEvacuation& call) {
    if (call.index != entry.index || call.term != entry.term)
      return false;
    committed.push_back(std::move(call));
    return true;
  });
  for (PendingEvacuation& call : committed)
    call.done({ConfigurationResult::Kind::kDone, "", ""});
}

// Answers the calls whose order may be lost, since this controller no longer
// leads in their term.
void Controller::FailLostEvacuations() {
  std::vector<PendingEvacuation> lost;
  std::erase_if(pending_evacuations_, [&](PendingEvacuation& call) {
    if (replica_.IsLeader() && call.term == replica_.Term())
      return false;
    lost.push_back(std::move(call));
    return true;
  });
  for (PendingEvacuation& call : lost)
    call.done({ConfigurationResult::Kind::kUnknown, "", ""});
}

messages::EvacuatedZones Controller::EvacuationsForEntries() const {
  messages::EvacuatedZones evacuated;
  evacuated.index = state_.evacuations_index();
  evacuated.zones.assign(state_.evacuated_zones().begin(),
                         state_.evacuated_zones().end());
  return evacuated;
}

// Entries ignore a set with a lower index, so that a controller that lags may
// announce what it has.
void Controller::AnnounceEvacuations() {
  if (failed_ || announced_evacuations_ == state_.evacuations_index())
    return;
  announced_evacuations_ = state_.evacuations_index();
  const std::string cause =
      "log index " + std::to_string(announced_evacuations_);
  const std::set<std::string> before =
      std::exchange(announced_zones_, state_.evacuated_zones());
  for (const std::string& zone : announced_zones_) {
    if (before.count(zone) == 0)
      hooks_.log_decision("zone_evacuated", zone, cause);
  }
  for (const std::string& zone : before) {
    if (announced_zones_.count(zone) == 0)
      hooks_.log_decision("zone_restored", zone, cause);
  }
  if (leadership_ != nullptr)
    leadership_->failover->SetEvacuatedZones(announced_zones_);
  messages::ProxyUpdate update;
  update.__set_evacuated(EvacuationsForEntries());
  SendToEntries(update);
}

}  // namespace goldcrest::fleet
