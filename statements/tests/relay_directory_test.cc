#include "goldcrest/statements/relay_directory.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;

const Time kStart = TimeFromMicros(1'000'000);

std::string NameOfRelay(int number) {
  return "10.0.0." + std::to_string(number) + ":1";
}

RelayDirectory MakeDirectory(const std::string& self, int relays) {
  RelayDirectory directory(self);
  for (int i = 0; i < relays; ++i) {
    messages::RelayInstance relay;
    relay.instance = NameOfRelay(i);
    relay.zone = "z1";
    relay.available = true;
    directory.OnRelay(relay);
    directory.OnLink(kStart, relay.instance, true);
  }
  return directory;
}

}  // namespace

// Load: dozens of entries that each see the operations of all customers. A
// choice of their own would open a connection for each of them.
TEST_CASE(
    "All entries choose the same relay for a customer, spread over relays",
    "[statements]") {
  RelayDirectory first = MakeDirectory(NameOfRelay(0), 17);
  RelayDirectory second = MakeDirectory("without a relay", 17);
  std::map<std::string, int> customers;
  for (int i = 0; i < 340; ++i) {
    const std::string customer = "customer" + std::to_string(i);
    const std::string relay = first.Choose(kStart, customer, "z1");
    CHECK(second.Choose(kStart, customer, "z1") == relay);
    ++customers[relay];
  }
  CHECK(customers.size() == 17);
  for (const auto& [relay, count] : customers)
    CHECK(count < 50);  // 20 on average
  CHECK(first.Choose(kStart, "customer", "z2").empty());
}

TEST_CASE("A relay without a link is passed over and wanted", "[statements]") {
  RelayDirectory directory = MakeDirectory("self", 5);
  const std::string preferred = directory.Choose(kStart, "customer", "z1");
  directory.OnLink(kStart, preferred, false);
  const std::string next = directory.Choose(kStart, "customer", "z1");
  CHECK(next != preferred);
  CHECK_FALSE(next.empty());
  CHECK(directory.Wanted() == std::set<std::string>{preferred});
  directory.OnLink(kStart, preferred, true);
  CHECK(directory.Choose(kStart, "customer", "z1") == preferred);
}

// Guards against operations that wait for a frozen relay until their deadlines.
TEST_CASE("A relay that owes an answer is probed, then passed over",
          "[statements]") {
  RelayDirectory directory = MakeDirectory("self", 2);
  const std::string relay = directory.Choose(kStart, "customer", "z1");
  directory.OnOperationStarted(kStart, relay);
  CHECK(directory.TakeProbesDue(kStart + milliseconds(249)).empty());
  CHECK(directory.TakeProbesDue(kStart + milliseconds(250)).size() == 1);
  CHECK(directory.TakeProbesDue(kStart + milliseconds(300)).empty());

  SECTION("An answer to the probe keeps it in use") {
    directory.OnHeard(kStart + milliseconds(260), relay);
    CHECK(directory.TakeUnresponsive(kStart + milliseconds(500)).empty());
    CHECK(directory.Choose(kStart + milliseconds(500), "customer", "z1") ==
          relay);
  }
  SECTION("Silence ends its use until it is heard again") {
    CHECK(directory.TakeUnresponsive(kStart + milliseconds(500)).size() == 1);
    CHECK(directory.Choose(kStart + milliseconds(500), "customer", "z1") !=
          relay);
    directory.OnHeard(kStart + milliseconds(900), relay);
    CHECK(directory.Choose(kStart + milliseconds(900), "customer", "z1") ==
          relay);
  }
}

TEST_CASE("An idle relay is not probed", "[statements]") {
  RelayDirectory directory = MakeDirectory("self", 2);
  const std::string relay = directory.Choose(kStart, "customer", "z1");
  directory.OnOperationStarted(kStart, relay);
  directory.OnOperationEnded(relay);
  CHECK(directory.TakeProbesDue(kStart + std::chrono::seconds(10)).empty());
}

}  // namespace goldcrest::statements
