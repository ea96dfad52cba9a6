#include "internal/change_draft.h"

#include <utility>

#include <fmt/format.h>

#include "internal/object_checks.h"

namespace goldcrest::policy {
namespace {

using messages::Object;
using messages::ObjectKind;

// The tombstone of a key keeps its digest, so that requests with the key are
// refused as withdrawn.
Object TombstoneOf(const Object& object) {
  Object tombstone;
  tombstone.kind = object.kind;
  tombstone.name = object.name;
  tombstone.deleted = true;
  if (object.kind == ObjectKind::KEY) {
    tombstone.__set_customer(object.customer);
    tombstone.__set_digest(object.digest);
  }
  return tombstone;
}

Problem InvalidKey(const Object& key,
                   std::string_view field,
                   std::string_view text) {
  return ObjectProblem(ResultCode::kInvalidObject, key, field, text);
}

}  // namespace

std::optional<Problem> ChangeDraft::Add(const Object& object) {
  if (std::optional<Problem> problem = CheckObject(object))
    return problem;
  const Object* existing = table_.Find(object.kind, object.name);
  if (object.deleted && existing == nullptr) {
    // The name is most likely misspelt; a withdrawal must not appear to
    // succeed.
    return ObjectProblem(ResultCode::kUnknownReference, object, "name",
                         "there is no such object to delete");
  }
  Object after = object.deleted ? TombstoneOf(*existing) : Normalized(object);
  if (after.kind == ObjectKind::KEY && !after.deleted) {
    const auto [other, added] =
        key_by_digest_.try_emplace(after.digest, after.name);
    if (!added && other->second != after.name)
      return InvalidKey(after, "digest", "is given to two keys");
  }
  const bool added =
      objects_.try_emplace({after.kind, after.name}, std::move(after)).second;
  if (!added) {
    return ObjectProblem(ResultCode::kInvalidObject, object, "name",
                         "is in the change twice");
  }
  return std::nullopt;
}

std::optional<Problem> ChangeDraft::CheckReferences() const {
  for (const auto& [id, object] : objects_) {
    std::optional<Problem> problem;
    if (object.kind == ObjectKind::KEY && !object.deleted)
      problem = CheckKey(object);
    if (object.kind == ObjectKind::CUSTOMER && object.deleted)
      problem = CheckDeletedCustomer(object);
    if (problem)
      return problem;
  }
  return std::nullopt;
}

std::vector<Object> ChangeDraft::ChangedObjects(std::int64_t revision) const {
  std::vector<Object> changed;
  for (const auto& [id, object] : objects_) {
    Object candidate = object;
    const Object* existing = table_.Find(id.first, id.second);
    if (existing != nullptr) {
      candidate.revision = existing->revision;
      if (candidate == *existing)
        continue;
    }
    candidate.revision = revision;
    changed.push_back(std::move(candidate));
  }
  return changed;
}

std::optional<Problem> ChangeDraft::CheckKey(const Object& key) const {
  if (FindLiveAfter(ObjectKind::CUSTOMER, key.customer) == nullptr) {
    return ObjectProblem(ResultCode::kUnknownReference, key, "customer",
                         "there is no such customer");
  }
  const Object* existing = table_.Find(ObjectKind::KEY, key.name);
  // Requests in flight refer to their key by name only, and an instance may
  // learn of a withdrawal and a new issue at once. Reusing the name for another
  // secret would keep requests with the withdrawn key running.
  if (existing != nullptr && existing->deleted)
    return InvalidKey(key, "name", "belongs to a withdrawn key");
  if (existing != nullptr && existing->digest != key.digest)
    return InvalidKey(key, "digest", "can't be changed; issue a new key");
  const Object* owner = table_.FindKey(key.digest);
  if (owner != nullptr && owner->name != key.name) {
    return InvalidKey(
        key, "digest",
        fmt::format("belongs to {}key '{}'",
                    owner->deleted ? "the withdrawn " : "", owner->name));
  }
  return std::nullopt;
}

std::optional<Problem> ChangeDraft::CheckDeletedCustomer(
    const Object& customer) const {
  for (const std::string& name : table_.KeysOf(customer.name)) {
    const Object* key = FindLiveAfter(ObjectKind::KEY, name);
    if (key == nullptr || key->customer != customer.name)
      continue;
    return ObjectProblem(ResultCode::kUnknownReference, *key, "customer",
                         "the change deletes this customer but not its key");
  }
  return std::nullopt;
}

const Object* ChangeDraft::FindLiveAfter(ObjectKind::type kind,
                                         const std::string& name) const {
  const auto changed = objects_.find(ObjectId{kind, name});
  if (changed == objects_.end())
    return table_.FindLive(kind, name);
  return changed->second.deleted ? nullptr : &changed->second;
}

}  // namespace goldcrest::policy
