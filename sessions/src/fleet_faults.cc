#include <algorithm>
#include <utility>

#include "goldcrest/sessions/fleet.h"

namespace goldcrest::sessions {

void Fleet::Kill(const std::string& instance) {
  Note("kill " + instance);
  Node& node = nodes_.at(instance);
  node.up = false;
  ++node.life;
}

void Fleet::Restart(const std::string& instance, bool lose_disk) {
  Note((lose_disk ? "restart without its disk " : "restart ") + instance);
  Node& node = nodes_.at(instance);
  if (lose_disk)
    node.disk = consensus::RestoredState();
  Start(node, false);
}

void Fleet::Freeze(const std::string& instance) {
  Note("freeze " + instance);
  nodes_.at(instance).frozen = true;
}

void Fleet::Thaw(const std::string& instance) {
  Note("thaw " + instance);
  Node& node = nodes_.at(instance);
  node.frozen = false;
  const auto held = std::exchange(node.held, {});
  for (const auto& run : held)
    At(now_, run);
}

void Fleet::Cut(const std::string& a, const std::string& b) {
  cuts_.insert(std::minmax(a, b));
}

void Fleet::Heal(const std::string& a, const std::string& b) {
  cuts_.erase(std::minmax(a, b));
}

void Fleet::Isolate(const std::string& name) {
  Note("isolate " + name);
  for (const auto& [other, node] : nodes_)
    Cut(name, other);
  for (const auto& [endpoint, group] : group_by_endpoint_)
    Cut(name, endpoint);
}

void Fleet::DelayAnswers(const std::string& endpoint, Duration by) {
  answer_delays_[endpoint] = by;
}

void Fleet::CrossAnswers(const std::string& endpoint, int count) {
  crossed_answers_[endpoint] = count;
}

void Fleet::KillEndpoint(const std::string& endpoint) {
  Note("kill " + endpoint);
  GroupOf(endpoint).member(endpoint).up = false;
}

void Fleet::Drain(const std::string& instance) {
  Note("drain " + instance);
  Node& node = nodes_.at(instance);
  node.entry->BeginDrain();
  node.entry->OnCallerConnectionsClosed();
  if (node.control != nullptr)
    CarryOut(instance, node.control->TransferLeadership(now_));
}

}  // namespace goldcrest::sessions
