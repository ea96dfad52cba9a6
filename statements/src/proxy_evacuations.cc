// Evacuated availability zones: the end of the operations at their endpoints.

#include <vector>

#include "goldcrest/routing/endpoint_eligibility.h"
#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {
namespace {

constexpr const char* kZoneEvacuated = "availability zone evacuated";

}  // namespace

void StatementProxy::OnEvacuatedZones(Time now,
                                      const messages::EvacuatedZones& set) {
  for (const auto& change : evacuations_.Apply(now, set)) {
    Decision decision;
    decision.event = change.evacuated ? "zone_evacuated" : "zone_restored";
    decision.cause = change.zone + ", log index " + std::to_string(set.index);
    decision.configuration_version = Version();
    hooks_.log_decision(decision);
  }
  ContinueHeldOperations(now);
}

void StatementProxy::OnEvacuationsConfirmed(Time now, Time time) {
  evacuations_.Confirm(now, time);
  ContinueHeldOperations(now);
}

bool StatementProxy::IsClosedTo(Time now, const std::string& endpoint) const {
  const auto* entry = directory_.Find(endpoint);
  return entry != nullptr && evacuations_.IsClosed(now, entry->record.zone);
}

bool StatementProxy::MaySend(Time now, const Connection& connection) const {
  return evacuations_.Knows(now) && !IsClosedTo(now, connection.endpoint);
}

bool StatementProxy::IsUnused(Time now, const std::string& endpoint) const {
  const auto* entry = directory_.Find(endpoint);
  return entry == nullptr ||
         !routing::MayGetWork(now, entry->record, evacuations_,
                              entry->record.primary
                                  ? routing::Work::kOnlyThisOne
                                  : routing::Work::kAnyMember);
}

void StatementProxy::ContinueHeldOperations(Time now) {
  const bool known = evacuations_.Knows(now);
  if (known != !operations_held_) {
    hooks_.log_decision(
        {known ? "evacuations_known" : "evacuations_unknown",
         "",
         "",
         "",
         known ? "confirmed by the leader" : "process was frozen",
         {},
         Version()});
  }
  if (known && !operations_held_ && evacuations_.size() == 0)
    return;
  operations_held_ = !known;
  std::vector<SessionId> connected;
  for (const auto& [id, session] : sessions_) {
    if (session.connection != 0)
      connected.push_back(id);
  }
  for (const SessionId id : connected) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end())
      continue;
    Session& session = it->second;
    Connection* connection = pool_.Find(session.connection);
    if (connection == nullptr)
      continue;
    if (IsClosedTo(now, connection->endpoint)) {
      EndEvacuatedOperation(now, session);
      ContinueSession(now, id);
    } else if (known && session.pending && !session.pending->sent &&
               connection->expected_answers.empty()) {
      SendStatement(now, session, *connection);
    }
  }
}

// A commit, or a statement outside a transaction, that has been sent keeps its
// outcome.
void StatementProxy::EndEvacuatedOperation(Time now, Session& session) {
  if (!session.pending)
    return AbortTransaction(now, session, kZoneEvacuated);
  const bool transaction = session.state == TransactionState::kOpen;
  const bool commit = session.pending->statement.kind == StatementKind::kCommit;
  if (session.pending->sent && (commit || !transaction))
    return;
  DetachConnection(now, session);
  OnConnectionLost(now, session, kZoneEvacuated);
}

}  // namespace goldcrest::statements
