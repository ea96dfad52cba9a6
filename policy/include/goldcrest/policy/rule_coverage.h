#ifndef GOLDCREST_POLICY_RULE_COVERAGE_H_
#define GOLDCREST_POLICY_RULE_COVERAGE_H_

#include "goldcrest/policy/rule_table.h"
#include "goldcrest/policy/selector.h"

namespace goldcrest::policy {

//! False if no labels satisfy all requirements, as in "tier=gold,!tier".
bool CanMatch(const Selector& selector);

//! True if all labels that `narrow` matches are matched by `wide` as well.
//! False also where this can't be told from single requirements.
bool Covers(const Selector& wide, const Selector& narrow);

//! True if the access rule `later` never applies, because `earlier` applies to
//! each of its requests.
bool Shadows(const Rule& earlier, const Rule& later);

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_RULE_COVERAGE_H_
