#include "goldcrest/coordinator/group_coordinator.h"

#include <iterator>

#include <catch2/catch.hpp>

namespace goldcrest::coordinator {
namespace {

using messages::Operation;
using std::chrono::milliseconds;

constexpr const char* kEntry = "e4";

// A coordinator of the members a, b and c whose calls the test answers by hand.
class Bench {
 public:
  Bench() : coordinator_({}, Hooks(), State(), lease_end, now) {
    std::vector<messages::EndpointInfo> members;
    for (const char* name : {"a", "b", "c"}) {
      messages::EndpointInfo info;
      info.endpoint = name;
      info.group = "bookings";
      info.slots = 3;
      info.connections = 10;
      info.incarnation = 1;
      members.push_back(info);
    }
    coordinator_.SetEndpoints(members, now);
    Take(coordinator_.Tick(now));
    AnswerProbes(0, 0);
    Take(coordinator_.Tick(now));
    messages::GroupState state = State();
    state.primary = "a";
    state.term = 1;
    state.revision = 2;
    Take(coordinator_.OnGroupState(state, now));
    AnswerProbes(1, 1);
  }

  std::int64_t Request(Operation::type operation,
                       const std::string& request_id,
                       messages::Durability::type durability) {
    messages::ForwardRequest forward;
    forward.id = ++last_request_;
    forward.group = "bookings";
    forward.epoch = epoch;
    forward.operation = operation;
    forward.customer = "town-hall";
    forward.key_name = key;
    forward.statement = "set a 1";
    forward.request_id = request_id;
    forward.transaction = transaction;
    forward.timeout_ms = 1000;
    forward.durability = durability;
    Take(coordinator_.OnRequest(kEntry, forward, now));
    return last_request_;
  }
  std::int64_t Write(const std::string& request_id = "") {
    return Request(Operation::WRITE, request_id,
                   messages::Durability::MAJORITY);
  }

  // The oldest call of this operation that has no result yet.
  EndpointCall* Open(EndpointOperation operation, const std::string& endpoint) {
    for (EndpointCall& call : calls_) {
      if (call.operation == operation && call.endpoint == endpoint)
        return &call;
    }
    return nullptr;
  }
  EndpointCall* Statement() { return Open(EndpointOperation::kStatement, "a"); }
  void Finish(const EndpointCall* call,
              std::int64_t position,
              Delivery delivery = Delivery::kAnswered,
              std::uint64_t id_offset = 0) {
    REQUIRE(call != nullptr);
    CallResult result;
    result.delivery = delivery;
    result.answer.call_id = call->id + id_offset;
    result.answer.endpoint = call->endpoint;
    result.answer.term = result.answer.log_term = call->term;
    result.answer.position = position;
    result.answer.known = true;
    const std::uint64_t id = call->id;
    std::erase_if(calls_, [id](const auto& open) { return open.id == id; });
    Take(coordinator_.OnCallResult(id, result, now));
  }
  void Tick(Duration after) {
    now += after;
    Take(coordinator_.Tick(now));
  }

  // The answer to a request; kIncompleteRequest while there is none.
  ResultCode CodeOf(std::int64_t request) const {
    const auto it = answers_.find(request);
    return it == answers_.end() ? ResultCode::kIncompleteRequest
                                : ResultCodeFromNumber(it->second.code);
  }
  GroupCoordinator& coordinator() { return coordinator_; }
  const std::vector<std::pair<std::string, std::uint64_t>>& closed_pins()
      const {
    return closed_pins_;
  }
  const messages::ForwardResponse& answer(std::int64_t request) {
    return answers_[request];
  }

  Time now = Time(std::chrono::seconds(1));
  const Time lease_end = now + std::chrono::seconds(1);
  std::int64_t epoch = 1;
  std::string key = "k-town-hall";
  std::string transaction;
  bool key_in_force = true;

