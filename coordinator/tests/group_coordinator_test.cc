#include "goldcrest/coordinator/group_coordinator.h"

#include <iterator>

#include <catch2/catch.hpp>

namespace goldcrest::coordinator {
namespace {

using messages::Operation;
using std::chrono::milliseconds;

constexpr const char* kEntryInstance = "e4";

// A coordinator of the members a, b and c. The test completes its calls.
class CoordinatorFixture {
 public:
  CoordinatorFixture() : coordinator_({}, Hooks(), State(), lease_end, now) {
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
    RecordEffects(coordinator_.Tick(now));
    AnswerProbes(0, 0);
    RecordEffects(coordinator_.Tick(now));
    messages::GroupState state = State();
    state.primary = "a";
    state.term = 1;
    state.revision = 2;
    RecordEffects(coordinator_.OnGroupState(state, now));
    AnswerProbes(1, 1);
  }

  std::int64_t SendRequest(Operation::type operation,
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
    RecordEffects(coordinator_.OnRequest(kEntryInstance, forward, now));
    return last_request_;
  }
  std::int64_t SendWrite(const std::string& request_id = "") {
    return SendRequest(Operation::WRITE, request_id,
                       messages::Durability::MAJORITY);
  }

  // Returns the oldest call of this operation that has no result yet.
  EndpointCall* FindCall(EndpointOperation operation,
                         const std::string& endpoint) {
    for (EndpointCall& call : calls_) {
      if (call.operation == operation && call.endpoint == endpoint)
        return &call;
    }
    return nullptr;
  }
  EndpointCall* StatementCall() {
    return FindCall(EndpointOperation::kStatement, "a");
  }
  void CompleteCall(const EndpointCall* call,
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
    RecordEffects(coordinator_.OnCallResult(id, result, now));
  }
  void Tick(Duration after) {
    now += after;
    RecordEffects(coordinator_.Tick(now));
  }

