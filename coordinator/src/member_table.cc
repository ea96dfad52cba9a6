#include "goldcrest/coordinator/member_table.h"

#include <set>
#include <tuple>

namespace goldcrest::coordinator {
namespace {

bool IsAhead(const Member& a, const Member& b) {
  return std::tuple(a.log_term, a.position) >
         std::tuple(b.log_term, b.position);
}

}  // namespace

void MemberTable::SetEndpoints(
    const std::vector<messages::EndpointInfo>& endpoints,
    Time now) {
  std::set<std::string> names;
  for (const messages::EndpointInfo& info : endpoints) {
    names.insert(info.endpoint);
    Member& member = members_[info.endpoint];
    if (member.info == info)
      continue;
    const bool restarted = member.info.incarnation != info.incarnation;
    member.info = info;
    if (!restarted)
      continue;
    member.last_answer.reset();
    member.last_progress = now;
    member.next_probe = now;
  }
  std::erase_if(members_, [&](const auto& entry) {
    return !names.contains(entry.first);
  });
}

void MemberTable::OnReport(const std::string& endpoint,
                           std::int64_t term,
                           std::int64_t log_term,
                           std::int64_t position,
                           Time now) {
  Member* member = Find(endpoint);
  if (member == nullptr)
    return;
  if (member->position != position || !member->last_answer)
    member->last_progress = now;
  member->term = term;
  member->log_term = log_term;
  member->position = position;
  member->last_answer = now;
  const Member* primary = Find(primary_);
  if (primary != nullptr && !IsAhead(*primary, *member))
    member->last_progress = now;
}

void MemberTable::OnAnswerWithoutPosition(const std::string& endpoint,
                                          Time now) {
  Member* member = Find(endpoint);
  if (member != nullptr && member->last_answer)
    member->last_answer = now;
}

Member* MemberTable::Find(const std::string& endpoint) {
  const auto it = members_.find(endpoint);
  return it == members_.end() ? nullptr : &it->second;
}

const Member* MemberTable::Find(const std::string& endpoint) const {
  const auto it = members_.find(endpoint);
  return it == members_.end() ? nullptr : &it->second;
}

bool MemberTable::MajorityHolds(std::int64_t term,
                                std::int64_t position) const {
  std::size_t holders = 0;
  for (const auto& [name, member] : members_) {
    if (member.log_term == term && member.position >= position)
      ++holders;
  }
  return holders >= Majority();
}

std::optional<std::string> MemberTable::ChoosePrimary(
    Time now,
    Duration timeout,
    const std::string& preferred,
    const std::string& excluded) const {
  auto chosen = ChooseAmong(now, timeout, preferred, excluded, false);
  if (!chosen)
    chosen = ChooseAmong(now, timeout, preferred, excluded, true);
  return chosen;
}

std::optional<std::string> MemberTable::ChooseAmong(
    Time now,
    Duration timeout,
    const std::string& preferred,
    const std::string& excluded,
    bool with_leaving) const {
  const Member* best = nullptr;
  const auto rank = [&](const Member& member) {
    return std::tuple(member.log_term, member.position,
                      member.info.endpoint == preferred);
  };
  for (const auto& [name, member] : members_) {
    if (!IsAlive(member, now, timeout))
      continue;
    if (name == excluded || (member.info.leaving && !with_leaving))
      continue;
    if (best == nullptr || rank(member) > rank(*best))
      best = &member;
  }
  if (best == nullptr)
    return std::nullopt;

  // A set of `needed` members intersects every majority. Members ahead of the
  // best candidate may hold writes that the candidate lacks, so they do not
  // count.
  const std::size_t needed = members_.size() - Majority() + 1;
  std::size_t not_ahead = 0;
  for (const auto& [name, member] : members_) {
    if (IsAlive(member, now, timeout) && !IsAhead(member, *best))
      ++not_ahead;
  }
  if (not_ahead < needed)
    return std::nullopt;
  return best->info.endpoint;
}

bool MemberTable::IsAlive(const Member& member,
                          Time now,
                          Duration timeout) const {
  return member.last_answer && now - *member.last_answer <= timeout;
}

bool MemberTable::PrimaryIsIsolated(Time now, Duration timeout) const {
  const Member* primary = Find(primary_);
  if (primary == nullptr)
    return false;
  bool any_alive = false;
  for (const auto& [name, member] : members_) {
    if (name == primary_ || !IsAlive(member, now, timeout))
      continue;
    any_alive = true;
    if (!IsAhead(*primary, member) || now - member.last_progress < timeout)
      return false;
  }
  return any_alive;
}

void MemberTable::SetPrimary(const std::string& endpoint, Time now) {
  primary_ = endpoint;
  for (auto& [name, member] : members_)
    member.last_progress = now;
}

}  // namespace goldcrest::coordinator
