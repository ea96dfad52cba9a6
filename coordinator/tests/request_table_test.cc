#include "goldcrest/coordinator/request_table.h"

#include <catch2/catch.hpp>

#include "goldcrest/types/result_code.h"

namespace goldcrest::coordinator {
namespace {

messages::ForwardRequest Write(const std::string& customer,
                               const std::string& statement) {
  messages::ForwardRequest forward;
  forward.customer = customer;
  forward.request_id = "r1";
  forward.operation = messages::Operation::WRITE;
  forward.statement = statement;
  forward.timeout_ms = 1000;
  return forward;
}

messages::ForwardResponse Done() {
  messages::ForwardResponse response;
  response.value = "42";
  return response;
}

}  // namespace

TEST_CASE("A resend meets the first attempt instead of running again",
          "[coordinator][guarantee]") {
  using Result = RequestTable::AddResult;
  RequestTable table;
  const auto first =
      table.Add({"e1", 1}, Write("town-hall", "incr pump"), Time());
  REQUIRE(first.result == Result::kAdded);

  SECTION("while it runs, at another entry") {
    CHECK(
        table.Add({"e2", 9}, Write("town-hall", "incr pump"), Time()).result ==
        Result::kJoined);
    CHECK(first.request->origins.size() == 2);
  }
  SECTION("after it has ended, and gets the same answer") {
    table.Finish(first.request->id, Done(), true);
    const auto again =
        table.Add({"e2", 9}, Write("town-hall", "incr pump"), Time());
    CHECK(again.result == Result::kFinished);
    CHECK(again.finished_answer.value == "42");
    CHECK(
        table.Add({"e2", 9}, Write("town-hall", "incr gate"), Time()).result ==
        Result::kReused);
  }
  SECTION("but a different statement under the same id is refused") {
    CHECK(
        table.Add({"e2", 9}, Write("town-hall", "incr gate"), Time()).result ==
        Result::kReused);
  }
  SECTION("and another customer's request with the same id is its own") {
    CHECK(
        table.Add({"e2", 9}, Write("brasserie", "incr pump"), Time()).result ==
        Result::kAdded);
  }
  SECTION("a refusal is not remembered, so the resend can run") {
    table.Finish(first.request->id, Done(), false);
    CHECK(
        table.Add({"e2", 9}, Write("town-hall", "incr pump"), Time()).result ==
        Result::kAdded);
  }
}

}  // namespace goldcrest::coordinator
