// Choice of the availability zone for reads that any member of a group may run.

#include <algorithm>
#include <set>

#include "goldcrest/routing/endpoint_eligibility.h"
#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {
namespace {

using routing::ZoneMember;

std::set<std::string> ZonesOf(const std::vector<ZoneMember>& members) {
  std::set<std::string> zones;
  for (const ZoneMember& member : members)
    zones.insert(member.zone);
  return zones;
}

}  // namespace

bool StatementProxy::MayGetReads(
    Time now,
    const routing::EndpointDirectory::Entry& member) const {
  return routing::MayGetWork(now, member.record, evacuations_,
                             routing::Work::kAnyMember);
}

std::vector<ZoneMember> StatementProxy::ZoneMembers(
    Time now,
    const std::string& group) const {
  std::vector<ZoneMember> members;
  const std::string primary = primaries_.PrimaryOf(now, group);
  for (const auto* member : directory_.MembersOf(group)) {
    if (!MayGetReads(now, *member))
      continue;
    members.push_back({member->record.zone, member->record.slots,
                       member->record.endpoint == primary});
  }
  return members;
}

std::string StatementProxy::ZoneOf(const std::string& endpoint) const {
  const auto* entry = directory_.Find(endpoint);
  return entry == nullptr ? "" : entry->record.zone;
}

std::string StatementProxy::ChooseZone(Time now, const routing::Route& route) {
  std::set<std::string> reachable;
  for (const auto* member : directory_.MembersOf(route.group)) {
    if (MayGetReads(now, *member) &&
        !pool_.IsAvoided(now, member->record.endpoint))
      reachable.insert(member->record.zone);
  }
  const std::vector<ZoneMember> members = ZoneMembers(now, route.group);
  if (reachable.empty())
    reachable = ZonesOf(members);
  if (reachable.empty())
    return options_.zone;
  return zones_.ChooseZone(now, route, members, reachable);
}

// A read keeps its zone while an endpoint there can serve it. Without capacity
// there it goes elsewhere, from its own zone only once it has waited for as
// long as statements may take there.
void StatementProxy::AssignZone(Time now,
                                Session& session,
                                const std::vector<Candidate>& candidates) {
  const routing::Route& route = *session.route;
  const std::vector<ZoneMember> members = ZoneMembers(now, route.group);
  PendingStatement& pending = *session.pending;
  if (ZonesOf(members).size() < 2) {
    pending.zone.clear();
    return;
  }
  std::set<std::string> allowed;
  std::set<std::string> with_capacity;
  for (const Candidate& candidate : candidates) {
    allowed.insert(candidate.zone);
    if (pool_.HasCapacity(now, candidate.endpoint))
      with_capacity.insert(candidate.zone);
  }
  if (allowed.contains(pending.zone) &&
      (with_capacity.contains(pending.zone) || with_capacity.empty() ||
       now < pending.leave_zone_at))
    return;
  if (!pending.zone.empty() && !with_capacity.empty())
    allowed = with_capacity;
  // The entry that has handed the operation over has chosen this zone.
  if (session.remote && pending.zone.empty() && allowed.contains(options_.zone))
    pending.zone = options_.zone;
  else
    pending.zone = zones_.ChooseZone(now, route, members, allowed);
  pending.leave_zone_at =
      pending.zone == options_.zone ? now + routing::ReadLimit(route) : now;
}

// Writes and what only the primary runs take other times than reads.
void StatementProxy::ObserveAnswer(Time now,
                                   const Connection& connection,
                                   const Connection::ExpectedAnswer& expected,
                                   const Answer& answer) {
  const std::string zone = ZoneOf(connection.endpoint);
  const Duration latency = now - expected.processing_since;
  if (expected.kind != Connection::ExpectedAnswer::Kind::kStatement)
    return zones_.OnRoundTrip(now, zone, latency);
  if (answer.outcome != Outcome::kDone || expected.proves_primary)
    return;
  std::size_t bytes = answer.signature.size();
  for (const std::string& row : answer.rows)
    bytes += row.size();
  const auto session = sessions_.find(connection.session);
  if (session != sessions_.end() && session->second.pending)
    bytes += session->second.pending->statement.text.size();
  zones_.OnAnswer(now, connection.group, zone, latency, bytes);
}

void StatementProxy::ObserveRefusal(Time now,
                                    const std::string& group,
                                    const std::string& endpoint) {
  zones_.OnRefused(now, group, ZoneOf(endpoint));
}

}  // namespace goldcrest::statements
