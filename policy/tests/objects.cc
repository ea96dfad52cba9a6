#include "tests/objects.h"

#include <catch2/catch.hpp>
#include <utility>

namespace goldcrest::policy {

using messages::Object;
using messages::ObjectKind;

Object MakeObject(ObjectKind::type kind,
                  const std::string& name,
                  const Labels& labels) {
  Object object;
  object.kind = kind;
  object.name = name;
  object.labels = labels;
  return object;
}

Object Customer(const std::string& name, const Labels& labels) {
  return MakeObject(ObjectKind::CUSTOMER, name, labels);
}

Object Key(const std::string& name,
           const std::string& customer,
           const Labels& labels) {
  Object object = MakeObject(ObjectKind::KEY, name, labels);
  object.__set_customer(customer);
  object.__set_digest(Sha256(name));
  return object;
}

Object Access(const std::string& name,
              const std::string& callers,
              messages::AccessMode::type mode,
              int order) {
  Object object = MakeObject(ObjectKind::ACCESS, name);
  object.__set_callers(callers);
  object.__set_mode(mode);
  object.__set_order(order);
  return object;
}

Object Quota(const std::string& name,
             const std::string& callers,
             int requests,
             int order) {
  Object object = MakeObject(ObjectKind::QUOTA, name);
  object.__set_callers(callers);
  object.__set_rate_micros(requests * std::int64_t{1'000'000});
  object.__set_burst_micros(requests * std::int64_t{1'000'000});
  object.__set_order(order);
  return object;
}

Object Deleted(ObjectKind::type kind, const std::string& name) {
  Object object = MakeObject(kind, name);
  object.deleted = true;
  return object;
}

messages::Change MakeChange(const std::string& id,
                            std::int64_t base_revision,
                            const std::vector<Object>& objects,
                            const std::string& author) {
  messages::Change change;
  change.change_id = id;
  change.base_revision = base_revision;
  change.objects = objects;
  change.author = author;
  return change;
}

void MustApply(Configuration& configuration,
               const std::vector<Object>& objects) {
  const std::int64_t revision = configuration.Revision();
  const messages::ChangeResult result = configuration.Apply(
      MakeChange("setup-" + std::to_string(revision), revision, objects));
  INFO(result.message);
  REQUIRE(result.code == ToNumber(ResultCode::kOk));
}

messages::EndpointInfo Endpoint(const std::string& name,
                                const std::string& group,
                                const std::string& zone) {
  messages::EndpointInfo info;
  info.endpoint = name;
  info.group = group;
  info.zone = zone;
  return info;
}

AccessDecision Decide(const Configuration& configuration,
                      const std::string& key_text,
                      bool write,
                      const std::vector<messages::EndpointInfo>& endpoints) {
  const std::string digest = key_text.empty() ? "" : Sha256(key_text);
  return configuration.Decide({digest, "bookings", write, endpoints});
}

}  // namespace goldcrest::policy
