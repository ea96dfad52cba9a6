// Commits that are held while a promotion is under way: what an endpoint
// acknowledged then might not be in the log of the promoted one.

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {
namespace {

// Without word from the leader a hold lapses, so that writes go on when the
// leader is lost. Longer than a promotion takes from its order on.
constexpr Duration kWriteHoldLease = std::chrono::seconds(3);

// Most commits are answered sooner. The leader waits for it before it orders
// the promotion.
constexpr Duration kMaxHoldDelay = std::chrono::milliseconds(250);

}  // namespace

void StatementProxy::OnWriteHold(Time now, const messages::WriteHold& hold) {
  HeldGroup& held = held_groups_[hold.group];
  // A message of an earlier leader, or of an earlier promotion.
  if (hold.number < held.number)
    return;
  const bool was_held = IsHeld(now, hold.group, "");
  if (hold.number > held.number)
    held.give_up_at = now + kMaxHoldDelay;
  held.number = hold.number;
  held.endpoint = hold.endpoint;
  held.lapses_at = hold.active ? now + kWriteHoldLease : now;
  if (was_held != hold.active)
    hooks_.log_decision({hold.active ? "writes_held" : "writes_resumed",
                         "",
                         hold.group,
                         hold.endpoint,
                         "promotion",
                         {},
                         Version()});
  SendHeldCommits(now);
  DispatchGroup(now, hold.group);
}

bool StatementProxy::IsHeld(Time now,
                            const std::string& group,
                            const std::string& endpoint) const {
  const auto it = held_groups_.find(group);
  return it != held_groups_.end() && now < it->second.lapses_at &&
         endpoint != it->second.endpoint;
}

bool StatementProxy::Commits(const Session& session,
                             const Connection& connection) const {
  if (session.pending->statement.kind == StatementKind::kCommit)
    return connection.has_written;
  return session.state == TransactionState::kIdle &&
         Writes(session, session.pending->statement);
}

std::map<std::string, std::int64_t> StatementProxy::HeldWrites(Time now) {
  std::map<std::string, std::int64_t> numbers;
  for (const auto& [group, held] : held_groups_) {
    if (now < held.lapses_at)
      numbers[group] = held.number;
  }
  if (numbers.empty())
    return numbers;
  for (const auto& [id, session] : sessions_) {
    if (IsCommitUnderWay(now, session))
      numbers.erase(session.route->group);
  }
  return numbers;
}

// True for a commit that was sent before its group's writes were held.
bool StatementProxy::IsCommitUnderWay(Time now, const Session& session) {
  if (session.connection == 0 || !session.pending || !session.pending->sent)
    return false;
  const Connection* connection = pool_.Find(session.connection);
  return connection != nullptr &&
         IsHeld(now, connection->group, connection->endpoint) &&
         Commits(session, *connection);
}

// A commit that is not answered soon, such as by a primary that is lost, is in
// doubt: its answer is no longer passed on.
void StatementProxy::GiveUpCommits(Time now) {
  const bool is_due = std::ranges::any_of(held_groups_, [&](const auto& item) {
    return now < item.second.lapses_at && now >= item.second.give_up_at;
  });
  if (!is_due)
    return;
  std::vector<SessionId> given_up;
  for (const auto& [id, session] : sessions_) {
    if (IsCommitUnderWay(now, session) &&
        now >= held_groups_.at(session.route->group).give_up_at)
      given_up.push_back(id);
  }
  for (const SessionId id : given_up) {
    AbandonStatement(now, sessions_.at(id), "another primary is promoted");
    ContinueSession(now, id);
  }
}

// Sends the commits for which the hold has been lifted or has lapsed. Writes
// without a connection are dispatched like others that wait.
void StatementProxy::SendHeldCommits(Time now) {
  if (!std::exchange(commits_held_, false))
    return;
  for (auto& [id, session] : sessions_) {
    if (session.connection == 0 || !session.pending || session.pending->sent)
      continue;
    Connection* connection = pool_.Find(session.connection);
    if (connection != nullptr && connection->expected_answers.empty())
      SendStatement(now, session, *connection);
  }
}

}  // namespace goldcrest::statements
