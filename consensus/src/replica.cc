#include "goldcrest/consensus/replica.h"

#include <utility>

#include "replica_core.h"

namespace goldcrest::consensus {

Replica::Replica(ReplicaOptions options,
                 RestoredState state,
                 std::mt19937_64 generator)
    : core_(std::make_unique<ReplicaCore>(std::move(options),
                                          std::move(state),
                                          generator)) {}

Replica::~Replica() = default;
Replica::Replica(Replica&&) noexcept = default;
Replica& Replica::operator=(Replica&&) noexcept = default;

Output Replica::Tick(Time now) {
  return core_->Tick(now);
}

Output Replica::Receive(Time now,
                        const std::string& from,
                        const messages::ConsensusMessage& message) {
  return core_->Receive(now, from, message);
}

Proposal Replica::Propose(Time now, std::string command) {
  return core_->Propose(now, std::move(command));
}

Proposal Replica::ProposeMembers(Time now, std::vector<std::string> members) {
  return core_->ProposeMembers(now, std::move(members));
}

Output Replica::Compact(std::int64_t index, std::string data) {
  return core_->Compact(index, std::move(data));
}

Output Replica::TransferLeadership(Time now) {
  return core_->TransferLeadership(now);
}

Output Replica::Abdicate(Time now) {
  return core_->Abdicate(now);
}

Time Replica::NextDeadline() const {
  return core_->NextDeadline();
}

bool Replica::IsLeader() const {
  return core_->IsLeader();
}

std::string Replica::Leader() const {
  return core_->Leader();
}

std::int64_t Replica::Term() const {
  return core_->GetHardState().term;
}

std::int64_t Replica::CommitIndex() const {
  return core_->CommitIndex();
}

std::int64_t Replica::LastIndex() const {
  return core_->Log().LastIndex();
}

std::int64_t Replica::SnapshotIndex() const {
  return core_->Log().CurrentSnapshot().last_index;
}

std::vector<std::string> Replica::Members() const {
  return core_->Log().Members();
}

bool Replica::IsJoining() const {
  return core_->GetHardState().joining;
}

bool Replica::IsCaughtUp() const {
  return core_->IsCaughtUp();
}

bool Replica::HoldsLeaderLease(Time now) const {
  return now < core_->LeaderLeaseEnd();
}

Time Replica::LeaderLeaseEnd() const {
  return core_->LeaderLeaseEnd();
}

}  // namespace goldcrest::consensus
