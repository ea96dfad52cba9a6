// Commits that are held while another primary is promoted.

#include <string>
#include <utility>
#include <vector>

#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {

void StatementProxy::OnWriteHold(Time now, const messages::WriteHold& hold) {
  const WriteHolds::Change change = write_holds_.Apply(now, hold);
  if (change != WriteHolds::Change::kNone)
    hooks_.log_decision(
        {change == WriteHolds::Change::kHeld ? "writes_held" : "writes_resumed",
         "",
         hold.group,
         hold.endpoint,
         "promotion",
         {},
         Version()});
  SendHeldCommits(now);
  DispatchGroup(now, hold.group);
}

std::map<std::string, std::int64_t> StatementProxy::HeldWrites(Time now) {
  std::map<std::string, std::int64_t> numbers = write_holds_.InEffect(now);
  if (numbers.empty())
    return numbers;
  for (const auto& [id, session] : sessions_) {
    if (IsCommitUnderWay(now, session))
      numbers.erase(session.route->group);
  }
  return numbers;
}

bool StatementProxy::Commits(const Session& session,
                             const Connection& connection) const {
  if (session.pending->statement.kind == StatementKind::kCommit)
    return connection.has_written;
  return session.state == TransactionState::kIdle &&
         Writes(session, session.pending->statement);
}

// True for a commit that was sent before its group's writes were held.
bool StatementProxy::IsCommitUnderWay(Time now, const Session& session) {
  if (session.connection == 0 || !session.pending || !session.pending->sent)
    return false;
  const Connection* connection = pool_.Find(session.connection);
  return connection != nullptr &&
         write_holds_.IsHeld(now, connection->group, connection->endpoint) &&
         Commits(session, *connection);
}

// A commit that is not answered soon, such as by a primary that is lost, is in
// doubt: its answer is no longer passed on.
void StatementProxy::GiveUpCommits(Time now) {
  if (write_holds_.InEffect(now).empty())
    return;
  std::vector<SessionId> overdue;
  for (const auto& [id, session] : sessions_) {
    if (IsCommitUnderWay(now, session) &&
        write_holds_.IsOverdue(now, session.route->group))
      overdue.push_back(id);
  }
  for (const SessionId id : overdue) {
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
