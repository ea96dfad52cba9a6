// Updates from controllers: configuration, endpoints, primaries and positions.

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

#include "goldcrest/routing/endpoint_record.h"
#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest::statements {

void StatementProxy::SetLimits(const routing::RoutingTable& table) {
  std::map<std::string, quota::Limit> before;
  const auto limit_of = [this](const routing::Customer& customer) {
    return quota::LimitFor(customer.rate_per_second, customer.burst,
                           options_.limit_window);
  };
  if (table_) {
    for (const routing::Customer& customer : table_->customers)
      before[customer.name] = limit_of(customer);
  }
  for (const routing::Customer& customer : table.customers) {
    const quota::Limit limit = limit_of(customer);
    const auto it = before.find(customer.name);
    if (it == before.end() || !(it->second == limit)) {
      Decision decision;
      decision.event = "limit_changed";
      decision.customer = customer.name;
      decision.cause = std::to_string(customer.rate_per_second) +
                       " a second, burst " + std::to_string(customer.burst);
      decision.configuration_version = table.version;
      hooks_.log_decision(decision);
      holder_.SetLimit(customer.name, limit);
    }
    if (it != before.end())
      before.erase(it);
  }
  for (const auto& [name, limit] : before)
    holder_.SetLimit(name, std::nullopt);
}

void StatementProxy::OnRoutingTable(Time now, routing::RoutingTablePtr table) {
  if (table_ && table->version <= table_->version)
    return;
  SetLimits(*table);
  hooks_.log_decision({"configuration_applied",
                       "",
                       "",
                       "",
                       "was version " + std::to_string(Version()),
                       {},
                       table->version});
  table_ = std::move(table);
  ConfirmConfiguration(now);
  EndWithdrawnOperations(now);
}

void StatementProxy::OnVersionAnnounced(std::int64_t version) {
  announced_version_ = std::max(announced_version_, version);
}

void StatementProxy::OnNewestVersion(Time now,
                                     std::int64_t version,
                                     Time time) {
  if (newest_version_ && time < newest_version_->second)
    return;
  newest_version_ = {version, time};
  ConfirmConfiguration(now);
}

// Applies the leader's last word to the version in force.
void StatementProxy::ConfirmConfiguration(Time now) {
  if (table_ == nullptr || !newest_version_ ||
      newest_version_->first > Version())
    return;
  const bool first = !HasConfirmedConfiguration();
  configuration_confirmed_at_ = newest_version_->second;
  if (!first)
    return;
  hooks_.log_decision(
      {"configuration_confirmed", "", "", "",
       "the leader has version " + std::to_string(newest_version_->first),
       now - newest_version_->second, Version()});
  for (const PendingSessionStart& start :
       std::exchange(pending_session_starts_, {}))
    OnSessionStart(now, start.session, start.database, start.key);
}

bool StatementProxy::IsConfigurationCurrent(Time now) const {
  if (announced_version_ > Version())
    return false;
  return options_.max_configuration_age == Duration::max() ||
         (configuration_confirmed_at_ &&
          now - *configuration_confirmed_at_ <= options_.max_configuration_age);
}

std::pair<Outcome, std::string> StatementProxy::RefuseUnknown(
    Time now,
    Outcome outcome,
    const std::string& what) {
  std::string message =
      what + " in version " + std::to_string(Version()) + ", confirmed ";
  if (configuration_confirmed_at_) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - *configuration_confirmed_at_);
    message += std::to_string(age.count()) + " ms ago";
  } else {
    message += "never";
  }
  if (IsConfigurationCurrent(now))
    return {outcome, message};
  if (announced_version_ > Version())
    message += "; version " + std::to_string(announced_version_) + " exists";
  return {Outcome::kBusy, message + AdviseRetryForConfiguration(now)};
}

void StatementProxy::OnEndpoint(Time now,
                                const messages::EndpointRecord& record) {
  if (!routing::FindRecordProblem(record).empty() ||
      directory_.Apply(now, record) !=
          routing::EndpointDirectory::MergeResult::kChanged)
    return;
  hooks_.log_decision({"endpoint_changed",
                       "",
                       record.group,
                       record.endpoint,
                       routing::DescribeState(record),
                       {},
                       Version()});
  DispatchGroup(now, record.group);
}

void StatementProxy::OnAssignment(
    Time now,
    const messages::PrimaryAssignment& assignment) {
  primaries_.OnAssignment(now, assignment);
  DispatchGroup(now, assignment.group);
}

void StatementProxy::OnConfirmedPosition(const std::string& group,
                                         Time requested_at,
                                         LogPosition position) {
  positions_[group].Confirm(requested_at, position);
}

void StatementProxy::OnEntryCount(int entries) {
  options_.entry_count = std::max(1, entries);
}

void StatementProxy::OnShares(Time now) {
  token_forecast_.OnOwnerAnswer(now);
  AdmitWaitingOperations(now);
}

}  // namespace goldcrest::statements
