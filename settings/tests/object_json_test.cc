#include "goldcrest/settings/object_json.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <string>
#include <vector>

namespace goldcrest::settings {
namespace {

using Errors = std::vector<std::string>;

const Errors kNoErrors;
const std::string kDigest(64, 'a');

}  // namespace

// Guards against a field that is lost or changed by encoding and decoding.
TEST_CASE("Objects of every kind have the same JSON after a round trip",
          "[settings]") {
  const std::string text =
      R"([{"kind":"customer","name":"brasserie","labels":{"tier":"gold"}},)"
      R"({"kind":"key","name":"van-1","revision":7,"labels":{"use":"van"},)"
      R"("customer":"brasserie","digest":")" +
      kDigest +
      R"("},{"kind":"endpoint","name":"db-1","labels":{"state":"leaving"}},)"
      R"({"kind":"access","name":"painters","callers":"tier=gold",)"
      R"("endpoints":"group=bookings","mode":"write","max_age_ms":500,)"
      R"("durability":"primary","open":false,"order":-1},)"
      R"({"kind":"quota","name":"gold","callers":"tier=gold","order":2,)"
      R"("rate":2.5E0,"burst":10.000001},)"
      R"({"kind":"objective","name":"all","callers":"","objective":9.99E-1,)"
      R"("latency_ms":200},)"
      R"({"kind":"quota","name":"old","deleted":true}])";
  Errors errors;
  const auto objects = ParseObjects(text, &errors);
  REQUIRE(errors == kNoErrors);
  CHECK(objects[4].rate_micros == 2'500'000);
  CHECK(objects[5].objective_ppm == 999'000);
  const auto again = ParseObjects(ToJson(objects), &errors);
  CHECK(errors == kNoErrors);
  CHECK(again == objects);
  CHECK(ToJson(objects[3]) ==
        R"({"kind":"access","name":"painters","callers":"tier=gold",)"
        R"("endpoints":"group=bookings","mode":"write","max_age_ms":500,)"
        R"("durability":"primary","open":false,"order":-1})");
  messages::Change change;
  change.change_id = "c-1";
  change.base_revision = 6;
  change.author = "secretary";
  change.objects = objects;
  CHECK(ParseChange(ToJson(change), &errors) == change);
  CHECK(errors == kNoErrors);
}

// Guards against reporting only the first error of a change.
TEST_CASE("All field errors of a change are listed", "[settings]") {
  Errors errors;
  ParseChange(R"({"base_revision":"x","objects":[3,{"name":"a"},
      {"kind":"quota","name":"","rate":-1,"mode":"read"},
      {"kind":"key","name":"k","digest":"AB","secret":"s","labels":{"a":1}},
      {"kind":"access","name":"r","open":"no","order":2147483648}]})",
              &errors);
  std::ifstream baseline(GOLDCREST_TEST_DATA "/object_errors.txt");
  Errors approved;
  for (std::string line; std::getline(baseline, line);)
    approved.push_back(line);
  CHECK(errors == approved);
}

}  // namespace goldcrest::settings
