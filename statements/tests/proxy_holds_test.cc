// Commits that are held while another primary is promoted.

#include <catch2/catch.hpp>
#include <chrono>
#include <map>

#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SessionId kCaller = 1;

messages::WriteHold MakeHold(std::int64_t number, bool active = true) {
  messages::WriteHold hold;
  hold.group = "g";
  hold.endpoint = "r1";
  hold.number = number;
  hold.active = active;
  return hold;
}

}  // namespace

// Guards against a commit that the former primary acknowledges and that the
// promoted one lacks.
TEST_CASE("No commit is sent while its group's writes are held",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(kCaller, "strict");

  SECTION("A single write waits until the hold is lifted") {
    fixture.proxy->OnWriteHold(fixture.now, MakeHold(7));
    fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a 1");
    fixture.Advance(milliseconds(20));
    CHECK(fixture.opening_connections.empty());
    fixture.proxy->OnWriteHold(fixture.now, MakeHold(7, false));
    const ConnectionId id = fixture.AcceptConnection();
    CHECK(fixture.SentCommands(id).back().text == "WRITE a 1");
  }
  SECTION("A commit waits, and statements before it do not") {
    fixture.SendStatement(kCaller, StatementKind::kBegin, "BEGIN");
    fixture.proxy->OnWriteHold(fixture.now, MakeHold(7));
    fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a 1");
    const ConnectionId id = fixture.AcceptConnection();
    fixture.Reply(id, {1, 5});
    fixture.Reply(id, {1, 5});
    fixture.SendStatement(kCaller, StatementKind::kCommit, "COMMIT");
    CHECK(fixture.SentCommands(id).back().text == "WRITE a 1");
    fixture.proxy->OnWriteHold(fixture.now, MakeHold(7, false));
    CHECK(fixture.SentCommands(id).back().text == "COMMIT");
  }
  SECTION("A write is sent to the promoted endpoint") {
    fixture.proxy->OnWriteHold(fixture.now, MakeHold(7));
    messages::PrimaryAssignment assignment;
    assignment.group = "g";
    assignment.endpoint = "r1";
    assignment.order = 1;
    fixture.proxy->OnAssignment(fixture.now, assignment);
    fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a 1");
    const ConnectionId id = fixture.AcceptConnection();
    CHECK(fixture.endpoint_of[id] == "r1");
    CHECK(fixture.SentCommands(id).back().text == "WRITE a 1");
  }
  SECTION("A late message of an earlier promotion lifts nothing") {
    fixture.proxy->OnWriteHold(fixture.now, MakeHold(7));
    fixture.proxy->OnWriteHold(fixture.now, MakeHold(6, false));
    fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a 1");
    CHECK(fixture.opening_connections.empty());
  }
  SECTION("A hold that is not repeated lapses") {
    fixture.proxy->OnWriteHold(fixture.now, MakeHold(7));
    CHECK(fixture.proxy->HeldWrites(fixture.now).size() == 1);
    fixture.Advance(seconds(3));
    CHECK(fixture.proxy->HeldWrites(fixture.now).empty());
    fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a 1");
    CHECK(fixture.opening_connections.size() == 1);
  }
}

// Guards against an order that is given while a commit may still be
// acknowledged.
TEST_CASE("A hold is confirmed once no commit is under way",
          "[statements][guarantee]") {
  ProxyFixture fixture;
  fixture.OpenSession(kCaller, "strict");
  fixture.SendStatement(kCaller, StatementKind::kWrite, "WRITE a 1");
  const ConnectionId id = fixture.AcceptConnection();
  fixture.proxy->OnWriteHold(fixture.now, MakeHold(7));
  CHECK(fixture.proxy->HeldWrites(fixture.now).empty());
  const std::map<std::string, std::int64_t> confirmed = {{"g", 7}};

  SECTION("It is answered") {
    fixture.Reply(id, LogPosition{1, 5});
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kDone);
    CHECK(fixture.proxy->HeldWrites(fixture.now) == confirmed);
  }
  SECTION("It is in doubt after 0.25 s, and a late answer is not passed on") {
    fixture.Advance(milliseconds(240));
    CHECK(fixture.proxy->HeldWrites(fixture.now).empty());
    fixture.Advance(milliseconds(20));
    CHECK(fixture.LastAnswer(kCaller).outcome == Outcome::kInDoubt);
    CHECK(fixture.proxy->HeldWrites(fixture.now) == confirmed);
    const std::size_t answers = fixture.AnswerCount(kCaller);
    fixture.Reply(id, LogPosition{1, 5});
    CHECK(fixture.AnswerCount(kCaller) == answers);
  }
}

}  // namespace goldcrest::statements
