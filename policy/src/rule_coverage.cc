#include "goldcrest/policy/rule_coverage.h"

#include <algorithm>

namespace goldcrest::policy {
namespace {

using Operator = Selector::Operator;
using Requirement = Selector::Requirement;

bool IsSubset(const Requirement& subset, const Requirement& set) {
  return std::ranges::includes(set.values, subset.values);
}

bool AreDisjoint(const Requirement& left, const Requirement& right) {
  return std::ranges::none_of(left.values, [&](const std::string& value) {
    return std::ranges::binary_search(right.values, value);
  });
}

// True if labels that meet `given` meet `wanted`.
bool Implies(const Requirement& given, const Requirement& wanted) {
  if (given.label != wanted.label)
    return false;
  switch (wanted.op) {
    case Operator::kExists:
      return given.op == Operator::kExists || given.op == Operator::kIn;
    case Operator::kNotExists:
      return given.op == Operator::kNotExists;
    case Operator::kIn:
      return given.op == Operator::kIn && IsSubset(given, wanted);
    case Operator::kNotIn:
      return given.op == Operator::kNotExists ||
             (given.op == Operator::kNotIn && IsSubset(wanted, given)) ||
             (given.op == Operator::kIn && AreDisjoint(given, wanted));
  }
  return false;
}

// True if no labels meet both requirements.
bool Contradict(const Requirement& left, const Requirement& right) {
  if (left.label != right.label)
    return false;
  const bool left_exists =
      left.op == Operator::kExists || left.op == Operator::kIn;
  if (left_exists && right.op == Operator::kNotExists)
    return true;
  if (left.op != Operator::kIn)
    return false;
  return (right.op == Operator::kIn && AreDisjoint(left, right)) ||
         (right.op == Operator::kNotIn && IsSubset(left, right));
}

}  // namespace

bool CanMatch(const Selector& selector) {
  const auto& all = selector.Requirements();
  return std::ranges::none_of(all, [&](const Requirement& left) {
    return std::ranges::any_of(
        all, [&](const Requirement& right) { return Contradict(left, right); });
  });
}

bool Covers(const Selector& wide, const Selector& narrow) {
  return std::ranges::all_of(
      wide.Requirements(), [&](const Requirement& wanted) {
        return std::ranges::any_of(
            narrow.Requirements(),
            [&](const Requirement& given) { return Implies(given, wanted); });
      });
}

bool Shadows(const Rule& earlier, const Rule& later) {
  const bool mode = earlier.object.mode == messages::AccessMode::WRITE ||
                    later.object.mode == messages::AccessMode::READ;
  // A later rule for writes also serves reads; the earlier one must do both.
  return mode && (earlier.object.open || !later.object.open) &&
         Covers(earlier.callers, later.callers) &&
         Covers(earlier.endpoints, later.endpoints);
}

}  // namespace goldcrest::policy
