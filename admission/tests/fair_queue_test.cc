#include "goldcrest/admission/fair_queue.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>

namespace goldcrest::admission {
namespace {

using std::chrono::milliseconds;

constexpr Time kStart{};

Ticket MakeTicket(std::uint64_t id,
                  std::string customer,
                  std::int64_t weight = 1,
                  Time deadline = kNever) {
  return {id, std::move(customer), weight, deadline};
}

std::map<std::string, int> Serve(FairQueue& queue, int count) {
  std::map<std::string, int> served;
  for (int index = 0; index < count; ++index) {
    ++served[queue.Pop(kStart).value().customer];
  }
  return served;
}

}  // namespace

TEST_CASE("Customers with tickets are served in proportion to their weights",
          "[admission]") {
  FairQueue queue(1000);
  for (std::uint64_t id = 0; id < 900; id += 3) {
    REQUIRE(queue.Push(kStart, MakeTicket(id, "one", 1)));
    REQUIRE(queue.Push(kStart, MakeTicket(id + 1, "two", 2)));
    REQUIRE(queue.Push(kStart, MakeTicket(id + 2, "three", 3)));
  }
  // Each customer has four tickets served early, then the weights apply.
  CHECK(Serve(queue, 12) ==
        std::map<std::string, int>{{"one", 4}, {"two", 4}, {"three", 4}});
  CHECK(Serve(queue, 300) ==
        std::map<std::string, int>{{"one", 50}, {"two", 100}, {"three", 150}});
}

// Guards against a customer that earns credit while it is idle, and against one
// that overtakes others by sending one request at a time.
TEST_CASE("A customer that was idle gains its fixed allowance and no more",
          "[admission]") {
  FairQueue queue(1000);
  std::uint64_t id = 0;
  while (id < 400) {
    queue.Push(kStart, MakeTicket(++id, "busy"));
  }
  Serve(queue, 100);
  SECTION("by arriving late with many requests") {
    while (id < 500) {
      queue.Push(kStart, MakeTicket(++id, "late"));
    }
    // Four tickets are served early, then every second one.
    CHECK(Serve(queue, 100)["late"] == 52);
  }
  SECTION("by sending one request as soon as the last is served") {
    int served = 0;
    for (int round = 0; round < 100; ++round) {
      queue.Push(kStart, MakeTicket(1000, "single"));
      served += Serve(queue, 1)["single"];
    }
    CHECK(served == 52);
  }
}

TEST_CASE("A customer's bound applies to its own tickets only", "[admission]") {
  FairQueue queue(2);
  CHECK(queue.Push(kStart, MakeTicket(1, "large")));
  CHECK(queue.Push(kStart, MakeTicket(2, "large")));
  CHECK_FALSE(queue.Push(kStart, MakeTicket(3, "large")));
  CHECK(queue.Push(kStart, MakeTicket(4, "small")));
  CHECK_FALSE(queue.Push(kStart, MakeTicket(4, "other")));  // id in use
  CHECK(queue.size() == 3);
}

// Guards against serving a request that was already reported as not run.
TEST_CASE("A ticket past its deadline is expired and never served",
          "[admission]") {
  FairQueue queue(10);
  const Time deadline = kStart + milliseconds(5);
  queue.Push(kStart, MakeTicket(2, "a", 1, deadline));
  queue.Push(kStart, MakeTicket(1, "a", 1, deadline + milliseconds(1)));
  queue.Push(kStart, MakeTicket(3, "b"));
  CHECK(queue.NextDeadline() == deadline);
  CHECK(queue.Pop(deadline).value().id == 1);
  CHECK(queue.NextDeadline() == deadline);
  CHECK(queue.Expire(deadline) ==
        std::vector<Ticket>{MakeTicket(2, "a", 1, deadline)});
  CHECK(queue.NextDeadline() == kNever);
  CHECK(queue.Pop(deadline).value().id == 3);
}

TEST_CASE("Removed tickets are not served", "[admission]") {
  FairQueue queue(10);
  for (std::uint64_t id = 1; id <= 4; ++id) {
    queue.Push(kStart, MakeTicket(id, id % 2 == 0 ? "even" : "odd"));
  }
  CHECK(queue.Remove(1));
  CHECK_FALSE(queue.Remove(1));
  const auto removed = queue.RemoveIf(
      [](const Ticket& ticket) { return ticket.customer == "even"; });
  REQUIRE(removed.size() == 2);
  CHECK(removed[0].id == 2);
  CHECK(queue.Pop(kStart).value().id == 3);
  CHECK_FALSE(queue.Pop(kStart));
  CHECK(queue.empty());
}

}  // namespace goldcrest::admission
