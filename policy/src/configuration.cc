#include "goldcrest/policy/configuration.h"

#include <utility>

#include <fmt/format.h>

#include "goldcrest/messages/codec.h"
#include "goldcrest/policy/label_view.h"
#include "goldcrest/types/digest.h"
#include "internal/change_draft.h"
#include "internal/object_checks.h"

namespace goldcrest::policy {
namespace {

using messages::Change;
using messages::ChangeResult;
using messages::Object;
using messages::ObjectKind;

constexpr std::string_view kStateLabel = "state";
constexpr std::string_view kLeavingState = "leaving";

ChangeResult MakeResult(ResultCode code,
                        std::int64_t revision,
                        std::string message) {
  ChangeResult result;
  result.code = ToNumber(code);
  result.revision = revision;
  result.message = std::move(message);
  return result;
}

}  // namespace

ChangeResult Configuration::Apply(const Change& change) {
  if (const std::optional<Problem> problem = CheckChange(change))
    return MakeResult(problem->code, revision_, problem->message);
  const std::string fingerprint = Sha256(messages::Encode(change));
  if (const messages::AppliedChange* known = changes_.Find(change.change_id)) {
    if (known->fingerprint == fingerprint)
      return known->result;
    return MakeResult(
        ResultCode::kChangeIdReused, revision_,
        fmt::format("change id '{}' belongs to a different change",
                    change.change_id));
  }
  messages::AppliedChange applied;
  applied.change_id = change.change_id;
  applied.fingerprint = fingerprint;
  applied.result = Evaluate(change);
  ChangeResult result = applied.result;
  changes_.Add(std::move(applied));
  return result;
}

ChangeResult Configuration::Evaluate(const Change& change) {
  // A change with a negative base revision applies to any current revision, as
  // issuing or withdrawing a key does.
  if (change.base_revision >= 0 && change.base_revision != revision_)
    return Conflict(change);
  ChangeDraft draft(objects_);
  std::optional<Problem> problem;
  for (const Object& object : change.objects) {
    if ((problem = draft.Add(object)))
      return MakeResult(problem->code, revision_, problem->message);
  }
  if ((problem = draft.CheckReferences()))
    return MakeResult(problem->code, revision_, problem->message);
  ++revision_;
  for (Object& object : draft.ChangedObjects(revision_))
    Put(std::move(object));
  // Conflict() repeats this text, because a snapshot keeps no other record of
  // who made the change.
  return MakeResult(ResultCode::kOk, revision_,
                    fmt::format("change '{}' by '{}' is revision {}",
                                change.change_id, change.author, revision_));
}

ChangeResult Configuration::Conflict(const Change& change) const {
  if (change.base_revision > revision_) {
    return MakeResult(
        ResultCode::kRevisionConflict, revision_,
        fmt::format("based on revision {}, which does not exist; the "
                    "current one is {}",
                    change.base_revision, revision_));
  }
  const messages::AppliedChange* winner =
      changes_.FirstAcceptedAfter(change.base_revision);
  return MakeResult(
      ResultCode::kRevisionConflict, revision_,
      fmt::format("based on revision {}, but {}; the current one is {}",
                  change.base_revision,
                  winner != nullptr ? winner->result.message : "it is too old",
                  revision_));
}

std::vector<Object> Configuration::ChangedSince(std::int64_t revision) const {
  return objects_.ChangedSince(revision);
}

bool Configuration::Merge(const std::vector<Object>& objects,
                          std::int64_t revision,
                          std::int64_t since) {
  if (revision < revision_ || since > revision_)
    return false;
  for (const Object& object : objects) {
    const Object* existing = objects_.Find(object.kind, object.name);
    if (existing != nullptr && existing->revision >= object.revision)
      continue;
    Put(object);
  }
  revision_ = revision;
  return true;
}

ConfigurationState Configuration::Save() const {
  return {revision_, objects_.ChangedSince(-1), changes_.All()};
}

void Configuration::Load(const ConfigurationState& state) {
  *this = Configuration();
  revision_ = state.revision;
  for (const Object& object : state.objects)
    Put(object);
  for (const messages::AppliedChange& change : state.changes)
    changes_.Add(change);
}

std::optional<Object> Configuration::Find(ObjectKind::type kind,
                                          const std::string& name) const {
  const Object* object = objects_.FindLive(kind, name);
  if (object == nullptr)
    return std::nullopt;
  return *object;
}

std::vector<Object> Configuration::Objects(ObjectKind::type kind) const {
  std::vector<Object> objects;
  for (const Object* object : objects_.Live(kind))
    objects.push_back(*object);
  return objects;
}

AccessDecision Configuration::Decide(const AccessRequest& request) const {
  AccessDecision decision;
  LabelView caller_labels;
  const bool with_key = !request.key_digest.empty();
  if (with_key) {
    const Object* key = objects_.FindKey(request.key_digest);
    if (key == nullptr) {
      decision.code = ResultCode::kKeyUnknown;
      return decision;
    }
    decision.key_name = key->name;
    decision.customer = key->customer;
    const Object* customer =
        objects_.FindLive(ObjectKind::CUSTOMER, key->customer);
    if (key->deleted || customer == nullptr) {
      decision.code = ResultCode::kKeyWithdrawn;
      return decision;
    }
    caller_labels.AddLayer(customer->labels);
    caller_labels.AddLayer(key->labels);
    caller_labels.AddBuiltIn("customer", customer->name);
    caller_labels.AddBuiltIn("key", key->name);
  }
  for (const auto& [rank, rule] : rules_.Access()) {
    const Object& access = rule.object;
    if (request.write && access.mode != messages::AccessMode::WRITE)
      continue;
    if (!with_key && !access.open)
      continue;
    if (!rule.callers.Matches(caller_labels))
      continue;
    SelectEndpoints(rule, request, decision.endpoints);
    if (decision.endpoints.empty())
      continue;
    decision.code = ResultCode::kOk;
    decision.rule = access.name;
    decision.durability = access.durability;
    if (access.__isset.max_age_ms)
      decision.max_age = std::chrono::milliseconds(access.max_age_ms);
    return decision;
  }
  decision.code = with_key ? ResultCode::kNoAccess : ResultCode::kKeyMissing;
  return decision;
}

std::optional<QuotaLimit> Configuration::QuotaOf(
    const std::string& customer) const {
  const Object* object = objects_.FindLive(ObjectKind::CUSTOMER, customer);
  if (object == nullptr)
    return std::nullopt;
  LabelView caller_labels(object->labels);
  caller_labels.AddBuiltIn("customer", object->name);
  for (const auto& [rank, rule] : rules_.Quota()) {
    if (!rule.callers.Matches(caller_labels))
      continue;
    return QuotaLimit{rule.object.rate_micros, rule.object.burst_micros,
                      rule.object.name};
  }
  return std::nullopt;
}

bool Configuration::KeyInForce(const std::string& key_name) const {
  const Object* key = objects_.FindLive(ObjectKind::KEY, key_name);
  return key != nullptr && KeyInForceFor(key_name, key->customer);
}

bool Configuration::KeyInForceFor(const std::string& key_name,
                                  std::string_view customer) const {
  const Object* key = objects_.FindLive(ObjectKind::KEY, key_name);
  return key != nullptr && key->customer == customer &&
         objects_.FindLive(ObjectKind::CUSTOMER, key->customer) != nullptr;
}

bool Configuration::RuleAllows(const std::string& rule,
                               const messages::EndpointInfo& endpoint) const {
  const Object* object = objects_.FindLive(ObjectKind::ACCESS, rule);
  if (object == nullptr)
    return false;
  const auto it = rules_.Access().find({object->order, object->name});
  return it != rules_.Access().end() &&
         it->second.endpoints.Matches(LabelsOf(endpoint));
}

bool Configuration::EndpointLeaving(const std::string& endpoint) const {
  const Object* object = objects_.FindLive(ObjectKind::ENDPOINT, endpoint);
  if (object == nullptr)
    return false;
  return LabelView(object->labels).Find(std::string(kStateLabel)) ==
         kLeavingState;
}

void Configuration::Put(Object object) {
  rules_.Update(objects_.Find(object.kind, object.name), object);
  objects_.Put(std::move(object));
}

void Configuration::SelectEndpoints(const Rule& rule,
                                    const AccessRequest& request,
                                    std::vector<std::string>& selected) const {
  for (const messages::EndpointInfo& info : request.endpoints) {
    if (info.group != request.group)
      continue;
    if (rule.endpoints.Matches(LabelsOf(info)))
      selected.push_back(info.endpoint);
  }
}

LabelView Configuration::LabelsOf(const messages::EndpointInfo& info) const {
  LabelView labels;
  const Object* object = objects_.FindLive(ObjectKind::ENDPOINT, info.endpoint);
  if (object != nullptr)
    labels.AddLayer(object->labels);
  labels.AddBuiltIn("endpoint", info.endpoint);
  labels.AddBuiltIn("group", info.group);
  labels.AddBuiltIn("zone", info.zone);
  return labels;
}

}  // namespace goldcrest::policy
