#ifndef GOLDCREST_POLICY_OBJECT_TABLE_H_
#define GOLDCREST_POLICY_OBJECT_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "goldcrest/messages/messages.h"

namespace goldcrest::policy {

using ObjectId = std::pair<messages::ObjectKind::type, std::string>;

//! Objects by kind and name, with tombstones, and indexes by revision, by key
//! digest and by the customer of a key. Pointers are valid until the next Put.
class ObjectTable {
 public:
  //! Adds or replaces the object of this kind and name.
  void Put(messages::Object object);

  //! Returns nullptr when no such object ever existed. The object may be a
  //! tombstone.
  const messages::Object* Find(messages::ObjectKind::type kind,
                               const std::string& name) const;

  //! As Find(), without tombstones.
  const messages::Object* FindLive(messages::ObjectKind::type kind,
                                   const std::string& name) const;

  //! Returns the key, or the tombstone of a key, with this digest; nullptr if
  //! none.
  const messages::Object* FindKey(std::string_view digest) const;

  //! Returns the names of a customer's live keys.
  std::set<std::string> KeysOf(const std::string& customer) const;

  //! Returns the live objects of a kind in ascending order of name.
  std::vector<const messages::Object*> Live(
      messages::ObjectKind::type kind) const;

  //! Returns the objects and tombstones changed after `revision`, in order of
  //! revision.
  std::vector<messages::Object> ChangedSince(std::int64_t revision) const;

 private:
  using RevisionEntry = std::pair<std::int64_t, ObjectId>;

  // Allows lookups by string_view, which avoids a copy on each request.
  struct DigestHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view digest) const {
      return std::hash<std::string_view>()(digest);
    }
  };

  void RemoveFromIndexes(const messages::Object& object);
  void AddToIndexes(const messages::Object& object);

  std::map<ObjectId, messages::Object> objects_;
  std::set<RevisionEntry> by_revision_;
  std::unordered_map<std::string, std::string, DigestHash, std::equal_to<>>
      key_by_digest_;
  std::map<std::string, std::set<std::string>> keys_by_customer_;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_OBJECT_TABLE_H_
