#include <algorithm>
#include <catch2/catch.hpp>

#include "goldcrest/policy/configuration.h"
#include "tests/objects.h"

namespace goldcrest::policy {
namespace {

using messages::AccessMode;
using messages::Object;
using messages::ObjectKind;

const std::vector<messages::EndpointInfo> kEndpoints = {
    Endpoint("db-1", "bookings", "ant")};

}  // namespace

// Guards against a delayed update making a withdrawn key valid again.
TEST_CASE("Merging older data never brings a withdrawn key back",
          "[policy][guarantee]") {
  Configuration control;
  MustApply(control, {Customer("a"), Key("k1", "a"),
                      Access("all", "", AccessMode::WRITE)});
  const std::vector<Object> old_data = control.ChangedSince(0);
  MustApply(control, {Deleted(ObjectKind::KEY, "k1")});
  Configuration entry;
  REQUIRE(entry.Merge(old_data, 1));
  REQUIRE(entry.KeyInForce("k1"));
  REQUIRE(entry.Merge(control.ChangedSince(1), 2));
  CHECK_FALSE(entry.KeyInForce("k1"));

  SECTION("with the older revision") {
    CHECK_FALSE(entry.Merge(old_data, 1));
  }
  SECTION("with the current revision") {
    CHECK(entry.Merge(old_data, 2));
  }
  SECTION("with a higher revision") {
    CHECK(entry.Merge(old_data, 3));
  }
  CHECK(entry.Revision() >= 2);
  CHECK_FALSE(entry.KeyInForce("k1"));
  CHECK(Decide(entry, "k1", true, kEndpoints).code ==
        ResultCode::kKeyWithdrawn);
}

// Guards against a process that missed changes regarding itself as up to date.
TEST_CASE("Changes after a revision that was not reached are not merged",
          "[policy][guarantee]") {
  Configuration control;
  MustApply(control, {Customer("a"), Key("k1", "a")});
  MustApply(control, {Deleted(ObjectKind::KEY, "k1")});
  MustApply(control, {Customer("b")});
  Configuration restarted;
  CHECK_FALSE(restarted.Merge(control.ChangedSince(2), 3, 2));
  CHECK(restarted.Revision() == 0);
  CHECK(restarted.Merge(control.ChangedSince(0), 3, 0));
  CHECK(restarted.Save().objects == control.Save().objects);
}

// Guards against an entry whose state differs from control's after it has
// missed hundreds of changes.
TEST_CASE("An entry that merges at intervals reaches control's state",
          "[policy]") {
  Configuration control;
  Configuration entry;
  Configuration late;
  for (int i = 0; i < 300; ++i) {
    const std::string name = "c" + std::to_string(i % 7);
    if (i % 5 == 4 && control.Find(ObjectKind::CUSTOMER, name)) {
      MustApply(control, {Deleted(ObjectKind::CUSTOMER, name)});
    } else {
      MustApply(control, {Customer(name, {{"i", std::to_string(i)}}),
                          Quota("q", "i=" + std::to_string(i), 5, i % 3)});
    }
    if (i % 9 == 0)
      REQUIRE(entry.Merge(control.ChangedSince(entry.Revision()), i + 1));
  }
  REQUIRE(entry.Merge(control.ChangedSince(entry.Revision()), 300));
  REQUIRE(late.Merge(control.ChangedSince(0), 300));
  for (const Configuration* copy : {&entry, &late}) {
    CHECK(copy->Save().objects == control.Save().objects);
    for (int c = 0; c < 7; ++c) {
      const std::string name = "c" + std::to_string(c);
      CHECK(copy->QuotaOf(name) == control.QuotaOf(name));
    }
  }
  CHECK(control.QuotaOf("c4").has_value());
}

}  // namespace goldcrest::policy
