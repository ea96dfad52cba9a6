#include "goldcrest/statements/statement_queue.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kNow = TimeFromMicros(100'000'000);

WaitingStatement MakeWaiting(std::uint64_t session,
                             const std::string& customer,
                             Duration due,
                             int priority = 0) {
  WaitingStatement statement;
  statement.session = session;
  statement.customer = customer;
  statement.priority = priority;
  statement.due = kNow + due;
  return statement;
}

using Sessions = std::vector<std::uint64_t>;

Sessions Order(StatementQueue& queue,
               std::vector<WaitingStatement> waiting,
               Time now = kNow) {
  queue.Sort(now, waiting);
  Sessions sessions;
  for (const WaitingStatement& statement : waiting)
    sessions.push_back(statement.session);
  return sessions;
}

}  // namespace

// Guards against retries that delay first attempts, and against kinds with a
// long target latency that delay the others.
TEST_CASE("Waiting statements are ordered by priority, attempt and due time",
          "[statements][admission]") {
  StatementQueue queue;
  auto repeated = MakeWaiting(1, "a", milliseconds(300));
  repeated.repeated = true;
  CHECK(Order(queue, {repeated, MakeWaiting(2, "b", milliseconds(5), 1),
                      MakeWaiting(3, "b", milliseconds(300)),
                      MakeWaiting(4, "c", milliseconds(100))}) ==
        Sessions{4, 3, 1, 2});
}

// Guards against a customer that delays the others by sending more than its
// share, and against a debt that an idle customer keeps.
TEST_CASE("A customer ahead of its share waits until it has been idle",
          "[statements][admission]") {
  StatementQueue queue;
  const auto hot = MakeWaiting(1, "hot", milliseconds(10));
  const auto other = MakeWaiting(2, "other", milliseconds(20));
  CHECK(Order(queue, {hot, other}) == Sessions{1, 2});
  for (int i = 0; i < 4; ++i)
    queue.OnStarted(hot);
  CHECK(Order(queue, {hot, other}) == Sessions{2, 1});
  const Time later = kNow + StatementQueue::kMaxIdleDebt + milliseconds(1);
  const auto third = MakeWaiting(3, "third", milliseconds(30));
  CHECK(Order(queue, {other, third}, later) == Sessions{2, 3});
  CHECK(Order(queue, {hot, other}, later) == Sessions{1, 2});
}

// Guards against a promised time at which the caller waits behind new ones, and
// against returning callers that take all of the capacity.
TEST_CASE("Returning callers go first in a bounded share of the starts",
          "[statements][admission]") {
  StatementQueue queue;
  auto returned = MakeWaiting(9, "a", milliseconds(500));
  returned.promised = true;
  const auto fresh = MakeWaiting(1, "b", milliseconds(10));
  CHECK(Order(queue, {fresh, returned}) == Sessions{9, 1});
  queue.OnStarted(returned);
  for (int i = 1; i < StatementQueue::kStartsPerPromise; ++i) {
    CHECK(Order(queue, {fresh, returned}).front() == 1);
    queue.OnStarted(MakeWaiting(1, "c", milliseconds(10)));
  }
  CHECK(Order(queue, {fresh, returned}).front() == 9);
}

// Guards against a queue that grows with the number of callers.
TEST_CASE("A bounded number of statements waits for a group",
          "[statements][admission]") {
  ProxyFixture fixture;
  fixture.SetRole("p", false);
  for (SessionId id = 1; id <= StatementQueue::kMaxWaiting + 1; ++id) {
    fixture.OpenSession(id, "strict");
    fixture.SendStatement(id, StatementKind::kWrite, "WRITE a b");
  }
  CHECK(fixture.AnswerCount(StatementQueue::kMaxWaiting) == 1);
  const Answer& last = fixture.LastAnswer(StatementQueue::kMaxWaiting + 1);
  CHECK(last.outcome == Outcome::kBusy);
  CHECK_THAT(last.message,
             Catch::Matchers::Matches("not run: .*; retry after [0-9]+ ms"));
}

// Guards against a slot that is held for a caller that thinks.
TEST_CASE("An idle transaction leaves the endpoint's slots to others",
          "[statements][admission]") {
  ProxyFixture fixture;
  fixture.OpenSession(1, "strict");
  fixture.SendStatement(1, StatementKind::kBegin, "BEGIN");
  fixture.SendStatement(1, StatementKind::kWrite, "WRITE a b");
  const ConnectionId transaction = fixture.AcceptConnection();
  fixture.Reply(transaction, {1, 5});
  fixture.Reply(transaction, {1, 5});
  fixture.OpenSession(2, "strict");
  fixture.SendStatement(2, StatementKind::kWrite, "WRITE c d");
  const ConnectionId other = fixture.AcceptConnection();
  fixture.Reply(other, {1, 5}, Outcome::kBusy);  // One statement at a time now.
  fixture.Advance(milliseconds(20));
  fixture.Reply(other, {1, 6});
  CHECK(fixture.LastAnswer(2).outcome == Outcome::kDone);
}

}  // namespace goldcrest::statements
