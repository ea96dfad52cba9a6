#ifndef GOLDCREST_POLICY_CHANGE_DRAFT_H_
#define GOLDCREST_POLICY_CHANGE_DRAFT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/policy/object_table.h"
#include "internal/problem.h"

namespace goldcrest::policy {

//! Collects the objects of a change and checks them against a table before any
//! of them is applied.
class ChangeDraft {
 public:
  explicit ChangeDraft(const ObjectTable& table) : table_(table) {}

  //! Checks the object by itself and against the object that it replaces, and
  //! adds it.
  std::optional<Problem> Add(const messages::Object& object);

  //! Checks references and key digests as they would be after the change.
  std::optional<Problem> CheckReferences() const;

  //! Returns the added objects that differ from the table's, with this
  //! revision.
  std::vector<messages::Object> ChangedObjects(std::int64_t revision) const;

 private:
  std::optional<Problem> CheckKey(const messages::Object& key) const;
  std::optional<Problem> CheckDeletedCustomer(
      const messages::Object& customer) const;
  const messages::Object* FindLiveAfter(messages::ObjectKind::type kind,
                                        const std::string& name) const;

  const ObjectTable& table_;
  std::map<ObjectId, messages::Object> objects_;
  std::map<std::string, std::string> key_by_digest_;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_CHANGE_DRAFT_H_
