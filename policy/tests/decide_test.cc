#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "goldcrest/policy/configuration.h"
#include "tests/objects.h"

namespace goldcrest::policy {
namespace {

using messages::AccessMode;
using messages::Object;
using messages::ObjectKind;
using Names = std::vector<std::string>;

const std::vector<messages::EndpointInfo> kEndpoints = {
    Endpoint("db-1", "bookings", "ant"), Endpoint("db-2", "bookings", "gent"),
    Endpoint("db-9", "farm", "ant")};

Object WithEndpoints(Object access, const std::string& endpoints) {
  access.__set_endpoints(endpoints);
  return access;
}

Object Open(Object access) {
  access.__set_open(true);
  return access;
}

}  // namespace

TEST_CASE("The first rule by order and name that matches an endpoint applies",
          "[policy]") {
  Configuration configuration;
  Object stale = Access("stale", "tier=gold", AccessMode::READ, 1);
  stale.__set_max_age_ms(30'000);
  stale.__set_durability(messages::Durability::PRIMARY);
  MustApply(
      configuration,
      {Customer("a", {{"tier", "gold"}}), Key("k1", "a"),
       Key("k2", "a", {{"tier", "free"}}), stale,
       WithEndpoints(Access("far", "", AccessMode::READ, 0), "zone=luik"),
       WithEndpoints(Access("b", "", AccessMode::WRITE, 2), "disk=ssd"),
       WithEndpoints(Access("c", "", AccessMode::WRITE, 2), "endpoint!=db-1"),
       MakeObject(ObjectKind::ENDPOINT, "db-1", {{"disk", "ssd"}})});

  const AccessDecision read = Decide(configuration, "k1", false, kEndpoints);
  CHECK(read.code == ResultCode::kOk);
  CHECK(read.customer == "a");
  CHECK(read.key_name == "k1");
  CHECK(read.rule == "stale");
  CHECK(read.max_age == std::chrono::seconds(30));
  CHECK(read.durability == messages::Durability::PRIMARY);
  CHECK(read.endpoints == Names{"db-1", "db-2"});

  // The key's label hides the customer's label of the same name.
  const AccessDecision free = Decide(configuration, "k2", false, kEndpoints);
  CHECK(free.rule == "b");
  CHECK_FALSE(free.max_age);
  CHECK(free.endpoints == Names{"db-1"});

  // A rule for reads does not match a write.
  CHECK(Decide(configuration, "k1", true, kEndpoints).rule == "b");

  MustApply(configuration, {Deleted(ObjectKind::ENDPOINT, "db-1")});
  CHECK(Decide(configuration, "k1", true, kEndpoints).rule == "c");

  Object reordered = Access("c", "", AccessMode::WRITE, -1);
  MustApply(configuration, {reordered});
  CHECK(Decide(configuration, "k1", false, kEndpoints).rule == "c");
  MustApply(configuration, {Deleted(ObjectKind::ACCESS, "c")});
  CHECK(Decide(configuration, "k1", true, kEndpoints).code ==
        ResultCode::kNoAccess);
}

// Guards against a rule that is not open admitting a caller without a valid
// key.
TEST_CASE("Without a key only open rules match", "[policy][guarantee]") {
  Configuration configuration;
  MustApply(configuration, {Customer("a"), Key("k1", "a"),
                            Access("keyed", "", AccessMode::WRITE, 0)});
  CHECK(Decide(configuration, "", false, kEndpoints).code ==
        ResultCode::kKeyMissing);

  MustApply(configuration, {Open(Access("open", "", AccessMode::READ, 1))});
  const AccessDecision open = Decide(configuration, "", false, kEndpoints);
  CHECK(open.code == ResultCode::kOk);
  CHECK(open.rule == "open");
  CHECK(open.customer.empty());
  CHECK(Decide(configuration, "", true, kEndpoints).code ==
        ResultCode::kKeyMissing);
  CHECK(Decide(configuration, "k1", false, kEndpoints).rule == "keyed");
  CHECK(Decide(configuration, "wrong", false, kEndpoints).code ==
        ResultCode::kKeyUnknown);
  MustApply(configuration, {Deleted(ObjectKind::KEY, "k1")});
  CHECK(Decide(configuration, "k1", false, kEndpoints).code ==
        ResultCode::kKeyWithdrawn);
}

// Guards against a withdrawn key being reported as unknown, or being accepted
// again after a restart.
TEST_CASE("A withdrawn key is refused as withdrawn, also after a restart",
          "[policy][guarantee]") {
  Configuration configuration;
  MustApply(configuration, {Customer("a"), Key("k1", "a"), Key("k2", "a"),
                            Access("all", "", AccessMode::WRITE)});
  REQUIRE(configuration.KeyInForce("k1"));
  MustApply(configuration, {Deleted(ObjectKind::KEY, "k1")});
  Configuration restarted;
  restarted.Load(configuration.Save());
  for (const Configuration* copy : {&configuration, &restarted}) {
    CHECK_FALSE(copy->KeyInForce("k1"));
    CHECK(copy->KeyInForce("k2"));
    CHECK(Decide(*copy, "k1", true, kEndpoints).code ==
          ResultCode::kKeyWithdrawn);
    CHECK(Decide(*copy, "k2", true, kEndpoints).code == ResultCode::kOk);
  }
  CHECK_FALSE(configuration.KeyInForce("never-issued"));
}

// Guards against a request running for the key's previous customer.
TEST_CASE("A key moved to another customer is valid for that customer only",
          "[policy][guarantee]") {
  Configuration configuration;
  MustApply(configuration, {Customer("a"), Customer("b"), Key("k1", "a"),
                            Access("only-a", "customer=a", AccessMode::WRITE)});
  REQUIRE(configuration.KeyInForceFor("k1", "a"));
  REQUIRE(Decide(configuration, "k1", true, kEndpoints).code ==
          ResultCode::kOk);
  MustApply(configuration, {Key("k1", "b")});
  CHECK_FALSE(configuration.KeyInForceFor("k1", "a"));
  CHECK(configuration.KeyInForceFor("k1", "b"));
  const AccessDecision moved = Decide(configuration, "k1", true, kEndpoints);
  CHECK(moved.code == ResultCode::kNoAccess);
  CHECK(moved.customer == "b");
  // The previous customer has no keys any more, so it can be deleted.
  MustApply(configuration, {Deleted(ObjectKind::CUSTOMER, "a")});
  CHECK(configuration.KeyInForce("k1"));
}

// Guards against a label that replaces a built-in one. Merge() does not check
// objects, so an update of another version can carry such a label.
TEST_CASE("A built-in label can't be replaced by an operator's label",
          "[policy][guarantee]") {
  Configuration entry;
  Object key = Key("k1", "b", {{"customer", "a"}});
  REQUIRE(entry.Merge(
      {Customer("b"), key, Access("only-a", "customer=a", AccessMode::WRITE)},
      1));
  CHECK(Decide(entry, "k1", true, kEndpoints).code == ResultCode::kNoAccess);
}

TEST_CASE("A rule whose selector can't be parsed matches nothing", "[policy]") {
  Configuration entry;
  REQUIRE(entry.Merge({Customer("a"), Key("k1", "a"),
                       Access("bad", "tier >= 3", AccessMode::WRITE)},
                      1));
  CHECK(Decide(entry, "k1", true, kEndpoints).code == ResultCode::kNoAccess);
}

TEST_CASE("A customer's quota comes from the first rule for its labels",
          "[policy]") {
  Configuration configuration;
  MustApply(configuration,
            {Customer("a", {{"tier", "gold"}}), Customer("b"),
             Quota("z-gold", "tier=gold", 50, 1), Quota("rest", "", 5, 2),
             Quota("by-key", "key", 900, 0), Key("k1", "a")});
  CHECK(configuration.QuotaOf("a") ==
        QuotaLimit{50'000'000, 50'000'000, "z-gold"});
  CHECK(configuration.QuotaOf("b") == QuotaLimit{5'000'000, 5'000'000, "rest"});
  MustApply(configuration, {Quota("only-b", "customer=b", 7, 0)});
  CHECK(configuration.QuotaOf("b")->rule == "only-b");
  CHECK_FALSE(configuration.QuotaOf("nobody"));
}

TEST_CASE("A dry run reports the effects of a change and changes nothing",
          "[policy]") {
  Configuration configuration;
  MustApply(configuration,
            {Customer("a", {{"tier", "gold"}}), Customer("b"), Key("k1", "a"),
             Key("k2", "b"), Key("k3", "b"),
             WithEndpoints(Access("gold", "tier=gold", AccessMode::WRITE),
                           "disk=ssd"),
             Quota("rest", "", 5),
             MakeObject(ObjectKind::ENDPOINT, "db-1", {{"disk", "ssd"}})});
  const ConfigurationState before = configuration.Save();
  const auto dry_run = [&](const std::vector<Object>& objects) {
    return configuration.DryRun(MakeChange("d", 1, objects), kEndpoints);
  };
  SECTION("a rule for one customer") {
    const DryRunReport report =
        dry_run({Access("b", "customer=b", AccessMode::READ)});
    CHECK(report.result.code == ToNumber(ResultCode::kOk));
    CHECK(report.customers == Names{"b"});
    CHECK(report.keys == Names{"k2", "k3"});
    CHECK(report.endpoints == Names{"db-1", "db-2", "db-9"});
    CHECK_FALSE(report.callers_without_key);
  }
  SECTION("a quota, an open route and a leaving endpoint") {
    const DryRunReport report =
        dry_run({Quota("gold", "tier=gold", 9, -1),
                 WithEndpoints(Open(Access("o", "!customer", AccessMode::READ)),
                               "group=farm"),
                 MakeObject(ObjectKind::ENDPOINT, "db-1",
                            {{"disk", "ssd"}, {"state", "leaving"}})});
    CHECK(report.customers == Names{"a"});
    CHECK(report.keys.empty());
    CHECK(report.endpoints == Names{"db-1", "db-9"});
    CHECK(report.callers_without_key);
  }
  SECTION("a withdrawn key, without any endpoint") {
    const DryRunReport report = configuration.DryRun(
        MakeChange("d", 1, {Deleted(ObjectKind::KEY, "k3")}), {});
    CHECK(report.keys == Names{"k3"});
    CHECK(report.customers == Names{"b"});
  }
  SECTION("a refused change") {
    const DryRunReport report = dry_run({Key("k4", "nobody")});
    CHECK(report.result.code == ToNumber(ResultCode::kUnknownReference));
    CHECK(report.keys.empty());
  }
  CHECK(configuration.Save() == before);
}

TEST_CASE("An endpoint is leaving when its operator label says so",
          "[policy][guarantee]") {
  Configuration configuration;
  const auto label = [&](const std::string& state) {
    MustApply(configuration,
              {MakeObject(ObjectKind::ENDPOINT, "db-1", {{"state", state}})});
  };
  CHECK_FALSE(configuration.EndpointLeaving("db-1"));
  label("leaving");
  CHECK(configuration.EndpointLeaving("db-1"));
  label("in-service");
  CHECK_FALSE(configuration.EndpointLeaving("db-1"));
}

}  // namespace goldcrest::policy
