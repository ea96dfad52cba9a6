#ifndef GOLDCREST_POLICY_CONFIGURATION_H_
#define GOLDCREST_POLICY_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/policy/access_decision.h"
#include "goldcrest/policy/access_request.h"
#include "goldcrest/policy/change_history.h"
#include "goldcrest/policy/configuration_state.h"
#include "goldcrest/policy/dry_run_report.h"
#include "goldcrest/policy/object_table.h"
#include "goldcrest/policy/quota_limit.h"
#include "goldcrest/policy/rule_table.h"

namespace goldcrest::policy {

//! Stores configuration objects and decides access and quotas by them. Control
//! members change it with Apply(), which is deterministic: the same changes in
//! the same order give the same state and answers, also after a start from a
//! snapshot. Entries change it with Merge() only. Not thread-safe.
//!
//! Deleted objects stay as tombstones. The withdrawal of a key is final: its
//! name and its digest can't be reused, and a key's digest can't be changed, so
//! that a key name always refers to the same secret.
class Configuration {
 public:
  static constexpr std::size_t kMaxObjectsPerChange = 10'000;

  //! Applies a change atomically. Each accepted change raises the revision by
  //! one, also when no object differs; an object that does not differ keeps its
  //! revision. The revisions of the objects in the change are ignored. The
  //! result codes are kOk, kRevisionConflict, kInvalidObject,
  //! kUnknownReference, kChangeIdReused, and kInvalidField for the change id or
  //! author.
  messages::ChangeResult Apply(const messages::Change& change);

  //! Reports what Apply() would answer and which decisions would differ.
  //! `endpoints` are the known endpoints of all groups. Takes O(keys x groups x
  //! rules), which suits calls by operators only.
  DryRunReport DryRun(const messages::Change& change,
                      std::span<const messages::EndpointInfo> endpoints) const;

  //! Returns the objects and tombstones changed after `revision`, in order of
  //! revision.
  std::vector<messages::Object> ChangedSince(std::int64_t revision) const;

  //! Merges the objects changed after `since` up to `revision`. Never lowers
  //! the revision of an object or of the configuration. Returns false and
  //! changes nothing when `revision` is lower than Revision(), or when `since`
  //! is higher, because the changes between Revision() and `since` would be
  //! missed.
  bool Merge(const std::vector<messages::Object>& objects,
             std::int64_t revision,
             std::int64_t since = 0);

  std::int64_t Revision() const { return revision_; }

  ConfigurationState Save() const;

  //! Replaces the whole configuration.
  void Load(const ConfigurationState& state);

  //! Returns nullopt when the object is missing or deleted.
  std::optional<messages::Object> Find(messages::ObjectKind::type kind,
                                       const std::string& name) const;

  //! Returns the objects of a kind, without deleted ones, in ascending order of
  //! name.
  std::vector<messages::Object> Objects(messages::ObjectKind::type kind) const;

  //! Tries access rules in ascending (order, name). The first rule that matches
  //! the caller, the mode and at least one endpoint applies. A request with a
  //! key is decided for that key, also under open rules; a request without a
  //! key matches open rules only.
  AccessDecision Decide(const AccessRequest& request) const;

  //! Returns the limit of the first quota rule that matches the customer's
  //! labels; nullopt when no rule matches or the customer does not exist.
  std::optional<QuotaLimit> QuotaOf(const std::string& customer) const;

  //! False once the key or its customer is deleted.
  bool KeyInForce(const std::string& key_name) const;

  //! As KeyInForce(), and the key still belongs to `customer`.
  bool KeyInForceFor(const std::string& key_name,
                     std::string_view customer) const;

  //! True while the access rule exists and its selector matches the endpoint.
  bool RuleAllows(const std::string& rule,
                  const messages::EndpointInfo& endpoint) const;

  //! True when the operator labelled the endpoint state=leaving.
  bool EndpointLeaving(const std::string& endpoint) const;

 private:
  messages::ChangeResult Evaluate(const messages::Change& change);
  messages::ChangeResult Conflict(const messages::Change& change) const;
  void Put(messages::Object object);
  //! The view is valid as long as `info` and the configuration are.
  LabelView LabelsOf(const messages::EndpointInfo& info) const;
  void SelectEndpoints(const Rule& rule,
                       const AccessRequest& request,
                       std::vector<std::string>& selected) const;

  std::int64_t revision_ = 0;
  ObjectTable objects_;
  RuleTable rules_;
  ChangeHistory changes_;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_CONFIGURATION_H_
