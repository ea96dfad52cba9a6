#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "goldcrest/policy/configuration.h"
#include "internal/object_checks.h"

namespace goldcrest::policy {
namespace {

using messages::EndpointInfo;
using messages::Object;
using messages::ObjectKind;
using EndpointsByGroup = std::map<std::string, std::vector<EndpointInfo>>;
using Names = std::set<std::string>;

// Collects the customers, keys and endpoints for which two configurations
// decide differently.
class ConfigurationDiff {
 public:
  ConfigurationDiff(const Configuration& before,
                    const Configuration& after,
                    std::span<const EndpointInfo> endpoints)
      : before_(before), after_(after) {
    // Decisions for this empty group differ for issued and withdrawn keys, even
    // when no endpoint is known.
    groups_[""];
    for (const EndpointInfo& info : endpoints)
      groups_[info.group].push_back(info);
  }

  void CompareKeys() {
    std::map<std::string, std::string> digests;
    for (const Configuration* configuration : {&before_, &after_}) {
      for (const Object& key : configuration->Objects(ObjectKind::KEY))
        digests.emplace(key.name, key.digest);
    }
    for (const auto& [name, digest] : digests) {
      if (!DecisionsDiffer(digest))
        continue;
      keys_.insert(name);
      AddCustomerOf(before_, name);
      AddCustomerOf(after_, name);
    }
    callers_without_key_ = DecisionsDiffer("");
  }

  void CompareQuotas() {
    for (const std::string& name : NamesOf(ObjectKind::CUSTOMER)) {
      if (before_.QuotaOf(name) != after_.QuotaOf(name))
        customers_.insert(name);
    }
  }

  void CompareLeaving() {
    for (const std::string& name : NamesOf(ObjectKind::ENDPOINT)) {
      if (before_.EndpointLeaving(name) != after_.EndpointLeaving(name))
        endpoints_.insert(name);
    }
  }

  DryRunReport Report(messages::ChangeResult result) const {
    return {std::move(result),
            {customers_.begin(), customers_.end()},
            {keys_.begin(), keys_.end()},
            {endpoints_.begin(), endpoints_.end()},
            callers_without_key_};
  }

 private:
  Names NamesOf(ObjectKind::type kind) const {
    Names names;
    for (const Configuration* configuration : {&before_, &after_}) {
      for (const Object& object : configuration->Objects(kind))
        names.insert(object.name);
    }
    return names;
  }

  void AddCustomerOf(const Configuration& configuration,
                     const std::string& key_name) {
    const std::optional<Object> key =
        configuration.Find(ObjectKind::KEY, key_name);
    if (key)
      customers_.insert(key->customer);
  }

  bool DecisionsDiffer(std::string_view digest) {
    bool differ = false;
    for (const auto& [group, infos] : groups_) {
      for (const bool write : {false, true}) {
        const AccessRequest request{digest, group, write, infos};
        const AccessDecision before = before_.Decide(request);
        const AccessDecision after = after_.Decide(request);
        if (before == after)
          continue;
        differ = true;
        AddEndpoints(before.endpoints, after.endpoints);
      }
    }
    return differ;
  }

  void AddEndpoints(std::vector<std::string> before,
                    std::vector<std::string> after) {
    std::sort(before.begin(), before.end());
    std::sort(after.begin(), after.end());
    std::set_symmetric_difference(before.begin(), before.end(), after.begin(),
                                  after.end(),
                                  std::inserter(endpoints_, endpoints_.end()));
  }

  const Configuration& before_;
  const Configuration& after_;
  EndpointsByGroup groups_;
  Names customers_;
  Names keys_;
  Names endpoints_;
  bool callers_without_key_ = false;
};

}  // namespace

DryRunReport Configuration::DryRun(
    const messages::Change& change,
    std::span<const EndpointInfo> endpoints) const {
  DryRunReport refused;
  if (const std::optional<Problem> problem = CheckChange(change)) {
    refused.result.code = ToNumber(problem->code);
    refused.result.revision = revision_;
    refused.result.message = problem->message;
    return refused;
  }
  Configuration after = *this;
  messages::ChangeResult result = after.Evaluate(change);
  ConfigurationDiff diff(*this, after, endpoints);
  diff.CompareKeys();
  diff.CompareQuotas();
  diff.CompareLeaving();
  return diff.Report(std::move(result));
}

}  // namespace goldcrest::policy
