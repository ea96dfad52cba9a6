#ifndef GOLDCREST_FLEET_TESTS_FAILOVER_GROUP_H_
#define GOLDCREST_FLEET_TESTS_FAILOVER_GROUP_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/fleet/failover_planner.h"

namespace goldcrest::fleet {

// A group with the primary `p` and the replicas `r1` and `r2`, and a planner
// that monitors it.
struct FailoverGroup {
  Time now = TimeFromMicros(100'000'000);
  std::string name = "g";
  routing::EndpointDirectory directory;
  std::vector<std::pair<std::string, ProbePurpose>> probes;
  std::vector<messages::PrimaryAssignment> orders;
  std::vector<messages::PrimaryAssignment> assigned;
  std::int64_t sequence = 0;
  std::vector<messages::WriteHold> holds;
  bool writes_held = true;  // as the entries confirm
  int contact_requests = 0;
  std::map<std::string, int> decisions;  // by event
  std::unique_ptr<FailoverPlanner> planner;

  explicit FailoverGroup(int sync_replicas = 0) {
    SetRole("p", true);
    SetRole("r1", false);
    SetRole("r2", false);
    FailoverHooks hooks;
    hooks.probe = [this](const auto& entry, ProbePurpose purpose) {
      probes.emplace_back(entry.record.endpoint, purpose);
    };
    hooks.fence = [this](const auto& entry, std::int64_t) {
      probes.emplace_back(entry.record.endpoint, ProbePurpose::kFence);
    };
    hooks.promote = [this](const auto& order) { orders.push_back(order); };
    hooks.assigned = [this](const auto& order) { assigned.push_back(order); };
    hooks.hold_writes = [this](const auto& hold) { holds.push_back(hold); };
    hooks.are_writes_held = [this](const auto&) { return writes_held; };
    hooks.request_contacts = [this] { ++contact_requests; };
    hooks.log_decision = [this](const std::string& event, const auto&,
                                const auto&,
                                const auto&) { ++decisions[event]; };
    planner = std::make_unique<FailoverPlanner>(now, 3, &directory, hooks);
    planner->SetGroups(now, {{"g", sync_replicas}});
    planner->Tick(now);
  }

  // The endpoint's address is that of its name without a trailing `n`, the mark
  // of a successor.
  void SetRole(const std::string& endpoint,
               bool primary,
               bool draining = false,
               bool gone = false) {
    messages::EndpointRecord record;
    record.endpoint = endpoint;
    record.address = endpoint.substr(0, endpoint.find('n'));
    record.group = name;
    record.primary = primary;
    record.draining = draining;
    record.gone = gone;
    record.sequence = ++sequence;
    directory.Apply(now, record);
  }

  // Answers the endpoint's newest probe.
  void Answer(const std::string& endpoint,
              ProbeResult::Kind kind,
              std::int64_t number = 0) {
    ProbeResult result{kind, LogPosition{1, number}, now};
    for (const auto& [probed, purpose] : probes) {
      if (probed == endpoint)
        result.purpose = purpose;
    }
    planner->OnProbe(now, "g", endpoint, result);
  }

  void Advance(Duration duration) {
    now += duration;
    planner->Tick(now);
  }

  void FailFor(Duration duration) {
    for (const Time end = now + duration; now < end;) {
      Answer("p", ProbeResult::Kind::kUnreachable);
      Advance(std::chrono::milliseconds(50));
    }
  }

  void Report(const std::string& entry, int success_age, int failing) {
    messages::PrimaryContact contact;
    contact.group = "g";
    contact.endpoint = "p";
    contact.success_age_ms = success_age;
    contact.failing_ms = failing;
    planner->OnContacts(now, entry, {contact});
  }
};

}  // namespace goldcrest::fleet

#endif  // GOLDCREST_FLEET_TESTS_FAILOVER_GROUP_H_
