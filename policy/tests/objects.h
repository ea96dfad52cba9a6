#ifndef GOLDCREST_POLICY_TESTS_OBJECTS_H_
#define GOLDCREST_POLICY_TESTS_OBJECTS_H_

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "goldcrest/policy/configuration.h"
#include "goldcrest/types/digest.h"
#include "goldcrest/types/labels.h"

namespace goldcrest::policy {

inline messages::Object MakeObject(messages::ObjectKind::type kind,
                                   const std::string& name,
                                   const Labels& labels = {}) {
  messages::Object object;
  object.kind = kind;
  object.name = name;
  object.labels = labels;
  return object;
}

inline messages::Object Customer(const std::string& name,
                                 const Labels& labels = {}) {
  return MakeObject(messages::ObjectKind::CUSTOMER, name, labels);
}

//! Returns a key whose secret is its name.
inline messages::Object Key(const std::string& name,
                            const std::string& customer,
                            const Labels& labels = {}) {
  messages::Object object = MakeObject(messages::ObjectKind::KEY, name, labels);
  object.__set_customer(customer);
  object.__set_digest(Sha256(name));
  return object;
}

inline messages::Object Access(const std::string& name,
                               const std::string& callers,
                               messages::AccessMode::type mode,
                               int order = 0) {
  messages::Object object = MakeObject(messages::ObjectKind::ACCESS, name);
  object.__set_callers(callers);
  object.__set_mode(mode);
  object.__set_order(order);
  return object;
}

inline messages::Object Quota(const std::string& name,
                              const std::string& callers,
                              int requests,
                              int order = 0) {
  messages::Object object = MakeObject(messages::ObjectKind::QUOTA, name);
  object.__set_callers(callers);
  object.__set_rate_micros(requests * std::int64_t{1'000'000});
  object.__set_burst_micros(requests * std::int64_t{1'000'000});
  object.__set_order(order);
  return object;
}

inline messages::Object Deleted(messages::ObjectKind::type kind,
                                const std::string& name) {
  messages::Object object = MakeObject(kind, name);
  object.deleted = true;
  return object;
}

inline messages::Change MakeChange(const std::string& id,
                                   std::int64_t base_revision,
                                   const std::vector<messages::Object>& objects,
                                   const std::string& author = "imke") {
  messages::Change change;
  change.change_id = id;
  change.base_revision = base_revision;
  change.objects = objects;
  change.author = author;
  return change;
}

//! Applies a change to the current revision and requires that it is accepted.
inline void MustApply(Configuration& configuration,
                      const std::vector<messages::Object>& objects) {
  const std::int64_t revision = configuration.Revision();
  const messages::ChangeResult result = configuration.Apply(
      MakeChange("setup-" + std::to_string(revision), revision, objects));
  INFO(result.message);
  REQUIRE(result.code == ToNumber(ResultCode::kOk));
}

inline messages::EndpointInfo Endpoint(const std::string& name,
                                       const std::string& group,
                                       const std::string& zone) {
  messages::EndpointInfo info;
  info.endpoint = name;
  info.group = group;
  info.zone = zone;
  return info;
}

//! Decides for the key with this secret; an empty text means no key.
inline AccessDecision Decide(
    const Configuration& configuration,
    const std::string& key_text,
    bool write,
    const std::vector<messages::EndpointInfo>& endpoints) {
  const std::string digest = key_text.empty() ? "" : Sha256(key_text);
  return configuration.Decide({digest, "bookings", write, endpoints});
}

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_TESTS_OBJECTS_H_
