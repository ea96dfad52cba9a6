#include "goldcrest/coordinator/member_table.h"

#include <catch2/catch.hpp>

namespace goldcrest::coordinator {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTimeout = milliseconds(500);

messages::EndpointInfo InfoOf(const std::string& name) {
  messages::EndpointInfo info;
  info.endpoint = name;
  info.incarnation = 1;
  return info;
}

MemberTable MakeThreeMemberTable() {
  MemberTable table;
  table.SetEndpoints({InfoOf("a"), InfoOf("b"), InfoOf("c")}, Time());
  return table;
}

}  // namespace

TEST_CASE("A promotion keeps every write that a majority held",
          "[coordinator][guarantee]") {
  // Guards against the loss of acknowledged writes. For each combination of
  // replica lag and one lost member, the chosen member must hold all writes
  // that were acknowledged while "a" was primary.
  const std::vector<std::int64_t> positions = {5, 8, 10};
  for (const std::int64_t b : positions) {
    for (const std::int64_t c : positions) {
      for (const char* lost : {"a", "b", "c", ""}) {
        CAPTURE(b, c, lost);
        MemberTable table = MakeThreeMemberTable();
        table.OnReport("a", 1, 1, 10, Time());
        table.OnReport("b", 1, 1, b, Time());
        table.OnReport("c", 1, 1, c, Time());
        std::int64_t acknowledged = 0;
        for (std::int64_t position = 1; position <= 10; ++position) {
          if (table.MajorityHolds(1, position))
            acknowledged = position;
        }
        const Time later = Time() + 2 * kTimeout;
        for (const char* name : {"a", "b", "c"}) {
          if (std::string(name) == lost)
            continue;
          const Member* member = table.Find(name);
          table.OnReport(name, 1, 1, member->position, later);
        }
        for (const char* excluded : {"", "a"}) {
          const auto chosen =
              table.ChoosePrimary(later, kTimeout, "a", excluded);
          if (chosen)
            CHECK(table.Find(*chosen)->position >= acknowledged);
        }
        CHECK(table.ChoosePrimary(later, kTimeout, "a", "").has_value());
      }
    }
  }
}

TEST_CASE("A longer log of an earlier term does not win a promotion",
          "[coordinator][guarantee]") {
  // Guards against promoting a returning old primary whose log, with its
  // unacknowledged writes, is longer than the log of its successor.
  MemberTable table = MakeThreeMemberTable();
  table.OnReport("a", 1, 1, 120, Time());
  table.OnReport("b", 2, 2, 110, Time());
  CHECK(table.ChoosePrimary(Time(), kTimeout, "", "") == "b");
}

TEST_CASE("One member of three is not enough for a promotion",
          "[coordinator][guarantee]") {
  MemberTable table = MakeThreeMemberTable();
  table.OnReport("b", 1, 1, 10, Time());
  CHECK_FALSE(table.ChoosePrimary(Time(), kTimeout, "", "").has_value());
}

TEST_CASE("A leaving member is promoted only if no other holds all writes",
          "[coordinator][guarantee]") {
  // Guards against promoting a leaving member without need, and against a group
  // that stays without a primary: "a" has failed after "a" and "b" acknowledged
  // a write.
  MemberTable table = MakeThreeMemberTable();
  messages::EndpointInfo leaving = InfoOf("b");
  leaving.leaving = true;
  table.SetEndpoints({InfoOf("a"), leaving, InfoOf("c")}, Time());
  table.OnReport("b", 1, 1, 10, Time());
  table.OnReport("c", 1, 1, 10, Time());
  CHECK(table.ChoosePrimary(Time(), kTimeout, "", "") == "c");
  table.OnReport("c", 1, 1, 9, Time());
  CHECK(table.ChoosePrimary(Time(), kTimeout, "", "") == "b");
}

TEST_CASE("Equal positions of an earlier term are not replicas of a write",
          "[coordinator][guarantee]") {
  MemberTable table = MakeThreeMemberTable();
  table.OnReport("a", 2, 2, 10, Time());
  table.OnReport("b", 2, 1, 10, Time());
  table.OnReport("c", 2, 1, 12, Time());
  CHECK_FALSE(table.MajorityHolds(2, 10));
}

TEST_CASE("A primary is isolated only if its replicas make no progress",
          "[coordinator]") {
  MemberTable table = MakeThreeMemberTable();
  table.SetPrimary("a", Time());
  const auto report = [&](milliseconds at, std::int64_t a, std::int64_t b) {
    const Time now = Time() + at;
    table.OnReport("a", 1, 1, a, now);
    table.OnReport("b", 1, 1, b, now);
  };
  report(milliseconds(0), 1, 1);

  SECTION("not if a replica has the whole log of an idle primary") {
    report(milliseconds(5000), 1, 1);
    CHECK_FALSE(table.PrimaryIsIsolated(Time() + milliseconds(5000), kTimeout));
    report(milliseconds(5010), 2, 1);
    CHECK_FALSE(table.PrimaryIsIsolated(Time() + milliseconds(5010), kTimeout));
  }
  SECTION("not if a slow replica advances") {
    report(milliseconds(100), 50, 1);
    report(milliseconds(400), 90, 2);
    CHECK_FALSE(table.PrimaryIsIsolated(Time() + milliseconds(800), kTimeout));
  }
  SECTION("if a replica stays behind without progress") {
    report(milliseconds(100), 50, 1);
    report(milliseconds(700), 90, 1);
    CHECK(table.PrimaryIsIsolated(Time() + milliseconds(700), kTimeout));
  }
}

}  // namespace goldcrest::coordinator