 private:
  static messages::GroupState State() {
    messages::GroupState state;
    state.group = "bookings";
    state.coordinator = "e1";
    state.coordinator_epoch = 1;
    state.revision = 1;
    return state;
  }
  CoordinatorHooks Hooks() {
    CoordinatorHooks hooks;
    hooks.caller_in_force = [this](const auto&, const auto&) {
      return key_in_force;
    };
    hooks.endpoint_allowed = [](const auto&, const auto&) { return true; };
    hooks.endpoint_leaving = [](const auto&) { return false; };
    hooks.next_call_id = [this] { return ++last_call_; };
    hooks.random_name = [] { return "t1"; };
    return hooks;
  }
  void AnswerProbes(std::int64_t term, std::int64_t position) {
    for (const EndpointCall& call : std::vector(calls_)) {
      if (call.operation != EndpointOperation::kStatement && call.term == term)
        Finish(&call, position);
    }
  }
  void Take(CoordinatorEffects effects) {
    std::move(effects.calls.begin(), effects.calls.end(),
              std::back_inserter(calls_));
    std::move(effects.closed_pins.begin(), effects.closed_pins.end(),
              std::back_inserter(closed_pins_));
    for (const CoordinatorAnswer& answer : effects.answers)
      answers_[answer.response.id] = answer.response;
  }

