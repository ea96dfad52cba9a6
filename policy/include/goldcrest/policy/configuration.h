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
#include "goldcrest/policy/caller_facts.h"
#include "goldcrest/policy/change_memory.h"
#include "goldcrest/policy/configuration_state.h"
#include "goldcrest/policy/dry_run_report.h"
#include "goldcrest/policy/object_table.h"
#include "goldcrest/policy/quota_limit.h"
#include "goldcrest/policy/rule_table.h"

namespace goldcrest::policy {

//! Configuration objects and the decisions that follow from them. Control
//! members change it with Apply and are deterministic: the same changes in the
//! same order give the same state and answers, also from a snapshot on.
//! Entries change it with Merge only. Not thread-safe.
//!
//! Deleted objects stay as tombstones. A withdrawn key is final: its name and
//! its digest can't be used again, and a key's digest can't be changed, so that
//! a key name stands for one secret for ever.
class Configuration {
 public:
  static constexpr std::size_t kMaxObjectsPerChange = 10'000;

  //! Carries out all of a change or nothing. Each accepted change raises the
  //! revision by one, also when no object differs; an object that does not
  //! differ keeps its revision. The revisions inside the change are ignored.
  //! The codes are kOk, kRevisionConflict, kInvalidObject, kUnknownReference,
  //! kChangeIdReused, and kInvalidField for the change id or author.
  messages::ChangeResult Apply(const messages::Change& change);

  //! What Apply would answer and which decisions would differ. `endpoints` are
  //! the known ones of all groups. Costs keys x groups x rules: for operators.
  DryRunReport DryRun(const messages::Change& change,
                      std::span<const messages::EndpointInfo> endpoints) const;

  //! Objects and tombstones changed after `revision`, in order of revision.
  std::vector<messages::Object> ChangedSince(std::int64_t revision) const;

  //! Takes over the objects changed after `since` up to `revision`. Never
  //! lowers the revision of an object or of the configuration. False, with
  //! nothing done, when `revision` is lower than Revision(), or when `since` is
  //! higher: the changes between would be missed for ever.
  bool Merge(const std::vector<messages::Object>& objects,
             std::int64_t revision,
             std::int64_t since = 0);

  std::int64_t Revision() const { return revision_; }

  ConfigurationState Save() const;

  //! Replaces everything.
  void Load(const ConfigurationState& state);

  //! The object, unless it is missing or deleted.
  std::optional<messages::Object> Find(messages::ObjectKind::type kind,
                                       const std::string& name) const;

  //! Objects of a kind that are not deleted, in ascending order of name.
  std::vector<messages::Object> Objects(messages::ObjectKind::type kind) const;

  //! Tries access rules by (order, name); the first that matches the caller,
  //! the mode and at least one endpoint wins. A request that shows a key is
  //! judged as that key, also on open rules; without a key only open rules
  //! match.
  AccessDecision Decide(const CallerFacts& facts) const;

  //! The first quota rule that matches the customer's labels; nullopt when
  //! there is none or no such customer.
  std::optional<QuotaLimit> QuotaOf(const std::string& customer) const;

  //! False once the key or its customer is deleted.
  bool KeyInForce(const std::string& key_name) const;

  //! As KeyInForce, and the key still belongs to `customer`.
  bool KeyInForceFor(const std::string& key_name,
                     std::string_view customer) const;

  //! True while the access rule exists and its selector matches the endpoint.
  bool RuleAllows(const std::string& rule,
                  const messages::EndpointInfo& endpoint) const;

  //! The operator labelled the endpoint state=leaving.
  bool EndpointLeaving(const std::string& endpoint) const;

 private:
  messages::ChangeResult Evaluate(const messages::Change& change);
  messages::ChangeResult Conflict(const messages::Change& change) const;
  void Put(messages::Object object);
  //! Valid as long as the endpoint and the configuration are.
  LabelView LabelsOf(const messages::EndpointInfo& info) const;
  void SelectEndpoints(const Rule& rule,
                       const CallerFacts& facts,
                       std::vector<std::string>& selected) const;

  std::int64_t revision_ = 0;
  ObjectTable objects_;
  RuleTable rules_;
  ChangeMemory changes_;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_CONFIGURATION_H_
