#include "object_check.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "goldcrest/policy/configuration.h"
#include "goldcrest/policy/label_view.h"
#include "goldcrest/policy/rule_coverage.h"
#include "goldcrest/quota/limit.h"
#include "goldcrest/settings/object_json.h"
#include "goldcrest/types/result_code.h"
#include "object_diff.h"

namespace goldcrest::ctl {
namespace {

using messages::Object;
using messages::ObjectKind;
using policy::Rule;

messages::Change MakeChange(std::int64_t base_revision,
                            std::vector<Object> objects) {
  messages::Change change;
  change.change_id = "check";
  change.base_revision = base_revision;
  change.objects = std::move(objects);
  return change;
}

// Order in which single objects can be applied: what others refer to first.
int Rank(const Object& object) {
  const bool customer = object.kind == ObjectKind::CUSTOMER;
  if (object.deleted)
    return customer ? 3 : 0;
  return customer ? 1 : 2;
}

// Applies single objects and returns the problems of the others. Apply() names
// the first one only.
std::vector<messages::ChangeResult> ApplySingly(
    std::vector<Object> objects,
    policy::Configuration& configuration) {
  std::ranges::stable_sort(objects, {}, Rank);
  std::vector<messages::ChangeResult> problems;
  int count = 0;
  for (const Object& object : objects) {
    messages::Change change = MakeChange(-1, {object});
    change.change_id += std::to_string(++count);
    messages::ChangeResult result = configuration.Apply(change);
    if (result.code != ToNumber(ResultCode::kOk))
      problems.push_back(std::move(result));
  }
  return problems;
}

void AddRefusal(const messages::ChangeResult& refusal,
                bool in_force_known,
                CheckReport& report) {
  const bool reference =
      refusal.code == ToNumber(ResultCode::kUnknownReference);
  if (reference && !in_force_known)
    report.warnings.push_back(
        {"", refusal.message + " (without --against)", ""});
  else
    report.errors.push_back({"", refusal.message, ""});
}

std::string Place(const Object& object, std::string_view field) {
  return fmt::format("{} '{}': field '{}':", settings::ToText(object.kind),
                     object.name, field);
}

// The customers and keys of a configuration. Empty where only a part of the
// configuration is known.
class Callers {
 public:
  Callers() = default;
  explicit Callers(const policy::Configuration& configuration)
      : customers_(configuration.Objects(ObjectKind::CUSTOMER)),
        keys_(configuration.Objects(ObjectKind::KEY)) {}

  bool AnyCustomer(const policy::Selector& selector) const {
    return std::ranges::any_of(customers_, [&](const Object& customer) {
      policy::LabelView labels(customer.labels);
      labels.AddBuiltIn("customer", customer.name);
      return selector.Matches(labels);
    });
  }

  bool Matches(const policy::Selector& selector, const Object& key) const {
    const auto customer =
        std::ranges::find(customers_, key.customer, &Object::name);
    if (customer == customers_.end())
      return false;
    policy::LabelView labels(customer->labels);
    labels.AddLayer(key.labels);
    labels.AddBuiltIn("customer", customer->name);
    labels.AddBuiltIn("key", key.name);
    return selector.Matches(labels);
  }

  const std::vector<Object>& keys() const { return keys_; }
  bool HasCustomers() const { return !customers_.empty(); }

