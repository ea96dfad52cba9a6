#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <random>
#include <set>

#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;

// Sessions, endpoints and a planned stop that act at random times. Each session
// sends its next statement soon after an answer, or before it.
class RandomStop {
 public:
  explicit RandomStop(std::uint32_t seed) : random_(seed) {
    for (SessionId id = 1; id <= kSessions; ++id)
      fixture_.OpenSession(id, Draw(2) == 0 ? "strict" : "own");
  }

  void Run() {
    const int drain_at = 100 + Draw(100);
    const int refuse_at = drain_at + Draw(200);
    const int end_at = refuse_at + Draw(300);
    for (int step = 0; step < end_at; ++step) {
      if (step == drain_at)
        fixture_.proxy->BeginDrain(fixture_.now);
      if (step == refuse_at)
        RefuseOperations();
      StepSessions();
      StepEndpoints();
      fixture_.Advance(milliseconds(1 + Draw(12)));
    }
    fixture_.proxy->EndSessions(fixture_.now);
    Check();
  }

 private:
  static constexpr SessionId kSessions = 8;

  int Draw(int bound) { return static_cast<int>(random_() % bound); }

  bool IsClosed(SessionId id) const {
    return std::ranges::count(fixture_.closed_sessions, id) > 0;
  }

  void RefuseOperations() {
    fixture_.proxy->RefuseOperations(fixture_.now);
    refusing_ = true;
  }

  void StepSessions() {
    for (SessionId id = 1; id <= kSessions; ++id) {
      const bool outstanding =
          sent_[id] + 1 > static_cast<int>(fixture_.AnswerCount(id));
      if (IsClosed(id) || Draw(outstanding ? 40 : 3) != 0)
        continue;
      ++sent_[id];
      const char* const data = "a b";
      static constexpr std::array kinds = {
          StatementKind::kRead,     StatementKind::kWrite,
          StatementKind::kBegin,    StatementKind::kBeginReadOnly,
          StatementKind::kCommit,   StatementKind::kRollback,
          StatementKind::kSet,      StatementKind::kPrepare,
          StatementKind::kMalformed};
      const std::string statement =
          "text" + std::to_string(id) + "." + std::to_string(sent_[id]);
      if (refusing_)
        sent_while_refusing_.insert(statement);
      const StatementKind kind = kinds.at(Draw(kinds.size()));
      const bool named =
          kind == StatementKind::kSet || kind == StatementKind::kPrepare;
      fixture_.SendStatement(id, kind, named ? data : statement);
    }
  }

  void StepEndpoints() {
    while (!fixture_.opening_connections.empty())
      answered_[fixture_.AcceptConnection()] = 0;
    for (auto& [id, answered] : answered_) {
      const auto sent = fixture_.sent.find(id);
      const bool closed = std::ranges::count(fixture_.closed, id) > 0;
      if (closed || sent == fixture_.sent.end() ||
          answered == static_cast<int>(sent->second.size()) || Draw(4) != 0)
        continue;
      ++answered;
      static constexpr std::array outcomes = {Outcome::kDone, Outcome::kDone,
                                              Outcome::kDone, Outcome::kBusy,
                                              Outcome::kFailed};
      fixture_.Reply(id, {1, ++position_}, outcomes.at(Draw(outcomes.size())));
    }
  }

  void Check() {
    CHECK(fixture_.proxy->SessionCount() == 0);
    for (SessionId id = 1; id <= kSessions; ++id) {
      INFO("session " << id);
      CHECK(std::ranges::count(fixture_.closed_sessions, id) == 1);
      // The first answer accepted the session.
      CHECK(static_cast<int>(fixture_.AnswerCount(id)) == sent_[id] + 1);
    }
    for (const auto& [id, commands] : fixture_.sent) {
      for (const EndpointCommand& command : commands)
        CHECK(sent_while_refusing_.count(command.text) == 0);
    }
  }

  std::mt19937 random_;
  ProxyFixture fixture_;
  bool refusing_ = false;
  std::map<SessionId, int> sent_;
  std::set<std::string> sent_while_refusing_;
  std::map<ConnectionId, int> answered_;
  std::int64_t position_ = 0;
};

}  // namespace

// Guards against a planned stop that takes statements from a busy session until
// the process ends, and then cuts those that endpoints execute.
TEST_CASE("A planned stop closes a busy session with its operation's answer",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
  const ConnectionId connection = fixture.AcceptConnection();

  SECTION("After a single statement") {
    fixture.proxy->BeginDrain(fixture.now);
    fixture.Reply(connection, {1, 5});
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kDone);
    CHECK(fixture.closed_sessions == std::vector<SessionId>{1});
  }
  SECTION("After the statements that were sent ahead") {
    fixture.SendStatement(1, StatementKind::kWrite, "WRITE c d");
    fixture.proxy->BeginDrain(fixture.now);
    fixture.Reply(connection, {1, 5});
    CHECK(fixture.closed_sessions.empty());
    fixture.Reply(connection, {1, 6});
    CHECK(fixture.AnswerCount(1) == 3);
    CHECK(fixture.closed_sessions == std::vector<SessionId>{1});
  }
  SECTION("After a transaction") {
    fixture.Reply(connection, {1, 5});
    fixture.SendStatement(1, StatementKind::kBegin, "BEGIN");
    fixture.proxy->BeginDrain(fixture.now);
    fixture.SendStatement(1, StatementKind::kWrite, "WRITE a c");
    fixture.Reply(connection, {1, 5});  // BEGIN
    fixture.Reply(connection, {1, 5});
    CHECK(fixture.closed_sessions.empty());
    fixture.SendStatement(1, StatementKind::kCommit, "COMMIT");
    fixture.Reply(connection, {1, 6});
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kDone);
    CHECK(fixture.closed_sessions == std::vector<SessionId>{1});
  }
  SECTION("Not between a session value and the statement that uses it") {
    fixture.Reply(connection, {1, 5});
    fixture.SendStatement(1, StatementKind::kSet, "name value");
    fixture.proxy->BeginDrain(fixture.now);
    CHECK(fixture.closed_sessions.empty());
    fixture.SendStatement(1, StatementKind::kWrite, "WRITE a c");
    fixture.Reply(connection, {1, 5});  // SET
    fixture.Reply(connection, {1, 6});
    CHECK(fixture.closed_sessions == std::vector<SessionId>{1});
  }
}

