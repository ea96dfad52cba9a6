#include "goldcrest/entry/ingress.h"

#include <catch2/catch.hpp>
#include <utility>

#include "goldcrest/types/digest.h"

namespace goldcrest::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An ingress with one customer, key and group. The test acts as coordinator.
class IngressFixture {
 public:
  explicit IngressFixture(std::int64_t incarnation = 0)
      : ingress_(&view_,
                 &holder_,
                 {.incarnation = incarnation},
                 [](std::size_t count) { return std::string(count, 'r'); }) {
    messages::Object customer;
    customer.kind = messages::ObjectKind::CUSTOMER;
    customer.name = "town-hall";
    messages::Object key;
    key.kind = messages::ObjectKind::KEY;
    key.name = "k1";
    key.__set_customer("town-hall");
    key.__set_digest(Sha256("key"));
    messages::Object access;
    access.kind = messages::ObjectKind::ACCESS;
    access.name = "bookings";
    access.__set_callers("");
    access.__set_endpoints("group=bookings");
    access.__set_mode(messages::AccessMode::WRITE);
    access.__set_durability(messages::Durability::MAJORITY);
    update_.objects = {customer, key, access};
    for (messages::Object& object : update_.objects)
      object.revision = 1;
    update_.revision = 1;
    update_.session_secret = std::string(32, 's');
    messages::EndpointInfo endpoint;
    endpoint.endpoint = "a";
    endpoint.group = "bookings";
    update_.endpoints = {endpoint};
    AssignCoordinator("e1", 1);
    ingress_.SetControlLease(kNever);
  }

  void AssignCoordinator(const std::string& coordinator, std::int64_t epoch) {
    messages::GroupState group;
    group.group = "bookings";
    group.coordinator = coordinator;
    group.coordinator_epoch = epoch;
    group.revision = ++update_.groups_revision;
    update_.groups = {group};
    ApplyUpdate();
  }
  void WithdrawKey() {
    messages::Object& key = update_.objects[1];
    key.deleted = true;
    key.revision = update_.revision = 2;
    ApplyUpdate();
  }
  void ApplyUpdate() {
    view_.Merge(update_);
    RecordEffects(ingress_.OnViewChange(now));
  }
  void SendWrite(const std::string& request_id) {
    CallerRequest request;
    request.id = 1;
    request.operation = messages::Operation::WRITE;
    request.key_digest = Sha256("key");
    request.group = "bookings";
    request.statement = "set a 1";
    request.request_id = request_id;
    request.timeout = seconds(1);
    RecordEffects(ingress_.OnRequest(request, now));
  }
  void Respond(const std::string& from, ResultCode code) {
    messages::ForwardResponse response;
    response.id = last_forward_id;
    response.code = ToNumber(code);
    RecordEffects(ingress_.OnResponse(from, response, now));
  }
  void Tick(Duration after) {
    now += after;
    RecordEffects(ingress_.Tick(now));
  }
  void SetRateLimit(std::int64_t rate_micros) {
    holder_.SetLimit("town-hall", quota::Limit{rate_micros, rate_micros});
  }

  Time now = Time(seconds(1));
  std::int64_t last_forward_id = 0;
  std::vector<std::string> forwards;  // coordinators, in order of forwarding
  std::optional<ResultCode> code;     // of the last answer

 private:
  void RecordEffects(const IngressEffects& effects) {
    for (const auto& [to, forward] : effects.forwards) {
      last_forward_id = forward.id;
      forwards.push_back(to);
    }
    for (const CallerAnswer& answer : effects.answers)
      code = answer.code;
  }

  messages::ControlUpdate update_;
  ControlView view_;
  quota::Holder holder_;
  Ingress ingress_;
};

}  // namespace

TEST_CASE("A second coordinator's refusal does not settle the first attempt",
          "[entry][guarantee]") {
  // Guards against answering "not run" for a write that the first coordinator
  // may have sent to the endpoint.
  IngressFixture fixture;
  fixture.SendWrite("w1");
  fixture.AssignCoordinator("e2", 2);
  REQUIRE(fixture.forwards == std::vector<std::string>{"e1", "e2"});

  SECTION("when the second coordinator refuses") {
    fixture.Respond("e2", ResultCode::kQueueFull);
    CHECK(fixture.code == ResultCode::kOutcomeUnknown);
  }
  SECTION("when no other coordinator takes it by its deadline") {
    fixture.Respond("e2", ResultCode::kCoordinatorMoved);
    fixture.AssignCoordinator("", 3);
    fixture.Tick(seconds(1));
    CHECK(fixture.code == ResultCode::kOutcomeUnknown);
  }
  SECTION("a late answer of the first coordinator is ignored") {
    fixture.Respond("e1", ResultCode::kOk);
    CHECK(!fixture.code);
  }
}

TEST_CASE("A write without a request id goes to one coordinator only",
          "[entry][guarantee]") {
  IngressFixture fixture;
  fixture.SendWrite("");
  fixture.AssignCoordinator("e2", 2);
  CHECK(fixture.forwards == std::vector<std::string>{"e1"});
  CHECK(fixture.code == ResultCode::kOutcomeUnknown);
}

// Guards against an answer that reaches another caller: a restarted instance
// would number its requests from 1 again.
TEST_CASE("An answer to an earlier process's request reaches no caller",
          "[entry]") {
  IngressFixture earlier(1'700'000'000'000);
  earlier.SendWrite("request 1");
  IngressFixture restarted(1'700'000'001'000);
  restarted.SendWrite("request 2");
  REQUIRE(restarted.forwards.size() == 1);
  const std::int64_t own_id =
      std::exchange(restarted.last_forward_id, earlier.last_forward_id);
  restarted.Respond("e1", ResultCode::kOk);
  CHECK_FALSE(restarted.code);
  restarted.last_forward_id = own_id;
  restarted.Respond("e1", ResultCode::kOk);
  CHECK(restarted.code == ResultCode::kOk);
}

TEST_CASE("A waiting request is refused when its key is withdrawn",
          "[entry][guarantee]") {
  IngressFixture fixture;
  SECTION("while it waits for a coordinator") {
    fixture.AssignCoordinator("", 2);
    fixture.SendWrite("w1");
    fixture.WithdrawKey();
  }
  SECTION("while it waits for its customer's quota") {
    fixture.SetRateLimit(1'000'000);
    fixture.SendWrite("w1");
    CHECK(!fixture.code);
    fixture.WithdrawKey();
  }
  CHECK(fixture.forwards.empty());
  CHECK(fixture.code == ResultCode::kKeyWithdrawn);
}

}  // namespace goldcrest::entry
