#include "goldcrest/routing/endpoint_record.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

namespace goldcrest::routing {
namespace {

messages::EndpointRecord Record(const std::string& address) {
  messages::EndpointRecord record;
  record.endpoint = "e1";
  record.group = "g";
  record.address = address;
  return record;
}

}  // namespace

// Guards against a record that no connection can be opened to, which another
// writer left or an older release has logged.
TEST_CASE("A record without an address to connect to names no endpoint",
          "[routing][guarantee]") {
  CHECK(FindRecordProblem(Record("10.0.0.1:1")).empty());
  CHECK(FindRecordProblem(Record("10.0.0.1:65535")).empty());
  CHECK(FindRecordProblem(Record("fd00::1:8080")).empty());
  const std::string address = GENERATE(
      as<std::string>(), "", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0",
      "10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:+80",
      "10.0.0.1:80x", "10.0.0.1: 80", "10.0.0.1:eighty", ":8080", "host:8080",
      "10.0.0.256:80", "10.0.0.1\r\n:80", "10.0.0.1:18446744073709551617");
  INFO(address);
  CHECK_FALSE(FindRecordProblem(Record(address)).empty());
}

// Guards against names that break out of the line in which they are sent.
TEST_CASE("A record whose names are not single fields names no endpoint",
          "[routing][guarantee]") {
  const std::string name =
      GENERATE(as<std::string>(), "", " ", "a b", "a\r\nQUERY", "a\x7f");
  auto record = Record("10.0.0.1:1");
  record.endpoint = name;
  CHECK_FALSE(FindRecordProblem(record).empty());
  record = Record("10.0.0.1:1");
  record.group = name;
  CHECK_FALSE(FindRecordProblem(record).empty());
}

TEST_CASE("A record with a negative number names no endpoint", "[routing]") {
  auto record = Record("10.0.0.1:1");
  std::int64_t& number =
      *GENERATE_REF(&record.sequence, &record.started_ms, &record.epoch);
  number = -1;
  CHECK_FALSE(FindRecordProblem(record).empty());
}

}  // namespace goldcrest::routing
