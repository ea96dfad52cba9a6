#ifndef GOLDCREST_POLICY_RULE_TABLE_H_
#define GOLDCREST_POLICY_RULE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "goldcrest/messages/messages.h"
#include "goldcrest/policy/selector.h"

namespace goldcrest::policy {

//! An access or quota object with its parsed selectors.
struct Rule {
  messages::Object object;
  Selector callers;
  Selector endpoints;
};

//! Live access rules and live quota rules, in the order in which they are
//! tried.
class RuleTable {
 public:
  //! Sort key of a rule: its order, then its name.
  using Rank = std::pair<std::int32_t, std::string>;
  using Rules = std::map<Rank, Rule>;

  //! Updates the rules after a change of one object of any kind; `old_object`
  //! is nullptr for a new object. A rule whose selectors can't be parsed is
  //! left out, so that it matches nothing.
  void Update(const messages::Object* old_object,
              const messages::Object& new_object);

  const Rules& Access() const { return access_; }
  const Rules& Quota() const { return quota_; }

 private:
  Rules access_;
  Rules quota_;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_RULE_TABLE_H_
