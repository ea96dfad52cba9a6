#include "goldcrest/sessions/fleet.h"

#include <algorithm>
#include <random>

#include <fmt/format.h>

#include "goldcrest/messages/codec.h"

namespace goldcrest::sessions {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kServiceTime = std::chrono::milliseconds(1);
constexpr Duration kAnswerTimeout = std::chrono::seconds(30);
// Delay of a message that an instance sends to itself.
constexpr Duration kLocalDelay = std::chrono::microseconds(10);

}  // namespace

Fleet::Fleet(int entry_count, int control_count) {
  for (int i = 1; i <= entry_count; ++i) {
    const std::string name = fmt::format("e{}", i);
    Node& node = nodes_[name];
    node.info.instance = name;
    node.info.zone = fmt::format("z{}", (i - 1) % 3 + 1);
    node.control_role = i <= control_count;
    if (node.control_role)
      control_names_.push_back(name);
  }
  for (auto& [name, node] : nodes_)
    StartNode(node, true);
}

Fleet::~Fleet() = default;

void Fleet::StartNode(Node& node, bool bootstrap) {
  node.up = true;
  node.paused = false;
  node.deferred_events.clear();
  ++node.generation;
  node.info.incarnation = static_cast<std::int64_t>(node.generation);
  const std::string name = node.info.instance;
  const auto seed = std::hash<std::string>()(name) + node.generation;
  const auto generator = std::make_shared<std::mt19937_64>(seed);
  const auto random_bytes = [generator](std::size_t count) {
    std::string bytes;
    for (std::size_t i = 0; i < count; ++i)
      bytes.push_back(static_cast<char>((*generator)()));
    return bytes;
  };
  entry::EntryNodeOptions options;
  options.control.self = node.info;
  options.control.control_members = control_names_;
  node.entry = std::make_unique<entry::EntryNode>(
      options, entry::EntryNodeHooks{
                   random_bytes, [this] { return ToMicros(now_) / 1'000; }});
  if (node.control_role) {
    consensus::ReplicaOptions replica;
    replica.self = name;
    if (bootstrap)
      replica.bootstrap_members = control_names_;
    entry::ControlNodeHooks hooks;
    hooks.persist = [&node](const std::vector<consensus::LogWrite>& writes) {
      WriteToDisk(writes, &node.disk);
      return true;
    };
    hooks.random_secret = [random_bytes] { return random_bytes(32); };
    hooks.wall_ms = [this] { return ToMicros(now_) / 1'000; };
    node.control = std::make_unique<entry::ControlNode>(
        replica, control::LeaderOptions(), node.disk, *generator, hooks);
  }
  TickNode(name);
}

void Fleet::WriteToDisk(const std::vector<consensus::LogWrite>& writes,
                        consensus::RestoredState* disk) {
  disk->fresh = false;
  const auto erase_from = [disk](std::int64_t index) {
    std::erase_if(disk->entries, [index](const messages::LogEntry& entry) {
      return entry.index >= index;
    });
  };
  for (const consensus::LogWrite& write : writes) {
    if (const auto* hard_state = std::get_if<consensus::HardState>(&write))
      disk->hard_state = *hard_state;
    if (const auto* truncate = std::get_if<consensus::TruncateLog>(&write))
      erase_from(truncate->index);
    if (const auto* append = std::get_if<consensus::AppendEntries>(&write))
      disk->entries.insert(disk->entries.end(), append->entries.begin(),
                           append->entries.end());
    if (const auto* save = std::get_if<consensus::SaveSnapshot>(&write)) {
      const consensus::Snapshot& snapshot = save->snapshot;
      const bool has_last_entry = std::ranges::any_of(
          disk->entries, [&](const messages::LogEntry& entry) {
            return entry.index == snapshot.last_index &&
                   entry.term == snapshot.last_term;
          });
      if (!has_last_entry)
        disk->entries.clear();
      std::erase_if(disk->entries, [&](const messages::LogEntry& entry) {
        return entry.index <= snapshot.last_index;
      });
      disk->snapshot = snapshot;
    }
  }
}

FakeGroup& Fleet::AddGroup(const std::string& group, int members, int slots) {
  FakeGroup& fake_group = groups_[group];
  for (int i = 1; i <= members; ++i) {
    messages::EndpointInfo info;
    info.endpoint = fmt::format("{}-{}", group, i);
    info.group = group;
    info.zone = fmt::format("z{}", (i - 1) % 3 + 1);
    info.slots = slots;
    info.connections = 25;
    info.incarnation = 1;
    fake_group.AddMember(info, std::chrono::milliseconds(5));
    group_by_endpoint_[info.endpoint] = group;
    messages::Announcement announcement;
    announcement.info = info;
    Schedule(now_, [this, announcement] { Announce("e1", announcement); });
  }
  return fake_group;
}

messages::ProposeResponse Fleet::Configure(const std::string& entry_name,
                                           const messages::Change& change) {
  const std::uint64_t id = StartChange(entry_name, change);
  RunUntil([&] { return operator_answers_.contains(id); }, kAnswerTimeout);
  return operator_answers_[id];
}

std::uint64_t Fleet::StartChange(const std::string& entry_name,
                                 const messages::Change& change) {
  messages::ProposeRequest request;
  request.command.__set_change(change);
  request.wait_in_force = true;
  return StartProposal(entry_name, request);
}

messages::ProposeResponse Fleet::Propose(
    const std::string& entry_name,
    const messages::ProposeRequest& request) {
  const std::uint64_t id = StartProposal(entry_name, request);
  RunUntil([&] { return operator_answers_.contains(id); }, kAnswerTimeout);
  return operator_answers_[id];
}

std::uint64_t Fleet::StartProposal(const std::string& entry_name,
                                   const messages::ProposeRequest& request) {
  const std::uint64_t id = next_request_id_++;
  ApplyEffects(entry_name,
               entry(entry_name)
                   .OnOperatorProposal(id, request,
                                       now_ + std::chrono::seconds(10), now_));
  return id;
}

const messages::ProposeResponse* Fleet::AnswerToChange(std::uint64_t id) const {
  const auto it = operator_answers_.find(id);
  return it == operator_answers_.end() ? nullptr : &it->second;
}

void Fleet::Call(const std::string& label,
                 const std::string& entry_name,
                 entry::CallerRequest request) {
  request.id = next_request_id_++;
  labels_[request.id] = label;
  AddToTranscript(
      fmt::format("{} -> {}: {}", label, entry_name, request.statement));
  ApplyEffects(entry_name, entry(entry_name).OnCallerRequest(request, now_));
}

const entry::CallerAnswer* Fleet::AnswerTo(const std::string& label) const {
  const auto it = answers_.find(label);
  return it == answers_.end() ? nullptr : &it->second;
}

entry::CallerAnswer Fleet::CallAndWait(const std::string& label,
                                       const std::string& entry_name,
                                       entry::CallerRequest request) {
  Call(label, entry_name, std::move(request));
  RunUntil([&] { return answers_.contains(label); }, kAnswerTimeout);
  return answers_[label];
}

void Fleet::Run(Duration duration) {
  RunUntil([] { return false; }, duration);
}

bool Fleet::RunUntil(const std::function<bool()>& condition, Duration timeout) {
  const Time end = now_ + timeout;
  while (!condition()) {
    if (events_.empty() || events_.top().at > end) {
      now_ = end;
      return false;
    }
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    event.run();
  }
  return true;
}

void Fleet::KillZone(const std::string& zone) {
  for (const auto& [name, node] : nodes_) {
    if (node.info.zone == zone)
      Kill(name);
  }
  for (const auto& [endpoint, group] : group_by_endpoint_) {
    if (groups_.at(group).member(endpoint).info.zone == zone)
      KillEndpoint(endpoint);
  }
}

void Fleet::Announce(const std::string& entry_name,
                     const messages::Announcement& announcement) {
  ApplyEffects(entry_name,
               entry(entry_name).OnAnnouncement(announcement, now_));
}

entry::EntryNode& Fleet::entry(const std::string& instance) {
  return *nodes_.at(instance).entry;
}

entry::ControlNode& Fleet::control(const std::string& instance) {
  return *nodes_.at(instance).control;
}

std::string Fleet::ControlLeader() const {
  for (const auto& [name, node] : nodes_) {
    if (node.up && node.control != nullptr && node.control->IsLeader() &&
        node.control->replica().HoldsLeaderLease(now_))
      return name;
  }
  return {};
}

std::string Fleet::CoordinatorOf(const std::string& group) {
  for (const auto& [name, node] : nodes_) {
    if (!node.up || node.paused)
      continue;
    const auto it = node.entry->coordinators().find(group);
    if (it != node.entry->coordinators().end() &&
        it->second->phase() == coordinator::GroupCoordinator::Phase::kServing)
      return name;
  }
  return {};
}

std::string Fleet::PrimaryOf(const std::string& group) {
  const std::string coordinator = CoordinatorOf(group);
  if (coordinator.empty())
    return {};
  return entry(coordinator).coordinators().at(group)->primary();
}

std::vector<std::string> Fleet::instances() const {
  std::vector<std::string> names;
  for (const auto& [name, node] : nodes_)
    names.push_back(name);
  return names;
}

void Fleet::AddToTranscript(const std::string& text) {
  transcript_ += fmt::format("{:>9.3f} {}\n",
                             static_cast<double>(ToMicros(now_)) / 1e6, text);
}

void Fleet::Schedule(Time time, std::function<void()> run) {
  events_.push({time, next_order_++, std::move(run)});
}

void Fleet::ScheduleOnNode(const std::string& name,
                           Duration delay,
                           std::function<void()> run) {
  const std::uint64_t generation = nodes_.at(name).generation;
  Schedule(now_ + delay, [this, name, generation, run = std::move(run)] {
    Node& node = nodes_.at(name);
    if (node.generation != generation || !node.up)
      return;
    if (node.paused)
      node.deferred_events.push_back(run);
    else
      run();
  });
}

void Fleet::TickNode(const std::string& name) {
  Node& node = nodes_.at(name);
  ApplyEffects(name, node.entry->Tick(now_));
  if (node.control != nullptr)
    ApplyEffects(name, node.control->Tick(now_));
  for (auto& [group, fake_group] : groups_)
    fake_group.Replicate(now_);
  ScheduleOnNode(name, kTickInterval, [this, name] { TickNode(name); });
}

void Fleet::ApplyEffects(const std::string& name,
                         const entry::EntryEffects& effects) {
  for (const auto& [to, message] : effects.messages)
    Send(name, to, message);
  for (const coordinator::EndpointCall& call : effects.calls)
    CallEndpoint(name, call);
  for (const auto& [endpoint, pin] : effects.closed_pins)
    GroupOf(endpoint).Rollback(endpoint, pin);
  for (const messages::JournalEntry& event : effects.journal) {
    std::string text = fmt::format("{} {} {}: {}", name, event.subject,
                                   event.kind, event.cause);
    for (const auto& [key, value] : event.inputs)
      text += fmt::format(" {}={}", key, value);
    AddToTranscript(text);
  }
  for (const entry::CallerAnswer& answer : effects.answers) {
    const std::string label = labels_[answer.id];
    const ResultCodeInfo& info = InfoOf(answer.code);
    AddToTranscript(fmt::format("{} <- {}: {} {} value={} by={}", label, name,
                                info.name, ToString(info.outcome), answer.value,
                                answer.served_by));
    answers_[label] = answer;
  }
  for (const entry::OperatorAnswer& answer : effects.operator_answers) {
    AddToTranscript(fmt::format(
        "operator <- {}: {} revision={} missing={} {}", name,
        InfoOf(ResultCodeFromNumber(answer.response.code)).name,
        answer.response.revision, fmt::join(answer.response.missing, ","),
        answer.response.message));
    operator_answers_[answer.id] = answer.response;
  }
}

void Fleet::ApplyEffects(const std::string& name,
                         const entry::ControlEffects& effects) {
  if (effects.failed)
    AddToTranscript(name + " log failed");
  for (const auto& [to, message] : effects.messages)
    Send(name, to, message);
}

void Fleet::Send(const std::string& from,
                 const std::string& to,
                 messages::PeerMessage message) {
  if (!nodes_.contains(to))
    return;
  if (count_control_bytes_ && !message.__isset.forward &&
      !message.__isset.forward_response) {
    const char* kind = message.__isset.report      ? "report"
                       : message.__isset.update    ? "update"
                       : message.__isset.consensus ? "consensus"
                                                   : "other";
    control_bytes_[kind] += messages::Encode(message).size();
  }
  if (from != to && IsPartitioned(from, to))
    return;
  const Duration delay = from == to ? kLocalDelay : delay_;
  ScheduleOnNode(to, delay, [this, from, to, message = std::move(message)] {
    Deliver(from, to, message);
  });
}

void Fleet::Deliver(const std::string& from,
                    const std::string& to,
                    const messages::PeerMessage& message) {
  Node& node = nodes_.at(to);
  const bool for_control = message.__isset.consensus ||
                           message.__isset.report || message.__isset.propose;
  if (!for_control)
    ApplyEffects(to, node.entry->OnMessage(from, message, now_));
  else if (node.control != nullptr)
    ApplyEffects(to, node.control->OnMessage(from, message, now_));
}

void Fleet::CallEndpoint(const std::string& from,
                         const coordinator::EndpointCall& call) {
  sent_calls_.push_back({now_, call});
  const std::uint64_t id = call.id;
  // Ends the call at its deadline without an answer. If the call was answered
  // earlier, the coordinator ignores this second result.
  ScheduleOnNode(from, std::max(call.deadline - now_, Duration(0)),
                 [this, from, id] { FinishCall(from, id, {}); });
  if (IsPartitioned(from, call.endpoint))
    return;
  Schedule(now_ + delay_, [this, from, call] {
    FakeGroup& group = GroupOf(call.endpoint);
    if (!group.member(call.endpoint).up) {
      coordinator::CallResult refused;
      refused.delivery = coordinator::Delivery::kNotSent;
      ScheduleOnNode(from, delay_, [this, from, id = call.id, refused] {
        FinishCall(from, id, refused);
      });
      return;
    }
    coordinator::CallResult result;
    result.delivery = coordinator::Delivery::kAnswered;
    result.answer = group.HandleCall(call, now_);
    Duration answer_delay = delay_ + kServiceTime;
    if (call.operation == coordinator::EndpointOperation::kStatement) {
      answer_delay += answer_delays_[call.endpoint];
      if (mismatched_answers_[call.endpoint]-- > 0) {
        ++result.answer.call_id;
        result.answer.value = "of another call";
      }
    }
    Schedule(now_ + answer_delay, [this, from, call, result] {
      if (IsPartitioned(from, call.endpoint))
        return;
      ScheduleOnNode(from, Duration(0), [this, from, id = call.id, result] {
        FinishCall(from, id, result);
      });
    });
  });
}

void Fleet::FinishCall(const std::string& name,
                       std::uint64_t id,
                       const coordinator::CallResult& result) {
  ApplyEffects(name, entry(name).OnCallResult(id, result, now_));
}

bool Fleet::IsPartitioned(const std::string& a, const std::string& b) const {
  return partitions_.contains(std::minmax(a, b));
}

FakeGroup& Fleet::GroupOf(const std::string& endpoint) {
  return groups_.at(group_by_endpoint_.at(endpoint));
}

}  // namespace goldcrest::sessions
