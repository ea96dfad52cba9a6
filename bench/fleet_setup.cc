#include "bench/fleet_setup.h"

#include <vector>

#include <fmt/format.h>

#include "bench/objects.h"
#include "goldcrest/types/digest.h"

namespace goldcrest::bench {
namespace {

using std::chrono::seconds;

bool ApplyChange(sessions::Fleet& fleet,
                 std::vector<messages::Object> objects) {
  messages::Change change;
  change.base_revision = fleet.entry("e1").view().configuration().Revision();
  change.change_id = fmt::format("change-{}", change.base_revision);
  change.author = "bench";
  change.objects = std::move(objects);
  return fleet.Configure("e1", change).code == 0;
}

entry::CallerRequest MakeRequest(std::size_t customer,
                                 const std::string& group) {
  entry::CallerRequest request;
  request.key_digest = Sha256(KeyText(customer));
  request.group = group;
  request.timeout = seconds(5);
  return request;
}

}  // namespace

bool StartFleet(sessions::Fleet& fleet,
                std::size_t customers,
                int slots,
                const CustomerPolicy& policy) {
  fleet.AddGroup("bookings", 3, slots);
  if (!fleet.RunUntil([&] { return !fleet.ControlLeader().empty(); },
                      seconds(10)))
    return false;
  std::vector<messages::Object> objects;
  for (std::size_t i = 0; i < customers; ++i) {
    objects.push_back(MakeCustomer(CustomerName(i)));
    objects.push_back(MakeKey(i, i));
  }
  objects.push_back(MakeQuota(policy.rate, policy.burst));
  messages::Object rule = MakeRule(0);
  rule.__set_callers("plan=gold");
  rule.__set_durability(policy.durability);
  rule.__set_max_age_ms(policy.max_age.count());
  objects.push_back(rule);
  if (!ApplyChange(fleet, std::move(objects)))
    return false;
  const bool has_coordinator = fleet.RunUntil(
      [&] { return !fleet.CoordinatorOf("bookings").empty(); }, seconds(10));
  // Time for the token buckets, which start empty, to fill and for the replicas
  // to pull the log.
  fleet.Run(seconds(2));
  return has_coordinator;
}

void AddKeyToFirstCustomer(sessions::Fleet& fleet, std::size_t number) {
  ApplyChange(fleet, {MakeKey(number, 0)});
}

entry::CallerRequest MakeRead(std::size_t customer, const std::string& group) {
  entry::CallerRequest request = MakeRequest(customer, group);
  request.operation = messages::Operation::READ;
  request.statement = "get facade";
  return request;
}

entry::CallerRequest MakeWrite(std::size_t customer, const std::string& group) {
  entry::CallerRequest request = MakeRequest(customer, group);
  request.operation = messages::Operation::WRITE;
  request.statement = "set facade booked";
  return request;
}

}  // namespace goldcrest::bench
