#include <catch2/catch.hpp>
#include <string>

#include "goldcrest/policy/change_history.h"
#include "goldcrest/policy/configuration.h"
#include "tests/objects.h"

namespace goldcrest::policy {
namespace {

using messages::AccessMode;
using messages::Change;
using messages::ChangeResult;
using messages::Object;
using messages::ObjectKind;

int Code(ResultCode code) {
  return ToNumber(code);
}

}  // namespace

// Guards against two operators silently overwriting each other.
TEST_CASE("Of two changes based on one revision, the second is refused",
          "[policy][guarantee]") {
  Configuration configuration;
  MustApply(configuration, {Customer("atelier-gent")});
  const Change first = MakeChange("c1", 1, {Customer("a")}, "imke");
  const Change second = MakeChange("c2", 1, {Customer("b")}, "joris");
  CHECK(configuration.Apply(first).code == Code(ResultCode::kOk));
  const ChangeResult lost = configuration.Apply(second);
  CHECK(lost.code == Code(ResultCode::kRevisionConflict));
  CHECK(lost.revision == 2);
  CHECK(lost.message ==
        "based on revision 1, but change 'c1' by 'imke' is revision 2; the "
        "current one is 2");
  CHECK_FALSE(configuration.Find(ObjectKind::CUSTOMER, "b"));

  SECTION("after a restart and later changes") {
    MustApply(configuration, {Customer("d")});
    Configuration restarted;
    restarted.Load(configuration.Save());
    const ChangeResult late =
        restarted.Apply(MakeChange("c3", 1, {Customer("e")}, "joris"));
    CHECK(late.message ==
          "based on revision 1, but change 'c1' by 'imke' is revision 2; the "
          "current one is 3");
  }
  SECTION("a base revision that does not exist yet is also a conflict") {
    CHECK(configuration.Apply(MakeChange("c4", 3, {Customer("e")})).code ==
          Code(ResultCode::kRevisionConflict));
  }
}

// Guards against a change that is sent again after a lost answer being refused
// or applied twice.
TEST_CASE("A resent change gets the first answer", "[policy][guarantee]") {
  Configuration configuration;
  const Change change = MakeChange("c1", 0, {Customer("a")});
  const ChangeResult first = configuration.Apply(change);
  REQUIRE(first.code == Code(ResultCode::kOk));
  MustApply(configuration, {Customer("a", {{"tier", "gold"}})});

  SECTION("while the process runs") {
    CHECK(configuration.Apply(change) == first);
  }
  SECTION("after a restart from a snapshot") {
    Configuration restarted;
    restarted.Load(configuration.Save());
    CHECK(restarted.Save() == configuration.Save());
    CHECK(restarted.Apply(change) == first);
    configuration = restarted;
  }
  CHECK(configuration.Revision() == 2);
  CHECK(configuration.Find(ObjectKind::CUSTOMER, "a")->labels.size() == 1);
}

TEST_CASE("A change id with other content is refused", "[policy]") {
  Configuration configuration;
  const Change change = MakeChange("c1", 0, {Customer("a")});
  REQUIRE(configuration.Apply(change).code == Code(ResultCode::kOk));
  CHECK(configuration.Apply(MakeChange("c1", 1, {Customer("b")})).code ==
        Code(ResultCode::kChangeIdReused));
  CHECK(configuration.Apply(MakeChange("c1", 0, {Customer("a")}, "x")).code ==
        Code(ResultCode::kChangeIdReused));
}

// Guards against a refused change being applied when a delayed copy of it
// arrives.
TEST_CASE("A refused change stays refused when it is resent",
          "[policy][guarantee]") {
  Configuration configuration;
  const Change early = MakeChange("c1", 1, {Customer("a")});
  const ChangeResult refused = configuration.Apply(early);
  REQUIRE(refused.code == Code(ResultCode::kRevisionConflict));
  MustApply(configuration, {Customer("b")});
  CHECK(configuration.Apply(early) == refused);
  CHECK_FALSE(configuration.Find(ObjectKind::CUSTOMER, "a"));
}

TEST_CASE("The results of the last 10,000 changes are stored, and no more",
          "[policy]") {
  ChangeHistory history;
  for (std::size_t i = 1; i <= ChangeHistory::kCapacity + 1; ++i) {
    messages::AppliedChange change;
    change.change_id = std::to_string(i);
    change.result.revision = static_cast<std::int64_t>(i);
    // The oldest stored result is a refusal.
    change.result.code = i == 2 ? Code(ResultCode::kRevisionConflict) : 0;
    history.Add(change);
  }
  CHECK(history.Find("1") == nullptr);
  REQUIRE(history.Find("2") != nullptr);
  CHECK(history.Find("2")->result.revision == 2);
  CHECK(history.Find("10001")->result.revision == 10001);
  CHECK(history.FirstAcceptedAfter(0)->change_id == "3");
  CHECK(history.FirstAcceptedAfter(5000)->change_id == "5001");
  CHECK(history.FirstAcceptedAfter(10001) == nullptr);
  CHECK(history.All().size() == ChangeHistory::kCapacity);
}

TEST_CASE("A change that differs in nothing is accepted and changes no object",
          "[policy]") {
  Configuration configuration;
  MustApply(configuration, {Customer("a")});
  const ChangeResult result =
      configuration.Apply(MakeChange("c1", 1, {Customer("a")}));
  CHECK(result.code == Code(ResultCode::kOk));
  CHECK(result.revision == 2);
  CHECK(configuration.ChangedSince(1).empty());
}

TEST_CASE("A change with one invalid object changes nothing", "[policy]") {
  Configuration configuration;
  MustApply(configuration, {Customer("a"), Key("k1", "a"), Key("k0", "a")});
  MustApply(configuration, {Deleted(ObjectKind::KEY, "k0")});
  const ConfigurationState before = configuration.Save();

  Object no_customer = Key("k2", "nobody");
  Object short_digest = Key("k2", "a");
  short_digest.__set_digest("short");
  Object same_digest = Key("k2", "a");
  same_digest.__set_digest(Sha256("k1"));
  Object other_digest = Key("k1", "a");
  other_digest.__set_digest(Sha256("k2"));
  Object withdrawn_digest = Key("k2", "a");
  withdrawn_digest.__set_digest(Sha256("k0"));
  Object no_mode = Access("r", "", AccessMode::READ);
  no_mode.__isset.mode = false;
  Object bad_mode = Access("r", "", static_cast<AccessMode::type>(3));
  Object no_age = Access("r", "", AccessMode::READ);
  no_age.__set_max_age_ms(0);
  Object no_burst = Quota("q", "", 1);
  no_burst.__set_burst_micros(999'999);
  Object quota_mode = Quota("q", "", 1);
  quota_mode.__set_mode(AccessMode::READ);
  Object objective = MakeObject(ObjectKind::OBJECTIVE, "o");
  objective.__set_objective_ppm(1'000'000);
  objective.__set_latency_ms(100);
  Labels many;
  for (int i = 0; i < 33; ++i)
    many["l" + std::to_string(i)] = "x";

  const std::vector<std::tuple<Object, ResultCode, std::string>> cases = {
      {no_customer, ResultCode::kUnknownReference,
       "key 'k2': field 'customer': there is no such customer"},
      {Deleted(ObjectKind::KEY, "k9"), ResultCode::kUnknownReference,
       "key 'k9': field 'name': there is no such object to delete"},
      {Deleted(ObjectKind::CUSTOMER, "a"), ResultCode::kUnknownReference,
       "key 'k1': field 'customer': the change deletes this customer but not "
       "its key"},
      {short_digest, ResultCode::kInvalidObject,
       "key 'k2': field 'digest': must have 32 bytes"},
      {same_digest, ResultCode::kInvalidObject,
       "key 'k2': field 'digest': belongs to key 'k1'"},
      {other_digest, ResultCode::kInvalidObject,
       "key 'k1': field 'digest': can't be changed; issue a new key"},
      {withdrawn_digest, ResultCode::kInvalidObject,
       "key 'k2': field 'digest': belongs to the withdrawn key 'k0'"},
      {Key("k0", "a"), ResultCode::kInvalidObject,
       "key 'k0': field 'name': belongs to a withdrawn key"},
      {no_mode, ResultCode::kInvalidObject,
       "access 'r': field 'mode': is missing"},
      {bad_mode, ResultCode::kInvalidObject,
       "access 'r': field 'mode': must be from 1 to 2"},
      {no_age, ResultCode::kInvalidObject,
       "access 'r': field 'max_age_ms': must be from 1 to 604800000"},
      {no_burst, ResultCode::kInvalidObject,
       "quota 'q': field 'burst_micros': must be from 1000000 to "
       "1000000000000000"},
      {quota_mode, ResultCode::kInvalidObject,
       "quota 'q': field 'mode': does not belong to this kind"},
      {objective, ResultCode::kInvalidObject,
       "objective 'o': field 'objective_ppm': must be from 1 to 999999"},
      {Access("r", "tier=", AccessMode::READ), ResultCode::kInvalidObject,
       "access 'r': field 'callers': at position 5: expected a label value"},
      {Customer("A b\n"), ResultCode::kInvalidObject,
       "customer 'A b?': field 'name': must be 1 to 63 bytes of [a-z0-9._-]"},
      {Customer("c", {{"key", "x"}}), ResultCode::kInvalidObject,
       "customer 'c': field 'labels': 'key' is built in"},
      {Customer("c", many), ResultCode::kInvalidObject,
       "customer 'c': field 'labels': has more than 32 labels"},
      {Customer("b"), ResultCode::kInvalidObject,
       "customer 'b': field 'name': is in the change twice"},
      {MakeObject(static_cast<ObjectKind::type>(7), "x"),
       ResultCode::kInvalidObject,
       "object of unknown kind 'x': field 'kind': is unknown"},
  };
  int number = 0;
  for (const auto& [object, code, message] : cases) {
    const ChangeResult result = configuration.Apply(MakeChange(
        "bad-" + std::to_string(++number), 2, {Customer("b"), object}));
    CHECK(result.message == message);
    CHECK(result.code == Code(code));
    CHECK(result.revision == 2);
  }
  CHECK(configuration.Save().objects == before.objects);
  CHECK(configuration.Revision() == 2);
}

TEST_CASE("A change without a valid id or without objects is refused",
          "[policy]") {
  Configuration configuration;
  for (const std::string& id :
       {std::string(), std::string(129, 'x'), std::string("a\nb")}) {
    CHECK(configuration.Apply(MakeChange(id, 0, {Customer("a")})).code ==
          Code(ResultCode::kInvalidField));
  }
  CHECK(configuration.Apply(MakeChange("c1", 0, {})).code ==
        Code(ResultCode::kInvalidField));
  CHECK(configuration.Revision() == 0);
}

TEST_CASE("A customer and its keys can be deleted and moved in one change",
          "[policy]") {
  Configuration configuration;
  MustApply(configuration, {Key("k1", "a"), Customer("a"), Key("k2", "a")});
  MustApply(configuration,
            {Deleted(ObjectKind::CUSTOMER, "a"), Deleted(ObjectKind::KEY, "k1"),
             Customer("b"), Key("k2", "b")});
  CHECK(configuration.Objects(ObjectKind::CUSTOMER).size() == 1);
  CHECK(configuration.Find(ObjectKind::KEY, "k2")->customer == "b");
}

}  // namespace goldcrest::policy