  // Returns the result of a request; kIncompleteRequest before its answer.
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
  bool key_is_valid = true;

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
    hooks.key_is_valid = [this](const auto&, const auto&) {
      return key_is_valid;
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
        CompleteCall(&call, position);
    }
  }
  void RecordEffects(CoordinatorEffects effects) {
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
  // Guards against false acknowledgements after a pause of the process: it may
  // read answers before its timer fires, while another coordinator has already
  // replaced the primary.
  CoordinatorFixture fixture;
  REQUIRE(fixture.coordinator().phase() == GroupCoordinator::Phase::kServing);

  SECTION("when the primary answers") {
    const auto write = fixture.SendRequest(Operation::WRITE, "",
                                           messages::Durability::PRIMARY);
    fixture.now = fixture.lease_end;
    fixture.CompleteCall(fixture.StatementCall(), 2);
    CHECK(fixture.CodeOf(write) == ResultCode::kOutcomeUnknown);
  }
  SECTION("when the last replica of a majority reports") {
    const auto write = fixture.SendWrite();
    fixture.CompleteCall(fixture.StatementCall(), 2);
    const EndpointCall* probe =
        fixture.FindCall(EndpointOperation::kStatus, "b");
    fixture.now = fixture.lease_end;
    fixture.CompleteCall(probe, 2);
    fixture.Tick(milliseconds(10));
    CHECK(fixture.CodeOf(write) == ResultCode::kOutcomeUnknown);
  }
  SECTION("when the endpoint answers a commit lookup") {
    fixture.transaction = "unknown";
    const auto commit = fixture.SendRequest(Operation::COMMIT, "c1",
                                            messages::Durability::PRIMARY);
    fixture.now = fixture.lease_end;
    fixture.CompleteCall(fixture.FindCall(EndpointOperation::kOutcome, "a"), 2);
    CHECK(fixture.CodeOf(commit) == ResultCode::kOutcomeUnknown);
  }
  SECTION("when a request arrives, as for a request of another epoch") {
    fixture.epoch = 2;
    CHECK(fixture.CodeOf(fixture.SendWrite()) == ResultCode::kCoordinatorMoved);
    fixture.epoch = 1;
    fixture.now = fixture.lease_end;
    CHECK(fixture.CodeOf(fixture.SendWrite()) == ResultCode::kCoordinatorMoved);
    CHECK(fixture.StatementCall() == nullptr);
  }
}

TEST_CASE("An answer with another call's id is treated as lost",
          "[coordinator][guarantee]") {
  CoordinatorFixture fixture;
  const auto write =
      fixture.SendRequest(Operation::WRITE, "", messages::Durability::PRIMARY);
  fixture.CompleteCall(fixture.StatementCall(), 2, Delivery::kAnswered, 1);
  CHECK(fixture.CodeOf(write) == ResultCode::kOutcomeUnknown);
}

TEST_CASE("A write without a request id is sent only once",
          "[coordinator][guarantee]") {
  // Guards against running the write twice when the first answer is lost well
  // before the deadline.
  CoordinatorFixture fixture;
  const auto write = fixture.SendWrite();
  fixture.CompleteCall(fixture.StatementCall(), 0, Delivery::kUnknown);
  fixture.Tick(milliseconds(60));
  CHECK(fixture.StatementCall() == nullptr);
  CHECK(fixture.CodeOf(write) == ResultCode::kOutcomeUnknown);
}

TEST_CASE("A write that may have run is never refused as not run",
          "[coordinator][guarantee]") {
  // Guards against reporting the outcome of the second attempt for both: the
  // first attempt may have run although the second one did not.
  CoordinatorFixture fixture;
  const auto write = fixture.SendWrite("w1");
  fixture.CompleteCall(fixture.StatementCall(), 0, Delivery::kUnknown);
  SECTION("when its key is withdrawn before the second attempt") {
    fixture.key_is_valid = false;
    fixture.Tick(milliseconds(60));
  }
  SECTION("when it expires in the queue") {
    for (int i = 0; i < 3; ++i)
      fixture.SendWrite();
    fixture.Tick(milliseconds(60));
    fixture.coordinator().ExtendLease(fixture.now + std::chrono::seconds(9));
    fixture.Tick(milliseconds(990));
  }
  SECTION("when the second attempt is not sent and the deadline is near") {
    fixture.Tick(milliseconds(60));
    fixture.now += milliseconds(920);
    fixture.CompleteCall(fixture.StatementCall(), 0, Delivery::kNotSent);
  }
  SECTION("when the coordinator stops before the second attempt") {
    fixture.Tick(std::chrono::seconds(1));
  }
  CHECK(fixture.CodeOf(write) == ResultCode::kOutcomeUnknown);
}

TEST_CASE("A transaction accepts only its own key and one statement at a time",
          "[coordinator][guarantee]") {
  CoordinatorFixture fixture;
  const auto begin = fixture.SendRequest(Operation::BEGIN_WORK, "",
                                         messages::Durability::MAJORITY);
  fixture.CompleteCall(fixture.StatementCall(), 1);
  fixture.transaction = fixture.answer(begin).transaction;
  REQUIRE(!fixture.transaction.empty());

  SECTION("another key of the same customer is refused") {
    fixture.key = "k-other";
    CHECK(fixture.CodeOf(fixture.SendWrite()) ==
          ResultCode::kUnknownTransaction);
  }
  SECTION("a second statement is refused while one runs") {
    fixture.SendWrite();
    CHECK(fixture.CodeOf(fixture.SendWrite()) == ResultCode::kInvalidField);
  }
  SECTION("a withdrawn key is refused and the connection closed") {
    fixture.key_is_valid = false;
    CHECK(fixture.CodeOf(fixture.SendWrite()) == ResultCode::kKeyWithdrawn);
    CHECK(fixture.closed_pins().size() == 1);
    CHECK(fixture.StatementCall() == nullptr);
  }
  SECTION("a lost commit with a request id is looked up") {
    const auto commit = fixture.SendRequest(Operation::COMMIT, "c1",
                                            messages::Durability::PRIMARY);
    fixture.CompleteCall(fixture.StatementCall(), 0, Delivery::kUnknown);
    fixture.CompleteCall(fixture.FindCall(EndpointOperation::kOutcome, "a"), 2);
    CHECK(fixture.CodeOf(commit) == ResultCode::kOk);
  }
  SECTION("a planned stop lets it continue and refuses new transactions") {
    fixture.coordinator().BeginDrain();
    const auto inside = fixture.SendWrite();
    fixture.CompleteCall(fixture.StatementCall(), 1);
    CHECK(fixture.CodeOf(inside) == ResultCode::kOk);
    fixture.transaction.clear();
    CHECK(fixture.CodeOf(fixture.SendRequest(Operation::BEGIN_WORK, "",
                                             messages::Durability::MAJORITY)) ==
          ResultCode::kCoordinatorMoved);
  }
  SECTION("a lost commit without a request id has an unknown outcome") {
    const auto commit = fixture.SendRequest(Operation::COMMIT, "",
                                            messages::Durability::MAJORITY);
    fixture.CompleteCall(fixture.StatementCall(), 0, Delivery::kUnknown);
    CHECK(fixture.CodeOf(commit) == ResultCode::kOutcomeUnknown);
  }
}

}  // namespace goldcrest::coordinator
