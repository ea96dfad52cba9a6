#include "goldcrest/policy/object_table.h"

namespace goldcrest::policy {
namespace {

bool IsLiveKey(const messages::Object& object) {
  return object.kind == messages::ObjectKind::KEY && !object.deleted;
}

}  // namespace

void ObjectTable::Put(messages::Object object) {
  ObjectId id{object.kind, object.name};
  const auto existing = objects_.find(id);
  if (existing != objects_.end())
    RemoveFromIndexes(existing->second);
  AddToIndexes(object);
  objects_.insert_or_assign(std::move(id), std::move(object));
}

const messages::Object* ObjectTable::Find(messages::ObjectKind::type kind,
                                          const std::string& name) const {
  const auto object = objects_.find(ObjectId{kind, name});
  return object == objects_.end() ? nullptr : &object->second;
}

const messages::Object* ObjectTable::FindLive(messages::ObjectKind::type kind,
                                              const std::string& name) const {
  const messages::Object* object = Find(kind, name);
  return object == nullptr || object->deleted ? nullptr : object;
}

const messages::Object* ObjectTable::FindKey(std::string_view digest) const {
  const auto name = key_by_digest_.find(digest);
  if (name == key_by_digest_.end())
    return nullptr;
  return Find(messages::ObjectKind::KEY, name->second);
}

std::set<std::string> ObjectTable::KeysOf(const std::string& customer) const {
  const auto keys = keys_by_customer_.find(customer);
  return keys == keys_by_customer_.end() ? std::set<std::string>()
                                         : keys->second;
}

std::vector<const messages::Object*> ObjectTable::Live(
    messages::ObjectKind::type kind) const {
  std::vector<const messages::Object*> live;
  for (auto object = objects_.lower_bound(ObjectId{kind, ""});
       object != objects_.end() && object->first.first == kind; ++object) {
    if (!object->second.deleted)
      live.push_back(&object->second);
  }
  return live;
}

std::vector<messages::Object> ObjectTable::ChangedSince(
    std::int64_t revision) const {
  std::vector<messages::Object> changed;
  // Sorts before all entries of the next revision, because no object has an
  // empty name.
  const RevisionEntry first{revision + 1, ObjectId{}};
  for (auto entry = by_revision_.lower_bound(first);
       entry != by_revision_.end(); ++entry) {
    changed.push_back(objects_.at(entry->second));
  }
  return changed;
}

void ObjectTable::RemoveFromIndexes(const messages::Object& object) {
  by_revision_.erase({object.revision, ObjectId{object.kind, object.name}});
  if (object.kind != messages::ObjectKind::KEY)
    return;
  const auto indexed = key_by_digest_.find(object.digest);
  if (indexed != key_by_digest_.end() && indexed->second == object.name)
    key_by_digest_.erase(indexed);
  const auto keys = keys_by_customer_.find(object.customer);
  if (keys == keys_by_customer_.end())
    return;
  keys->second.erase(object.name);
  if (keys->second.empty())
    keys_by_customer_.erase(keys);
}

void ObjectTable::AddToIndexes(const messages::Object& object) {
  by_revision_.insert({object.revision, ObjectId{object.kind, object.name}});
  if (object.kind != messages::ObjectKind::KEY || object.digest.empty())
    return;
  key_by_digest_[object.digest] = object.name;
  if (IsLiveKey(object))
    keys_by_customer_[object.customer].insert(object.name);
}

}  // namespace goldcrest::policy