// Guards against a session that is closed while a statement of its caller has
// arrived and waits to be read, because the process was busy.
TEST_CASE("A planned stop closes no session before its input is read",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.Advance(milliseconds(1'000));
  fixture.unread_input.insert(1);

  SECTION("While operations run") {
    fixture.proxy->BeginDrain(fixture.now);
    fixture.Advance(milliseconds(100));
    CHECK(fixture.closed_sessions.empty());
    fixture.unread_input.clear();
    fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
    fixture.Reply(fixture.AcceptConnection(), {1, 5});
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kDone);
  }
  SECTION("While operations are refused") {
    fixture.proxy->RefuseOperations(fixture.now);
    fixture.Advance(milliseconds(100));
    CHECK(fixture.closed_sessions.empty());
    fixture.unread_input.clear();
    fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kBusy);
  }
  CHECK(fixture.closed_sessions == std::vector<SessionId>{1});
}

// Guards against statements that are passed on so late in a planned stop that
// the process ends before they are answered.
TEST_CASE("A planned stop that refuses operations runs nothing new",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");

  SECTION("A new operation is refused and its session closed") {
    fixture.proxy->BeginDrain(fixture.now);
    fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
    fixture.proxy->RefuseOperations(fixture.now);
    fixture.SendStatement(1, StatementKind::kWrite, "WRITE c d");
    fixture.Reply(fixture.AcceptConnection(), {1, 5});
    CHECK(fixture.answers[1].at(1).outcome == Outcome::kDone);
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kBusy);
    CHECK(fixture.closed_sessions == std::vector<SessionId>{1});
  }
  SECTION("A transaction of a caller that never pauses is rolled back") {
    fixture.SendStatement(1, StatementKind::kBegin, "BEGIN");
    fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
    const ConnectionId connection = fixture.AcceptConnection();
    fixture.Reply(connection, {1, 5});  // BEGIN
    fixture.proxy->RefuseOperations(fixture.now);
    fixture.Reply(connection, {1, 5});
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kDone);
    const std::size_t sent = fixture.SentCommands(connection).size();
    fixture.SendStatement(1, StatementKind::kCommit, "COMMIT");
    CHECK(fixture.LastAnswer(1).outcome == Outcome::kAborted);
    CHECK(fixture.SentCommands(connection).size() == sent + 1);
    CHECK(fixture.SentCommands(connection).back().kind ==
          EndpointCommand::Kind::kRollback);
    CHECK(fixture.closed_sessions == std::vector<SessionId>{1});
  }
  SECTION("A new session is refused") {
    fixture.proxy->RefuseOperations(fixture.now);
    fixture.OpenSession(2, "strict");
    CHECK(fixture.LastAnswer(2).outcome == Outcome::kBusy);
    CHECK(fixture.closed_sessions == std::vector<SessionId>{1, 2});
  }
}

// Guards against a process that ends without an answer to what it has accepted.
TEST_CASE("The end of a planned stop answers every statement",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.OpenSession(2, "strict");
  fixture.OpenSession(3, "strict");
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
  fixture.AcceptConnection();
  fixture.SendStatement(2, StatementKind::kRead, "READ a");
  fixture.Reply(fixture.AcceptConnection(), {1, 5});  // BEGIN
  fixture.SendStatement(3, StatementKind::kWrite, "WRITE a b");
  fixture.SendStatement(3, StatementKind::kRead, "READ a");
  CHECK(fixture.proxy->EndSessions(fixture.now) == 2);
  CHECK(fixture.LastAnswer(1).outcome == Outcome::kInDoubt);
  CHECK(fixture.LastAnswer(2).outcome == Outcome::kTimedOut);
  REQUIRE(fixture.AnswerCount(3) == 3);
  CHECK(fixture.answers[3].at(1).outcome == Outcome::kBusy);
  CHECK(fixture.answers[3].at(2).outcome == Outcome::kBusy);
  CHECK(fixture.closed_sessions == std::vector<SessionId>{1, 2, 3});
  CHECK(fixture.proxy->SessionCount() == 0);
}

// Guards against orders of statements, answers and stops that no case names.
TEST_CASE("A planned stop at any time answers each statement exactly once",
          "[statements][guarantee]") {
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    RandomStop(seed).Run();
  }
}

}  // namespace goldcrest::statements
