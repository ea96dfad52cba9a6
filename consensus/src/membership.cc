#include <algorithm>
#include <iterator>
#include <utility>

#include "replica_core.h"

namespace goldcrest::consensus {
namespace {

std::vector<std::string> Difference(const std::vector<std::string>& from,
                                    const std::vector<std::string>& without) {
  std::vector<std::string> difference;
  std::ranges::set_difference(from, without, std::back_inserter(difference));
  return difference;
}

}  // namespace

Proposal ReplicaCore::ProposeMembers(Time now,
                                     std::vector<std::string> members) {
  BeginCall(now);
  std::ranges::sort(members);
  const auto added = Difference(members, log_.Members());
  const auto removed = Difference(log_.Members(), members);
  const bool cancel = added.empty() && removed.empty();
  const bool valid = !members.empty() && !members.front().empty() &&
                     std::ranges::adjacent_find(members) == members.end() &&
                     added.size() + removed.size() <= 1;
  const std::string added_member = added.empty() ? "" : added.front();
  const std::string removed_member = removed.empty() ? "" : removed.front();
  Proposal proposal;
  if (!IsLeader() || transfer_) {
    proposal.code = ResultCode::kNotLeader;
  } else if (!valid) {
    proposal.code = ResultCode::kInvalidField;
  } else if (cancel) {
    admission_.reset();
    UpdateTrackedMembers();
    proposal.code = ResultCode::kOk;
  } else if (IsMembershipChangePending() ||
             LastAddedMemberLags(removed_member) ||
             !MajorityCaughtUp(members, added_member)) {
    proposal.code = ResultCode::kMemberNotCaughtUp;
  } else {
    proposal.code = ResultCode::kOk;
    proposal.term = hard_state_.term;
    if (added_member.empty()) {
      AppendMembershipEntry(members);
      proposal.index = log_.LastIndex();
    } else {
      admission_ = Admission{
          added_member, std::move(members), now_ + options_.join_timeout, {}};
      UpdateTrackedMembers();
      Replicate();
    }
  }
  proposal.output = TakeOutput();
  return proposal;
}

//! Updates progress_ to hold the other members and the one being added.
void ReplicaCore::UpdateTrackedMembers() {
  std::vector<std::string> names = Peers();
  if (admission_)
    names.push_back(admission_->name);
  std::erase_if(progress_, [&names](const auto& item) {
    return std::ranges::find(names, item.first) == names.end();
  });
  for (const std::string& name : names) {
    const auto [it, inserted] = progress_.try_emplace(name);
    if (inserted)
      it->second.next_index = log_.LastIndex() + 1;
  }
}

bool ReplicaCore::HasCaughtUp(const std::string& name) const {
  if (name == options_.self)
    return true;
  const auto it = progress_.find(name);
  return it != progress_.end() && it->second.match_index >= commit_index_ &&
         IsRecentlyActive(it->second);
}

//! Also true until the leader has committed an entry of its own term: until
//! then it does not know whether an earlier change is committed.
bool ReplicaCore::IsMembershipChangePending() const {
  return admission_ || log_.MembersIndex() > commit_index_ ||
         log_.TermAt(commit_index_) != hard_state_.term;
}

bool ReplicaCore::MajorityCaughtUp(const std::vector<std::string>& members,
                                   const std::string& added) const {
  const auto count = std::ranges::count_if(members, [&](const auto& name) {
    return name == added || HasCaughtUp(name);
  });
  return static_cast<std::size_t>(count) > members.size() / 2;
}

bool ReplicaCore::LastAddedMemberLags(const std::string& removed) const {
  const std::int64_t index = log_.MembersIndex();
  if (index <= log_.CurrentSnapshot().last_index)
    return false;
  const auto before = log_.MembersAt(index - 1);
  if (before.empty())
    return false;  // The bootstrap entry adds no member to a running cluster.
  const auto added = Difference(log_.Members(), before);
  return !added.empty() && added.front() != removed &&
         !HasCaughtUp(added.front());
}

void ReplicaCore::AppendMembershipEntry(
    const std::vector<std::string>& members) {
  messages::LogEntry entry;
  entry.__set_members(members);
  AppendAsLeader(std::move(entry));
}

// Admits the new member once it holds the whole log and may vote. Otherwise its
// vote could be missing right after its admission, with no leader left that
// could tell it of the admission.
void ReplicaCore::ContinueAdmission(const std::string& from,
                                    const messages::AppendResponse& response) {
  if (!admission_ || admission_->name != from)
    return;
  if (admission_->sync_rounds.contains(response.round))
    admission_->synced = true;
  if (!admission_->synced)
    return;
  if (response.joining) {
    // The member joins when it learns that an entry of this term is committed.
    if (!std::exchange(admission_->entry_appended, true))
      AppendAsLeader({});
    return;
  }
  const std::vector<std::string> members = std::move(admission_->members);
  admission_.reset();
  AppendMembershipEntry(members);
}

void ReplicaCore::ExpireAdmission() {
  if (!admission_ || now_ < admission_->deadline)
    return;
  admission_.reset();
  UpdateTrackedMembers();
}

void ReplicaCore::OnMembersCommitted(const messages::LogEntry& entry) {
  const auto contains_self = [this](const std::vector<std::string>& members) {
    return std::ranges::binary_search(members, options_.self);
  };
  // Steps down only if no later entry has added this member again.
  if (IsLeader() && !contains_self(entry.members) && !IsMember(options_.self)) {
    // Informs the other members that the removal is committed.
    SendHeartbeats();
    BecomeFollower(hard_state_.term, "");
  }
}

// A replica that started without data may vote from when it holds a log in
// which it is no member, and whose leader was able to commit an entry after
// that. What it had acknowledged or voted for before it lost its data then no
// longer counts: its removal is committed, and the entries are in this log.
void ReplicaCore::FinishJoining(const messages::LogEntry& entry) {
  const auto synced = first_synced_index_.find(entry.term);
  if (synced == first_synced_index_.end() || entry.index <= synced->second ||
      std::ranges::binary_search(log_.MembersAt(entry.index), options_.self))
    return;
  hard_state_.joining = false;
}

}  // namespace goldcrest::consensus
