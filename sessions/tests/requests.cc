#include "tests/requests.h"

#include <catch2/catch.hpp>

#include "goldcrest/sessions/golden.h"
#include "goldcrest/types/digest.h"

namespace goldcrest::sessions {
namespace {

// Quotas are configured in millionths of a request.
constexpr std::int64_t kMicrosPerUnit = 1'000'000;

messages::Object Access(const std::string& name,
                        messages::AccessMode::type mode,
                        int order) {
  messages::Object access;
  access.kind = messages::ObjectKind::ACCESS;
  access.name = name;
  access.__set_callers("plan");
  access.__set_endpoints("group=bookings");
  access.__set_mode(mode);
  access.__set_durability(messages::Durability::MAJORITY);
  access.__set_order(order);
  if (mode == messages::AccessMode::READ)
    access.__set_max_age_ms(10'000);
  return access;
}

}  // namespace

messages::Object Customer(const std::string& name, const std::string& plan) {
  messages::Object customer;
  customer.kind = messages::ObjectKind::CUSTOMER;
  customer.name = name;
  customer.labels["plan"] = plan;
  return customer;
}

messages::Object Key(const std::string& name,
                     const std::string& customer,
                     const std::string& text) {
  messages::Object key;
  key.kind = messages::ObjectKind::KEY;
  key.name = name;
  key.__set_customer(customer);
  key.__set_digest(Sha256(text));
  return key;
}

messages::Object KeyWithdrawal(const std::string& name) {
  messages::Object key;
  key.kind = messages::ObjectKind::KEY;
  key.name = name;
  key.deleted = true;
  return key;
}

messages::Object Quota(const std::string& plan, int rate, int burst) {
  messages::Object quota;
  quota.kind = messages::ObjectKind::QUOTA;
  quota.name = plan;
  quota.__set_callers("plan=" + plan);
  quota.__set_rate_micros(rate * kMicrosPerUnit);
  quota.__set_burst_micros(burst * kMicrosPerUnit);
  quota.__set_order(10);
  return quota;
}

messages::Change MakeChange(const std::string& id,
                            std::int64_t base_revision,
                            std::vector<messages::Object> objects) {
  messages::Change change;
  change.change_id = id;
  change.base_revision = base_revision;
  change.author = "committee";
  change.objects = std::move(objects);
  return change;
}

bool SetUpBookings(Fleet& fleet) {
  using std::chrono::seconds;
  if (!fleet.RunUntil([&] { return !fleet.ControlLeader().empty(); },
                      seconds(5)))
    return false;
  const auto answer = fleet.Configure(
      "e1", MakeChange(
                "setup", 0,
                {Customer("town-hall", "office"), Customer("brasserie", "shop"),
                 Key("k-town-hall", "town-hall", kTownHallKey),
                 Key("k-brasserie", "brasserie", "key-of-the-brasserie"),
                 Quota("office", 1'000, 1'000), Quota("shop", 100, 20),
                 Access("dashboards", messages::AccessMode::READ, 1),
                 Access("bookings", messages::AccessMode::WRITE, 2)}));
  if (answer.code != 0)
    return false;
  const bool serves = fleet.RunUntil(
      [&] { return !fleet.CoordinatorOf("bookings").empty(); }, seconds(10));
  // Lets the rate buckets, which start empty, fill and the replicas catch up.
  fleet.Run(seconds(2));
  return serves;
}

entry::CallerRequest Write(const std::string& statement,
                           const std::string& request_id,
                           const std::string& key) {
  entry::CallerRequest request;
  request.operation = messages::Operation::WRITE;
  request.key_digest = Sha256(key);
  request.group = "bookings";
  request.statement = statement;
  request.request_id = request_id;
  request.timeout = std::chrono::seconds(5);
  return request;
}

entry::CallerRequest Read(const std::string& statement,
                          const std::string& key) {
  entry::CallerRequest request = Write(statement, "", key);
  request.operation = messages::Operation::READ;
  return request;
}

entry::CallerRequest InTransaction(messages::Operation::type operation,
                                   const std::string& transaction,
                                   const std::string& statement,
                                   const std::string& request_id) {
  entry::CallerRequest request = Write(statement, request_id);
  request.operation = operation;
  request.transaction = transaction;
  return request;
}

void CheckGolden(const Fleet& fleet, const std::string& name) {
  const std::string difference = CompareWithGolden(
      std::string(GOLDCREST_TEST_DATA) + "/golden/" + name + ".txt",
      fleet.transcript());
  INFO(difference);
  CHECK(difference.empty());
}

}  // namespace goldcrest::sessions
