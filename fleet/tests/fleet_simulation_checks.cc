// Operators and callers, and the promises that are checked.

#include <algorithm>
#include <chrono>
#include <memory>

#include "simulated_nodes.h"

namespace goldcrest::fleet {
namespace {

using std::chrono::milliseconds;
using Kind = ConfigurationResult::Kind;

constexpr Duration kOperatorTimeout = milliseconds(1'000);

}  // namespace

std::int64_t FleetSimulation::Change() {
  const std::int64_t version = next_version_;
  next_version_ += Random(1, 3);
  auto table = std::make_shared<routing::RoutingTable>();
  if (!tables_.empty())
    *table = *tables_.rbegin()->second;
  table->version = version;
  routing::Route route;
  route.name = route.database = SimulatedRoute(version);
  route.group = kSimulatedGroup;
  route.statement_timeout = milliseconds(1'000);
  route.target_latency = milliseconds(400);
  table->routes[route.database] = route;
  table->groups[kSimulatedGroup] = {kSimulatedGroup, 100, 0};
  table->customers = {{"customer", {"key"}, 1'000, 1'000}};
  table->keys = {{"key", 0}};
  tables_[version] = table;
  changes_[version].sent_at = network_.Now();
  SendChange(version);
  return version;
}

bool FleetSimulation::Acknowledged(std::int64_t version) const {
  return acknowledged_.contains(version);
}

void FleetSimulation::SendChange(std::int64_t version) {
  const auto it = changes_.find(version);
  if (it == changes_.end())
    return;
  const int attempt = ++it->second.attempt;
  it->second.answered = false;
  std::vector<std::string> names;
  for (const auto& [name, node] : controllers_) {
    if (!node->removed)
      names.push_back(name);
  }
  SendChangeTo(version, Pick(names), 0);
  network_.After(kOperatorTimeout, [this, version, attempt] {
    const auto change = changes_.find(version);
    if (change != changes_.end() && change->second.attempt == attempt &&
        !change->second.answered)
      SendChange(version);
  });
}

void FleetSimulation::SendChangeTo(std::int64_t version,
                                   const std::string& controller,
                                   int redirects) {
  network_.After(
      RandomMilliseconds(1, 4), [this, version, controller, redirects] {
        const auto it = controllers_.find(controller);
        if (it == controllers_.end() || it->second->core == nullptr ||
            network_.IsBlocked(controller))
          return;
        ControllerNode& node = *it->second;
        node.core->Put(
            network_.Now(), version, std::to_string(version),
            [this, version, redirects, &node,
             process = node.process](const ConfigurationResult& result) {
              // The answer leaves once the process no longer waits for its
              // disk.
              network_.At(
                  std::max(network_.Now(), node.durable_at) + milliseconds(2),
                  [this, version, redirects, &node, process, result] {
                    if (node.core != nullptr && node.process == process)
                      OnChangeAnswered(version, result, redirects);
                  });
            });
      });
}

void FleetSimulation::OnChangeAnswered(std::int64_t version,
                                       const ConfigurationResult& result,
                                       int redirects) {
  const auto it = changes_.find(version);
  if (it == changes_.end())
    return;
  if (result.kind == Kind::kDone) {
    acknowledged_[version] = network_.Now();
    changes_.erase(it);
    return;
  }
  if (result.kind == Kind::kNotLeader && redirects < 2)
    return SendChangeTo(version, result.leader, redirects + 1);
  it->second.answered = true;
  network_.After(RandomMilliseconds(100, 400),
                 [this, version] { SendChange(version); });
}

std::int64_t FleetSimulation::NewestAcknowledged(Time before) const {
  std::int64_t newest = 0;
  for (const auto& [version, time] : acknowledged_) {
    if (time <= before)
      newest = std::max(newest, version);
  }
  return newest;
}

void FleetSimulation::CheckEntries() {
  const Time now = network_.Now();
  const std::int64_t due =
      NewestAcknowledged(now - options_.configuration_bound);
  if (due == 0)
    return;
  for (const auto& [name, node] : entries_) {
    if (node->controllers == nullptr || network_.IsBlocked(name) ||
        node->proxy->Version() == 0)
      continue;
    const statements::SessionId session = next_session_++;
    node->proxy->OnSessionStart(now, session, SimulatedRoute(due), "key");
    if (node->answers[session].outcome == statements::Outcome::kUnknownDatabase)
      Violate(name + " refuses a route of version " + std::to_string(due) +
              ", which was acknowledged " +
              ToMillisecondsText(now - acknowledged_.at(due)) +
              " before; it has " + std::to_string(node->proxy->Version()));
    const auto answer = node->answers.find(session);
    if (answer != node->answers.end() &&
        answer->second.outcome == statements::Outcome::kDone &&
        node->proxy->Version() < node->acknowledged_at_start)
      Violate(name + " serves with version " +
              std::to_string(node->proxy->Version()) + "; " +
              std::to_string(node->acknowledged_at_start) +
              " was acknowledged before it started");
    node->proxy->OnSessionClosed(now, session);
    node->answers.erase(session);
    const bool in_touch = now - node->disturbed_at >= options_.contact_window &&
                          now - core_disturbed_at_ >= options_.contact_window;
    if (in_touch && node->proxy->Version() < due)
      Violate(name + " has version " + std::to_string(node->proxy->Version()) +
              "; " + std::to_string(due) + " was acknowledged " +
              ToMillisecondsText(now - acknowledged_.at(due)) + " before");
  }
}

void FleetSimulation::CheckRead() {
  const auto live = LiveControllers();
  if (live.empty())
    return;
  const std::string name = Pick(live);
  const ConfigurationResult result =
      controllers_.at(name)->core->Get(network_.Now());
  const std::int64_t newest = NewestAcknowledged(network_.Now());
  if (result.kind == Kind::kDone &&
      (result.text.empty() ? 0 : std::stoll(result.text)) < newest)
    Violate(name + " returns version " + result.text + "; " +
            std::to_string(newest) + " was acknowledged");
}

void FleetSimulation::CheckAcknowledgments() {
  const Time now = network_.Now();
  for (auto& [version, change] : changes_) {
    const Time since =
        std::max(change.sent_at, core_disturbed_at_ + options_.contact_window);
    if (now - since < options_.acknowledgment_bound)
      continue;
    Violate("version " + std::to_string(version) + " is not acknowledged " +
            ToMillisecondsText(now - since) + " after the fleet was whole");
    change.sent_at = now;
  }
}

std::int64_t FleetSimulation::EntryVersion(int entry) const {
  const EntryNode& node = *entries_.at(EntryName(entry));
  return node.proxy == nullptr ? 0 : node.proxy->Version();
}

void FleetSimulation::RequestWrite(int entry,
                                   const std::function<void(bool)>& done) {
  EntryNode& node = *entries_.at(EntryName(entry));
  if (node.proxy == nullptr)
    return done(false);
  const Time now = network_.Now();
  const statements::SessionId session = next_session_++;
  node.waiting[session] = done;
  node.proxy->OnSessionStart(now, session,
                             SimulatedRoute(tables_.begin()->first), "key");
  if (!node.waiting.contains(session))
    return;
  statements::Statement statement;
  statement.kind = statements::StatementKind::kWrite;
  statement.id = "w" + std::to_string(session);
  statement.text = "WRITE a b";
  statement.writes = true;
  node.answers.erase(session);
  node.proxy->OnStatement(now, session, statement);
  network_.After(
      milliseconds(400), [this, &node, session, process = node.process] {
        const auto it = node.waiting.find(session);
        if (it == node.waiting.end() || node.process != process)
          return;
        const auto finished = it->second;
        node.waiting.erase(it);
        const auto answer = node.answers.find(session);
        finished(answer != node.answers.end() &&
                 answer->second.outcome == statements::Outcome::kDone);
        node.proxy->OnSessionClosed(network_.Now(), session);
      });
}

void FleetSimulation::CheckRecovery() {
  const Time back_at = network_.Now();
  while (network_.Now() - back_at < options_.recovery_bound) {
    const auto served_count = std::make_shared<int>(0);
    const Duration elapsed = network_.Now() - back_at;
    for (int i = 0; i < options_.entries; ++i) {
      RequestWrite(i, [this, served_count, elapsed](bool served) {
        *served_count += served ? 1 : 0;
        if (!recovery_time_ && *served_count * 10 >= options_.entries * 9)
          recovery_time_ = elapsed;
      });
    }
    Run(milliseconds(100));
  }
  Run(milliseconds(500));
  if (!recovery_time_)
    Violate("no service " + ToMillisecondsText(options_.recovery_bound) +
            " after the instances were back");
  Run(options_.contact_window);
  const std::string leader = Leader();
  if (leader.empty())
    return Violate("no controller leads at the end");
  const std::int64_t newest = NewestAcknowledged(network_.Now());
  const std::string text =
      controllers_.at(leader)->core->Get(network_.Now()).text;
  if (text.empty() || std::stoll(text) < newest)
    Violate("version " + std::to_string(newest) + " is lost; " + text +
            " is read back");
  const std::int64_t version = Change();
  Run(options_.acknowledgment_bound);
  if (!Acknowledged(version))
    Violate("the last configuration is not acknowledged");
}

}  // namespace goldcrest::fleet
