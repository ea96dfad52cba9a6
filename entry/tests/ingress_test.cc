#include "goldcrest/entry/ingress.h"

#include <catch2/catch.hpp>

#include "goldcrest/types/digest.h"

namespace goldcrest::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An ingress whose coordinators the test answers for.
class Bench {
 public:
  Bench()
      : ingress_(&view_, &holder_, {}, [](std::size_t count) {
          return std::string(count, 'r');
        }) {
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
    Assign("e1", 1);
    ingress_.SetControlLease(kNever);
  }

  void Assign(const std::string& coordinator, std::int64_t epoch) {
    messages::GroupState group;
    group.group = "bookings";
    group.coordinator = coordinator;
    group.coordinator_epoch = epoch;
    group.revision = ++update_.groups_revision;
    update_.groups = {group};
    Update();
  }
  void WithdrawKey() {
    messages::Object& key = update_.objects[1];
    key.deleted = true;
    key.revision = update_.revision = 2;
    Update();
  }
  void Update() {
    view_.Merge(update_);
    Take(ingress_.OnViewChange(now));
  }
  void Write(const std::string& request_id) {
    CallerRequest request;
    request.id = 1;
    request.operation = messages::Operation::WRITE;
    request.key_digest = Sha256("key");
    request.group = "bookings";
    request.statement = "set a 1";
    request.request_id = request_id;
    request.timeout = seconds(1);
    Take(ingress_.OnRequest(request, now));
  }
  void Respond(const std::string& from, ResultCode code) {
    messages::ForwardResponse response;
    response.id = 1;
    response.code = ToNumber(code);
    Take(ingress_.OnResponse(from, response, now));
  }
  void Tick(Duration after) {
    now += after;
    Take(ingress_.Tick(now));
  }
  void Limit(std::int64_t rate_micros) {
    holder_.SetLimit("town-hall", quota::Limit{rate_micros, rate_micros});
  }

  Time now = Time(seconds(1));
  std::vector<std::string> forwards;  // to these coordinators
  std::optional<ResultCode> code;     // of the answer

 private:
  void Take(const IngressEffects& effects) {
    for (const auto& [to, forward] : effects.forwards)
      forwards.push_back(to);
    for (const CallerAnswer& answer : effects.answers)
      code = answer.code;
  }

  messages::ControlUpdate update_;
  View view_;
  quota::Holder holder_;
  Ingress ingress_;
};

}  // namespace

TEST_CASE("A second coordinator's refusal is not the truth about the first",
          "[entry][guarantee]") {
  // Guards against "not run" for a write that the first coordinator sent.
  Bench bench;
  bench.Write("w1");
  bench.Assign("e2", 2);
  REQUIRE(bench.forwards == std::vector<std::string>{"e1", "e2"});

  SECTION("when the second one refuses") {
    bench.Respond("e2", ResultCode::kQueueFull);
    CHECK(bench.code == ResultCode::kOutcomeUnknown);
  }
  SECTION("when no other coordinator takes it by its deadline") {
    bench.Respond("e2", ResultCode::kCoordinatorMoved);
    bench.Assign("", 3);
    bench.Tick(seconds(1));
    CHECK(bench.code == ResultCode::kOutcomeUnknown);
  }
  SECTION("a late answer of the first one is for nobody") {
    bench.Respond("e1", ResultCode::kOk);
    CHECK(!bench.code);
  }
}

TEST_CASE("A write without an id goes to one coordinator only",
          "[entry][guarantee]") {
  Bench bench;
  bench.Write("");
  bench.Assign("e2", 2);
  CHECK(bench.forwards == std::vector<std::string>{"e1"});
  CHECK(bench.code == ResultCode::kOutcomeUnknown);
}

TEST_CASE("A request that waits at the edge ends with its key",
          "[entry][guarantee]") {
  Bench bench;
  SECTION("while it waits for a coordinator") {
    bench.Assign("", 2);
    bench.Write("w1");
    bench.WithdrawKey();
  }
  SECTION("while it waits for its customer's rate") {
    bench.Limit(1'000'000);
    bench.Write("w1");
    CHECK(!bench.code);
    bench.WithdrawKey();
  }
  CHECK(bench.forwards.empty());
  CHECK(bench.code == ResultCode::kKeyWithdrawn);
}

}  // namespace goldcrest::entry