 private:
  std::vector<Object> customers_;
  std::vector<Object> keys_;
};

void CheckSelector(const Rule& rule,
                   std::string_view field,
                   const policy::Selector& selector,
                   CheckReport& report) {
  if (!policy::CanMatch(selector))
    report.warnings.push_back({Place(rule.object, field),
                               "no labels satisfy it",
                               "requirements that don't exclude each other"});
}

void CheckAccess(const policy::RuleTable& rules,
                 const Callers& callers,
                 CheckReport& report) {
  for (const auto& [rank, rule] : rules.Access()) {
    CheckSelector(rule, "callers", rule.callers, report);
    CheckSelector(rule, "endpoints", rule.endpoints, report);
    for (const auto& [earlier_rank, earlier] : rules.Access()) {
      if (earlier_rank == rank)
        break;
      if (!policy::Shadows(earlier, rule))
        continue;
      report.warnings.push_back(
          {Place(rule.object, "order"),
           fmt::format("access '{}' applies to all its requests before it",
                       earlier.object.name),
           "a lower order, or remove it"});
      break;
    }
  }
  for (const Object& key : callers.keys()) {
    const bool admitted =
        std::ranges::any_of(rules.Access(), [&](const auto& item) {
          return callers.Matches(item.second.callers, key);
        });
    if (!admitted)
      report.warnings.push_back({fmt::format("key '{}'", key.name),
                                 "no access rule matches its labels",
                                 "labels that the callers of a rule match"});
  }
}

void CheckQuotas(const policy::RuleTable& rules,
                 const Callers& callers,
                 CheckReport& report) {
  for (const auto& [rank, rule] : rules.Quota()) {
    CheckSelector(rule, "callers", rule.callers, report);
    if (callers.HasCustomers() && policy::CanMatch(rule.callers) &&
        !callers.AnyCustomer(rule.callers))
      report.warnings.push_back({Place(rule.object, "callers"),
                                 "no customer has such labels",
                                 "labels of a customer"});
    for (const auto& [earlier_rank, earlier] : rules.Quota()) {
      if (earlier_rank == rank)
        break;
      if (!policy::Covers(earlier.callers, rule.callers))
        continue;
      report.warnings.push_back(
          {Place(rule.object, "order"),
           fmt::format("quota '{}' applies to all its customers before it",
                       earlier.object.name),
           "a lower order, or remove it"});
      break;
    }
    const quota::LimitWindow window;
    const double yield = static_cast<double>(rule.object.rate_micros) *
                         std::chrono::duration<double>(window.length).count();
    if (static_cast<double>(rule.object.burst_micros) > yield)
      report.warnings.push_back(
          {Place(rule.object, "burst"),
           fmt::format("takes longer than a window of {} s to return at its "
                       "rate",
                       std::chrono::duration<double>(window.length).count()),
           fmt::format("at most {}", yield / quota::kRequestMicros)});
  }
}

// What is in force, as tables of rules. The same as the configuration's own.
policy::RuleTable RulesOf(const policy::Configuration& configuration) {
  policy::RuleTable rules;
  for (const auto kind : {ObjectKind::ACCESS, ObjectKind::QUOTA}) {
    for (const Object& object : configuration.Objects(kind))
      rules.Update(nullptr, object);
  }
  return rules;
}

// Lowered limits first, then removed keys, removed access, other removals,
// changes and additions.
int ChangeRank(const std::string& line,
               const messages::Object* before,
               const messages::Object* after) {
  if (before != nullptr && after != nullptr && !after->deleted)
    return after->rate_micros < before->rate_micros ||
                   after->burst_micros < before->burst_micros
               ? 0
               : 4;
  if (line.starts_with("- key"))
    return 1;
  if (line.starts_with("- access"))
    return 2;
  return line.starts_with("- ") ? 3 : 5;
}

std::vector<std::string> RankedChanges(const std::vector<Object>& current,
                                       const std::vector<Object>& wanted) {
  std::map<std::pair<ObjectKind::type, std::string>, const Object*> existing;
  for (const Object& object : current) {
    if (!object.deleted)
      existing[{object.kind, object.name}] = &object;
  }
  std::vector<std::pair<int, std::string>> ranked;
  for (const Object& object : wanted) {
    const auto it = existing.find({object.kind, object.name});
    const Object* before = it == existing.end() ? nullptr : it->second;
    std::vector<Object> compared;
    if (before != nullptr)
      compared.push_back(*before);
    for (std::string& line : DiffObjects(compared, {object})) {
      const int rank = ChangeRank(line, before, &object);
      ranked.emplace_back(rank, std::move(line));
    }
  }
  std::ranges::stable_sort(ranked, {}, &std::pair<int, std::string>::first);
  std::vector<std::string> lines;
  lines.reserve(ranked.size());
  for (auto& [rank, line] : ranked)
    lines.push_back(std::move(line));
  return lines;
}

}  // namespace

CheckReport CheckObjects(std::optional<std::int64_t> base_revision,
                         const std::vector<Object>& objects,
                         const std::optional<ObjectsInForce>& in_force) {
  CheckReport report;
  policy::Configuration configuration;
  if (in_force) {
    configuration.Load({in_force->revision, in_force->objects, {}});
    report.changes = RankedChanges(in_force->objects, objects);
  }
  policy::Configuration singly = configuration;
  const messages::ChangeResult result = configuration.Apply(
      MakeChange(in_force ? base_revision.value_or(-1) : -1, objects));
  if (result.code != ToNumber(ResultCode::kOk)) {
    auto problems = ApplySingly(objects, singly);
    const bool known = std::ranges::any_of(problems, [&](const auto& problem) {
      return problem.message == result.message;
    });
    if (!known)
      problems.insert(problems.begin(), result);
    for (const messages::ChangeResult& problem : problems)
      AddRefusal(problem, in_force.has_value(), report);
    if (!report.errors.empty())
      return report;
    configuration = std::move(singly);
  }
  const policy::RuleTable rules = RulesOf(configuration);
  const Callers callers = in_force ? Callers(configuration) : Callers();
  CheckAccess(rules, callers, report);
  CheckQuotas(rules, callers, report);
  return report;
}

}  // namespace goldcrest::ctl
