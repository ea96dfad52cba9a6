#include "goldcrest/routing/endpoint_directory.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace goldcrest::routing {
namespace {

using MergeResult = EndpointDirectory::MergeResult;

messages::EndpointRecord Record(std::int64_t started, std::int64_t sequence) {
  messages::EndpointRecord record;
  record.endpoint = "e1";
  record.group = "g";
  record.address = "10.0.0.1:1";
  record.zone = "z";
  record.started_ms = started;
  record.sequence = sequence;
  return record;
}

constexpr Time kStart = TimeFromMicros(1'000'000);

}  // namespace

// Guards against a heartbeat that was delayed by a network partition and
// replaces a newer one.
TEST_CASE("An older record does not replace a newer one", "[routing]") {
  EndpointDirectory directory;
  auto primary = Record(100, 5);
  primary.primary = true;
  CHECK(directory.Apply(kStart, primary) == MergeResult::kChanged);
  CHECK(directory.Apply(kStart, Record(100, 4)) == MergeResult::kStale);
  CHECK(directory.Find("e1")->record.primary);

  SECTION("A restart under the same name begins a new sequence") {
    CHECK(directory.Apply(kStart, Record(200, 1)) == MergeResult::kChanged);
    CHECK_FALSE(directory.Find("e1")->record.primary);
    CHECK(directory.Apply(kStart, Record(100, 9)) == MergeResult::kStale);
  }
  SECTION("A record with only a newer sequence changes nothing") {
    auto again = primary;
    again.sequence = 6;
    CHECK(directory.Apply(kStart, again) == MergeResult::kRefreshed);
  }
  SECTION("A record with other slots is passed on") {
    auto again = primary;
    again.sequence = 6;
    again.slots = 4;
    CHECK(directory.Apply(kStart, again) == MergeResult::kChanged);
  }
  SECTION("An old heartbeat does not restore an endpoint that is gone") {
    auto gone = Record(100, 6);
    gone.gone = true;
    CHECK(directory.Apply(kStart, gone) == MergeResult::kChanged);
    CHECK(directory.Apply(kStart, Record(100, 6)) == MergeResult::kStale);
    CHECK(directory.MembersOf("g").empty());
  }
}

// Guards against crashed endpoints that stay in the directory.
TEST_CASE("An endpoint without recent records expires", "[routing]") {
  EndpointDirectory directory;
  directory.Apply(kStart, Record(100, 1));
  CHECK(directory.Expire(kStart, kStart).empty());
  CHECK(directory.Expire(kStart + Duration(1), kStart + Duration(1)).size() ==
        1);
  CHECK(directory.MembersOf("g").empty());
  CHECK(directory.Apply(kStart, Record(100, 2)) == MergeResult::kChanged);
  CHECK(directory.MembersOf("g").size() == 1);
}

}  // namespace goldcrest::routing
