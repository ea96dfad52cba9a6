// What a session keeps, and answers that are too long to be kept.

#include <utility>

#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {
namespace {

// Of a queued statement or a map entry, beside its texts.
constexpr std::size_t kEntryBytes = 160;

std::size_t SizeOf(const Statement& statement) {
  return kEntryBytes + statement.id.size() + statement.text.size() +
         statement.name.size() + statement.value.size();
}

}  // namespace

void StatementProxy::Enqueue(Session& session, Statement statement) {
  session.queued_bytes += SizeOf(statement);
  session.queued_statements.push_back(std::move(statement));
}

Statement StatementProxy::Dequeue(Session& session) {
  Statement next = std::move(session.queued_statements.front());
  session.queued_statements.pop_front();
  session.queued_bytes -= SizeOf(next);
  return next;
}

void StatementProxy::RefuseTooLarge(Time now,
                                    Session& session,
                                    const char* message) {
  FailTransaction(session);
  ReplyError(now, session, Outcome::kTooLarge, message);
}

// Returns false if the session would keep too much.
bool StatementProxy::StoreValue(Session& session, const Statement& statement) {
  const auto it = session.values.find(statement.name);
  const bool known = it != session.values.end();
  const std::size_t before =
      known ? kEntryBytes + it->first.size() + it->second.size() : 0;
  const std::size_t bytes = session.value_bytes - before + kEntryBytes +
                            statement.name.size() + statement.value.size();
  if (bytes > options_.max_value_bytes ||
      (!known && session.values.size() >= options_.max_names))
    return false;
  session.value_bytes = bytes;
  session.values[statement.name] = statement.value;
  return true;
}

void StatementProxy::HandleSet(Time now,
                               Session& session,
                               const Statement& statement) {
  if (!StoreValue(session, statement))
    return RefuseTooLarge(now, session, "too many or too long session values");
  ReplyLocally(now, session, Answer::Completed());
}

// Returns false if the session would keep too much.
bool StatementProxy::StorePrepared(Session& session,
                                   const Statement& statement) {
  const auto it = session.prepared.find(statement.name);
  const bool known = it != session.prepared.end();
  const std::size_t before =
      known ? kEntryBytes + it->first.size() + it->second.shape.size() : 0;
  const std::size_t bytes = session.prepared_bytes - before + kEntryBytes +
                            statement.name.size() + statement.value.size();
  if (bytes > options_.max_prepared_bytes ||
      (!known && session.prepared.size() >= options_.max_names))
    return false;
  session.prepared_bytes = bytes;
  session.prepared[statement.name] = {statement.writes, statement.value};
  return true;
}

// Returns false if the name is not prepared.
bool StatementProxy::ErasePrepared(Session& session, const std::string& name) {
  const auto it = session.prepared.find(name);
  if (it == session.prepared.end())
    return false;
  session.prepared_bytes -=
      kEntryBytes + it->first.size() + it->second.shape.size();
  session.prepared.erase(it);
  return true;
}

void StatementProxy::HandlePrepare(Time now,
                                   Session& session,
                                   const Statement& statement) {
  if (statement.kind == StatementKind::kPrepare) {
    if (!StorePrepared(session, statement))
      return RefuseTooLarge(now, session,
                            "too many or too long prepared statements");
    return ReplyLocally(now, session, Answer::Completed());
  }
  if (ErasePrepared(session, statement.name))
    return ReplyLocally(now, session, Answer::Completed());
  FailTransaction(session);
  ReplyError(now, session, Outcome::kUnknownPrepared,
             "no such prepared statement");
}

SessionMemory StatementProxy::MemoryOf(SessionId id) const {
  SessionMemory memory;
  const auto it = sessions_.find(id);
  if (it == sessions_.end())
    return memory;
  const Session& session = it->second;
  memory.queued_bytes = session.queued_bytes;
  memory.connection = session.connection;
  // Values and names are also kept for the connection to the endpoint. A
  // running statement is copied when it is sent.
  memory.total_bytes =
      session.queued_bytes + 2 * (session.value_bytes + session.prepared_bytes);
  if (session.pending)
    memory.total_bytes += 2 * SizeOf(session.pending->statement);
  return memory;
}

SessionId StatementProxy::SessionOf(ConnectionId id) {
  const Connection* connection = pool_.Find(id);
  return connection == nullptr ? 0 : connection->session;
}

void StatementProxy::OnOutputRoom(Time now, SessionId id) {
  ContinueSession(now, id);
}

SessionId StatementProxy::OnRows(Time now,
                                 ConnectionId id,
                                 const std::vector<std::string>& rows) {
  const Connection* connection = pool_.Find(id);
  if (connection == nullptr || connection->expected_answers.empty() ||
      connection->expected_answers.front().kind !=
          Connection::ExpectedAnswer::Kind::kStatement)
    return 0;
  const auto it = sessions_.find(connection->session);
  if (it == sessions_.end() || !it->second.pending ||
      it->second.connection != id)
    return 0;
  Session& session = it->second;
  session.pending->rows_passed = true;
  session.pending->deadline = now + session.route->statement_timeout;
  if (session.remote)
    SendRelayedRows(session, rows);
  else
    hooks_.rows(session.id, rows);
  return session.id;
}

std::string StatementProxy::RemoteEntryOf(SessionId id) const {
  const auto it = sessions_.find(id);
  return it == sessions_.end() || !it->second.remote
             ? ""
             : it->second.remote->id.entry;
}

}  // namespace goldcrest::statements