  std::uint64_t last_call_ = 0;
  std::int64_t last_request_ = 0;
  std::vector<EndpointCall> calls_;
  std::vector<std::pair<std::string, std::uint64_t>> closed_pins_;
  std::map<std::int64_t, messages::ForwardResponse> answers_;
  GroupCoordinator coordinator_;
};

}  // namespace

TEST_CASE("A coordinator acknowledges nothing once its lease has lapsed",
          "[coordinator][guarantee]") {
  // Guards against a process that is paused and finds answers before its timer
  // on waking: a successor may have replaced the primary meanwhile.
  Bench bench;
  REQUIRE(bench.coordinator().phase() == GroupCoordinator::Phase::kServing);

  SECTION("when the primary's answer comes") {
    const auto write =
        bench.Request(Operation::WRITE, "", messages::Durability::PRIMARY);
    bench.now = bench.lease_end;
    bench.Finish(bench.Statement(), 2);
    CHECK(bench.CodeOf(write) == ResultCode::kOutcomeUnknown);
  }
  SECTION("when the last replica of a majority reports") {
    const auto write = bench.Write();
    bench.Finish(bench.Statement(), 2);
    const EndpointCall* probe = bench.Open(EndpointOperation::kStatus, "b");
    bench.now = bench.lease_end;
    bench.Finish(probe, 2);
    bench.Tick(milliseconds(10));
    CHECK(bench.CodeOf(write) == ResultCode::kOutcomeUnknown);
  }
  SECTION("when the endpoint's record of a commit comes") {
    bench.transaction = "unknown";
    const auto commit =
        bench.Request(Operation::COMMIT, "c1", messages::Durability::PRIMARY);
    bench.now = bench.lease_end;
    bench.Finish(bench.Open(EndpointOperation::kOutcome, "a"), 2);
    CHECK(bench.CodeOf(commit) == ResultCode::kOutcomeUnknown);
  }
  SECTION("when a request comes, also one for another epoch before") {
    bench.epoch = 2;
    CHECK(bench.CodeOf(bench.Write()) == ResultCode::kCoordinatorMoved);
    bench.epoch = 1;
    bench.now = bench.lease_end;
    CHECK(bench.CodeOf(bench.Write()) == ResultCode::kCoordinatorMoved);
    CHECK(bench.Statement() == nullptr);
  }
}

TEST_CASE("An answer with another call's id answers nothing",
          "[coordinator][guarantee]") {
  Bench bench;
  const auto write =
      bench.Request(Operation::WRITE, "", messages::Durability::PRIMARY);
  bench.Finish(bench.Statement(), 2, Delivery::kAnswered, 1);
  CHECK(bench.CodeOf(write) == ResultCode::kOutcomeUnknown);
}

TEST_CASE("A write without an id is sent once", "[coordinator][guarantee]") {
  // Guards against a second run when the first one's answer is lost early.
  Bench bench;
  const auto write = bench.Write();
  bench.Finish(bench.Statement(), 0, Delivery::kUnknown);
  bench.Tick(milliseconds(60));
  CHECK(bench.Statement() == nullptr);
  CHECK(bench.CodeOf(write) == ResultCode::kOutcomeUnknown);
}

TEST_CASE("A write that may have run is never refused as not run",
          "[coordinator][guarantee]") {
  // Guards against the truth about the second sending being given for both.
  Bench bench;
  const auto write = bench.Write("w1");
  bench.Finish(bench.Statement(), 0, Delivery::kUnknown);
  SECTION("when its key is withdrawn before the second sending") {
    bench.key_in_force = false;
    bench.Tick(milliseconds(60));
  }
  SECTION("when it expires in the queue") {
    for (int i = 0; i < 3; ++i)
      bench.Write();
    bench.Tick(milliseconds(60));
    bench.coordinator().ExtendLease(bench.now + std::chrono::seconds(9));
    bench.Tick(milliseconds(990));
  }
  SECTION("when the second sending comes too late") {
    bench.Tick(milliseconds(60));
    bench.now += milliseconds(920);
    bench.Finish(bench.Statement(), 0, Delivery::kNotSent);
  }
  SECTION("when the coordinator stops before the second sending") {
    bench.Tick(std::chrono::seconds(1));
  }
  CHECK(bench.CodeOf(write) == ResultCode::kOutcomeUnknown);
}

TEST_CASE("A transaction is open to its own key, one statement at a time",
          "[coordinator][guarantee]") {
  Bench bench;
  const auto begin =
      bench.Request(Operation::BEGIN_WORK, "", messages::Durability::MAJORITY);
  bench.Finish(bench.Statement(), 1);
  bench.transaction = bench.answer(begin).transaction;
  REQUIRE(!bench.transaction.empty());

  SECTION("not to another key of the same customer") {
    bench.key = "k-other";
    CHECK(bench.CodeOf(bench.Write()) == ResultCode::kUnknownTransaction);
  }
  SECTION("not to a second statement while one runs") {
    bench.Write();
    CHECK(bench.CodeOf(bench.Write()) == ResultCode::kInvalidField);
  }
  SECTION("not once its key is withdrawn; its connection is closed") {
    bench.key_in_force = false;
    CHECK(bench.CodeOf(bench.Write()) == ResultCode::kKeyWithdrawn);
    CHECK(bench.closed_pins().size() == 1);
    CHECK(bench.Statement() == nullptr);
  }
  SECTION("a lost commit with an id is looked up") {
    const auto commit =
        bench.Request(Operation::COMMIT, "c1", messages::Durability::PRIMARY);
    bench.Finish(bench.Statement(), 0, Delivery::kUnknown);
    bench.Finish(bench.Open(EndpointOperation::kOutcome, "a"), 2);
    CHECK(bench.CodeOf(commit) == ResultCode::kOk);
  }
  SECTION("a planned stop lets it end and takes nothing else") {
    bench.coordinator().BeginDrain();
    const auto inside = bench.Write();
    bench.Finish(bench.Statement(), 1);
    CHECK(bench.CodeOf(inside) == ResultCode::kOk);
    bench.transaction.clear();
    CHECK(bench.CodeOf(bench.Request(Operation::BEGIN_WORK, "",
                                     messages::Durability::MAJORITY)) ==
          ResultCode::kCoordinatorMoved);
  }
  SECTION("a lost commit without an id is unknown") {
    const auto commit =
        bench.Request(Operation::COMMIT, "", messages::Durability::MAJORITY);
    bench.Finish(bench.Statement(), 0, Delivery::kUnknown);
    CHECK(bench.CodeOf(commit) == ResultCode::kOutcomeUnknown);
  }
}

}  // namespace goldcrest::coordinator
