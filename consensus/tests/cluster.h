#ifndef GOLDCREST_CONSENSUS_TESTS_CLUSTER_H_
#define GOLDCREST_CONSENSUS_TESTS_CLUSTER_H_

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/consensus/replica.h"
#include "replica_log.h"

namespace goldcrest::consensus {

//! Simulated cluster of replicas with one message queue and virtual time.
//! Checks on every output that no two replicas commit different entries at one
//! index.
class Cluster {
 public:
  struct Node {
    std::optional<Replica> replica;
    RestoredState disk;  // the only state that survives a restart
    std::vector<messages::LogEntry> committed;
  };
  struct Envelope {
    std::string from;
    Outbound outbound;
  };

  explicit Cluster(std::vector<std::string> members) {
    for (const std::string& name : members)
      Start(name, members);
    Advance({});  // writes the bootstrap entry
  }

  //! Starts or restarts a member with the state on its disk.
  void Start(const std::string& name, std::vector<std::string> bootstrap = {}) {
    options.self = name;
    options.elect_early_after_restart = true;
    options.bootstrap_members = std::move(bootstrap);
    Node& node = nodes[name];
    node.replica.emplace(options, node.disk, std::mt19937_64(++seed));
  }

  //! Restarts a member without its disk and drops the messages to its earlier
  //! process.
  void RestartWithEmptyDisk(const std::string& name) {
    std::erase_if(queue, [&](const auto& envelope) {
      return envelope.outbound.to == name;
    });
    nodes[name].disk = {};
    Start(name);
  }

  Replica& operator[](const std::string& name) { return *nodes[name].replica; }

  //! Stores the writes, queues the messages and records the committed entries.
  Output HandleOutput(const std::string& name, Output output) {
    Node& node = nodes[name];
    for (const LogWrite& write : output.writes)
      std::visit([&](const auto& w) { Store(node.disk, w); }, write);
    for (const Outbound& outbound : output.messages)
      queue.push_back({name, outbound});
    for (const messages::LogEntry& entry : output.committed) {
      node.committed.push_back(entry);
      if (committed_by_index.try_emplace(entry.index, entry).first->second !=
          entry)
        throw std::logic_error("two entries committed at one index");
    }
    return output;
  }

  void Deliver(const Envelope& envelope) {
    if (isolated.contains(envelope.from) ||
        isolated.contains(envelope.outbound.to) ||
        !nodes.contains(envelope.outbound.to))
      return;
    HandleOutput(envelope.outbound.to,
                 (*this)[envelope.outbound.to].Receive(
                     now, envelope.from, envelope.outbound.message));
  }

  //! Delivers queued messages, and those sent in response, until none is left.
  void DeliverAll() {
    for (; !queue.empty(); queue.pop_front())
      Deliver(Envelope(queue.front()));
  }

  //! Advances the clock and runs the expired timers; delivers no message.
  void Advance(Duration duration) {
    now += duration;
    for (auto& [name, node] : nodes)
      HandleOutput(name, node.replica->Tick(now));
  }

  //! Runs the whole cluster in steps of 10 ms.
  void Run(Duration duration) {
    for (const Time end = now + duration; now < end;) {
      Advance(std::chrono::milliseconds(10));
      DeliverAll();
    }
  }

  //! The leader of the highest term among the members that are not isolated;
  //! empty if there is none.
  std::string Leader() {
    std::string leader;
    for (auto& [name, node] : nodes) {
      if (node.replica->IsLeader() && !isolated.contains(name) &&
          (leader.empty() || node.replica->Term() > (*this)[leader].Term()))
        leader = name;
    }
    return leader;
  }

  ResultCode Propose(const std::string& name, std::string command) {
    Proposal proposal = (*this)[name].Propose(now, std::move(command));
    HandleOutput(name, std::move(proposal.output));
    return proposal.code;
  }

  ResultCode SetMembers(std::vector<std::string> members) {
    Proposal proposal = (*this)[Leader()].ProposeMembers(now, members);
    HandleOutput(Leader(), std::move(proposal.output));
    return proposal.code;
  }

  bool Committed(const std::string& name, const std::string& command) {
    for (const messages::LogEntry& entry : nodes[name].committed) {
      if (entry.command == command)
        return true;
    }
    return false;
  }

  ReplicaOptions options;
  std::map<std::string, Node> nodes;
  std::deque<Envelope> queue;
  std::set<std::string> isolated;  // members that can neither send nor receive
  std::map<std::int64_t, messages::LogEntry> committed_by_index;
  Time now = TimeFromMicros(1'000'000);
  unsigned seed = 0;

 private:
  static void Store(RestoredState& disk, const HardState& state) {
    disk.hard_state = state;
    disk.fresh = false;
  }
  static void Store(RestoredState& disk, const AppendEntries& append) {
    disk.entries.insert(disk.entries.end(), append.entries.begin(),
                        append.entries.end());
  }
  static void Store(RestoredState& disk, const TruncateLog& truncate) {
    std::erase_if(disk.entries, [&](const auto& entry) {
      return entry.index >= truncate.index;
    });
  }
  static void Store(RestoredState& disk, const SaveSnapshot& save) {
    const std::int64_t last = save.snapshot.last_index;
    const bool keep = ReplicaLog(disk.snapshot, disk.entries).TermAt(last) ==
                      save.snapshot.last_term;
    std::erase_if(disk.entries, [&](const auto& entry) {
      return !keep || entry.index <= last;
    });
    disk.snapshot = save.snapshot;
  }
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_TESTS_CLUSTER_H_
