#include <algorithm>
#include <utility>

#include "goldcrest/sessions/fleet.h"

namespace goldcrest::sessions {

void Fleet::Kill(const std::string& instance) {
  AddToTranscript("kill " + instance);
  Node& node = nodes_.at(instance);
  node.up = false;
  ++node.generation;
}

void Fleet::Restart(const std::string& instance, bool lose_disk) {
  AddToTranscript((lose_disk ? "restart without its disk " : "restart ") +
                  instance);
  Node& node = nodes_.at(instance);
  if (lose_disk)
    node.disk = consensus::RestoredState();
  StartNode(node, false);
}

void Fleet::Pause(const std::string& instance) {
  AddToTranscript("freeze " + instance);
  nodes_.at(instance).paused = true;
}

void Fleet::Resume(const std::string& instance) {
  AddToTranscript("thaw " + instance);
  Node& node = nodes_.at(instance);
  node.paused = false;
  const auto deferred_events = std::exchange(node.deferred_events, {});
  for (const auto& run : deferred_events)
    Schedule(now_, run);
}

void Fleet::Partition(const std::string& a, const std::string& b) {
  partitions_.insert(std::minmax(a, b));
}

void Fleet::Heal(const std::string& a, const std::string& b) {
  partitions_.erase(std::minmax(a, b));
}

void Fleet::Isolate(const std::string& name) {
  AddToTranscript("isolate " + name);
  for (const auto& [other, node] : nodes_)
    Partition(name, other);
  for (const auto& [endpoint, group] : group_by_endpoint_)
    Partition(name, endpoint);
}

void Fleet::DelayAnswers(const std::string& endpoint, Duration delay) {
  answer_delays_[endpoint] = delay;
}

void Fleet::MismatchAnswers(const std::string& endpoint, int count) {
  mismatched_answers_[endpoint] = count;
}

void Fleet::KillEndpoint(const std::string& endpoint) {
  AddToTranscript("kill " + endpoint);
  GroupOf(endpoint).member(endpoint).up = false;
}

void Fleet::Drain(const std::string& instance) {
  AddToTranscript("drain " + instance);
  Node& node = nodes_.at(instance);
  node.entry->BeginDrain();
  node.entry->OnCallerConnectionsClosed();
  if (node.control != nullptr)
    ApplyEffects(instance, node.control->TransferLeadership(now_));
}

}  // namespace goldcrest::sessions
