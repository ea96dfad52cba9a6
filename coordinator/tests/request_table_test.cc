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

TEST_CASE("A resent request joins the first attempt or gets its answer",
          "[coordinator][guarantee]") {
  using Result = RequestTable::AddResult;
  RequestTable table;
  const auto first =
      table.Add({"e1", 1}, Write("town-hall", "incr pump"), Time());
  REQUIRE(first.result == Result::kAdded);

  SECTION("it joins a running attempt of another entry") {
    CHECK(
        table.Add({"e2", 9}, Write("town-hall", "incr pump"), Time()).result ==
        Result::kJoined);
    CHECK(first.request->origins.size() == 2);
  }
  SECTION("it gets the answer of a finished attempt") {
    table.Finish(first.request->id, Done(), true);
    const auto again =
        table.Add({"e2", 9}, Write("town-hall", "incr pump"), Time());
    CHECK(again.result == Result::kFinished);
    CHECK(again.finished_answer.value == "42");
    CHECK(
        table.Add({"e2", 9}, Write("town-hall", "incr gate"), Time()).result ==
        Result::kReused);
  }
  SECTION("a different statement with the same request id is refused") {
    CHECK(
        table.Add({"e2", 9}, Write("town-hall", "incr gate"), Time()).result ==
        Result::kReused);
  }
  SECTION("another customer's request with the same request id is added") {
    CHECK(
        table.Add({"e2", 9}, Write("brasserie", "incr pump"), Time()).result ==
        Result::kAdded);
  }
  SECTION("a refusal is not kept, so the resend can run") {
    table.Finish(first.request->id, Done(), false);
    CHECK(
        table.Add({"e2", 9}, Write("town-hall", "incr pump"), Time()).result ==
        Result::kAdded);
  }
}

}  // namespace goldcrest::coordinator
