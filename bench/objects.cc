#include "bench/objects.h"

#include <stdexcept>
#include <utility>

#include <fmt/format.h>

#include "goldcrest/messages/codec.h"
#include "goldcrest/types/digest.h"
#include "goldcrest/types/result_code.h"

namespace goldcrest::bench {
namespace {

constexpr std::int64_t kMicrosPerRequest = 1'000'000;

std::size_t EncodedBytes(const messages::ControlUpdate& update) {
  messages::PeerMessage message;
  message.__set_update(update);
  return messages::Encode(message).size();
}

}  // namespace

std::string CustomerName(std::size_t number) {
  return fmt::format("customer-{:06}", number);
}

std::string KeyName(std::size_t number) {
  return fmt::format("key-{:06}", number);
}

std::string KeyText(std::size_t number) {
  return fmt::format("text-of-key-{:06}", number);
}

std::string RuleName(std::size_t number) {
  return fmt::format("rule-{:04}", number);
}

std::string GroupName(std::size_t number) {
  return fmt::format("group-{:05}", number);
}

std::string EndpointName(std::size_t number) {
  return fmt::format("database-{:05}", number);
}

std::string InstanceName(std::size_t number) {
  return fmt::format("entry-{:04}", number);
}

messages::Object MakeCustomer(const std::string& name) {
  messages::Object customer;
  customer.kind = messages::ObjectKind::CUSTOMER;
  customer.name = name;
  customer.labels = {{"plan", "gold"}, {"region", "oyo"}};
  return customer;
}

messages::Object MakeKey(std::size_t number, std::size_t customer) {
  messages::Object key;
  key.kind = messages::ObjectKind::KEY;
  key.name = KeyName(number);
  key.__set_customer(CustomerName(customer));
  key.__set_digest(Sha256(KeyText(number)));
  return key;
}

messages::Object MakeRule(std::size_t number) {
  messages::Object rule;
  rule.kind = messages::ObjectKind::ACCESS;
  rule.name = RuleName(number);
  rule.__set_callers(
      fmt::format("plan=plan-{},region in (oyo,osun),!trial", number));
  rule.__set_endpoints("group=bookings");
  rule.__set_mode(messages::AccessMode::WRITE);
  rule.__set_durability(messages::Durability::MAJORITY);
  rule.__set_order(static_cast<std::int32_t>(number));
  rule.__set_max_age_ms(10'000);
  return rule;
}

messages::Object MakeQuota(int rate, int burst) {
  messages::Object quota;
  quota.kind = messages::ObjectKind::QUOTA;
  quota.name = "gold";
  quota.__set_callers("plan=gold");
  quota.__set_rate_micros(rate * kMicrosPerRequest);
  quota.__set_burst_micros(burst * kMicrosPerRequest);
  quota.__set_order(1);
  return quota;
}

messages::EndpointInfo MakeEndpoint(std::size_t number) {
  messages::EndpointInfo info;
  info.endpoint = EndpointName(number);
  info.group = GroupName(number / 3);
  info.zone = fmt::format("zone-{:02}", number % 23);
  info.host = "10.123.123.123";
  info.port = 15432;
  info.slots = 3;
  info.connections = 25;
  info.incarnation = 1'700'000'000'000;
  return info;
}

std::vector<messages::EndpointInfo> MakeEndpoints(const std::string& group,
                                                  std::size_t count) {
  std::vector<messages::EndpointInfo> endpoints;
  for (std::size_t i = 0; i < count; ++i) {
    endpoints.push_back(MakeEndpoint(i));
    endpoints.back().group = group;
  }
  return endpoints;
}

messages::InstanceInfo MakeInstance(std::size_t number) {
  messages::InstanceInfo info;
  info.instance = InstanceName(number);
  info.zone = fmt::format("zone-{:02}", number % 23);
  info.host = "10.123.123.123";
  info.port = 7'000;
  info.incarnation = 1'700'000'000'000;
  return info;
}

void ApplyInChanges(policy::Configuration& configuration,
                    const std::vector<messages::Object>& objects) {
  messages::Change change;
  for (std::size_t i = 0; i < objects.size(); ++i) {
    change.objects.push_back(objects[i]);
    const bool change_is_full =
        change.objects.size() == policy::Configuration::kMaxObjectsPerChange;
    if (!change_is_full && i + 1 < objects.size())
      continue;
    change.base_revision = configuration.Revision();
    change.change_id = fmt::format("bench-{}", change.base_revision);
    change.author = "bench";
    const messages::ChangeResult result = configuration.Apply(change);
    if (result.code != ToNumber(ResultCode::kOk))
      throw std::runtime_error(result.message);
    change.objects.clear();
  }
}

void AddCustomers(policy::Configuration& configuration, std::size_t count) {
  std::vector<messages::Object> objects;
  for (std::size_t i = 0; i < count; ++i)
    objects.push_back(MakeCustomer(CustomerName(i)));
  ApplyInChanges(configuration, objects);
}

void AddKeys(policy::Configuration& configuration, std::size_t count) {
  std::vector<messages::Object> objects;
  for (std::size_t i = 0; i < count; ++i)
    objects.push_back(MakeKey(i, i));
  ApplyInChanges(configuration, objects);
}

void AddCustomersAndKeys(policy::Configuration& configuration,
                         std::size_t count) {
  AddCustomers(configuration, count);
  AddKeys(configuration, count);
}

void AddRules(policy::Configuration& configuration, std::size_t count) {
  std::vector<messages::Object> objects;
  for (std::size_t i = 0; i < count; ++i)
    objects.push_back(MakeRule(i));
  objects.back().__set_callers("plan=gold,region in (oyo,osun),!trial");
  ApplyInChanges(configuration, objects);
}

std::size_t EncodedShareBytes() {
  messages::ControlUpdate update;
  const std::size_t empty_bytes = EncodedBytes(update);
  messages::ShareUpdate share;
  share.customer = CustomerName(1);
  share.share_sequence = 123'456;
  share.owner_term = 3;
  share.rate_micros = 12'345'678;
  share.capacity_micros = 12'345'678;
  share.added_micros = 1'234'567;
  share.lease_ms = 3'000;
  update.shares.push_back(share);
  return EncodedBytes(update) - empty_bytes;
}

std::size_t EncodedForwardRequestBytes() {
  messages::ForwardRequest request;
  request.customer = CustomerName(1);
  request.key_name = KeyName(1);
  request.group = GroupName(1);
  request.rule = RuleName(1);
  request.statement = std::string(100, 's');
  messages::PeerMessage message;
  message.__set_forward(request);
  return messages::Encode(message).size();
}

std::size_t EncodedEndpointBytes() {
  messages::ControlUpdate update;
  const std::size_t empty_bytes = EncodedBytes(update);
  update.endpoints.push_back(MakeEndpoint(1));
  return EncodedBytes(update) - empty_bytes;
}

std::size_t EncodedGroupBytes() {
  messages::ControlUpdate update;
  const std::size_t empty_bytes = EncodedBytes(update);
  messages::GroupState group;
  group.group = GroupName(1);
  group.revision = 123'456;
  group.term = 4;
  group.primary = EndpointName(1);
  for (std::int64_t term = 1; term <= group.term; ++term) {
    messages::TermStart start;
    start.term = term;
    start.position = term * 10'000'000;
    group.term_starts.push_back(start);
  }
  group.coordinator = InstanceName(1);
  group.coordinator_epoch = 12;
  update.groups.push_back(group);
  return EncodedBytes(update) - empty_bytes;
}

std::size_t EncodedInstanceBytes() {
  messages::ControlUpdate update;
  const std::size_t empty_bytes = EncodedBytes(update);
  update.instances.push_back(MakeInstance(1));
  return EncodedBytes(update) - empty_bytes;
}

}  // namespace goldcrest::bench
