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

//! Replicas over one message queue and virtual time. Checks with every output
//! that no two replicas commit different entries at one index.
class Cluster {
 public:
  struct Node {
    std::optional<Replica> replica;
    RestoredState disk;  // all that a restart keeps
    std::vector<messages::LogEntry> committed;
  };
  struct Envelope {
    std::string from;
    Outbound out;
  };

  explicit Cluster(std::vector<std::string> members) {
    for (const std::string& name : members)
      Start(name, members);
    Advance({});  // writes the bootstrap entry
  }

  //! Starts or restarts a process with what is on its disk.
  void Start(const std::string& name, std::vector<std::string> bootstrap = {}) {
    options.self = name;
    options.elect_early = true;
    options.bootstrap_members = std::move(bootstrap);
    Node& node = nodes[name];
    node.replica.emplace(options, node.disk, std::mt19937_64(++seed));
  }

  //! Loses the disk of a member; messages to the old process are lost with it.
  void Wipe(const std::string& name) {
    std::erase_if(queue, [&](const auto& e) { return e.out.to == name; });
    nodes[name].disk = {};
    Start(name);
  }

  Replica& operator[](const std::string& name) { return *nodes[name].replica; }

  Output Take(const std::string& name, Output output) {
    Node& node = nodes[name];
    for (const LogWrite& write : output.writes)
      std::visit([&](const auto& w) { Store(node.disk, w); }, write);
    for (const Outbound& out : output.messages)
      queue.push_back({name, out});
    for (const messages::LogEntry& entry : output.committed) {
      node.committed.push_back(entry);
      if (decided.try_emplace(entry.index, entry).first->second != entry)
        throw std::logic_error("two entries committed at one index");
    }
    return output;
  }

  void Deliver(const Envelope& e) {
    if (cut.contains(e.from) || cut.contains(e.out.to) ||
        !nodes.contains(e.out.to))
      return;
    Take(e.out.to, (*this)[e.out.to].Receive(now, e.from, e.out.message));
  }

  void Settle() {
    for (; !queue.empty(); queue.pop_front())
      Deliver(Envelope(queue.front()));
  }

  void Advance(Duration duration) {
    now += duration;
    for (auto& [name, node] : nodes)
      Take(name, node.replica->Tick(now));
  }

  void Run(Duration duration) {
    for (const Time end = now + duration; now < end;) {
      Advance(std::chrono::milliseconds(10));
      Settle();
    }
  }

  //! The leader of the highest term among those that are not cut off.
  std::string Leader() {
    std::string leader;
    for (auto& [name, node] : nodes) {
      if (node.replica->IsLeader() && !cut.contains(name) &&
          (leader.empty() || node.replica->Term() > (*this)[leader].Term()))
        leader = name;
    }
    return leader;
  }

  ResultCode Propose(const std::string& name, std::string command) {
    Proposal proposal = (*this)[name].Propose(now, std::move(command));
    Take(name, std::move(proposal.output));
    return proposal.code;
  }

  ResultCode SetMembers(std::vector<std::string> members) {
    Proposal proposal = (*this)[Leader()].ProposeMembers(now, members);
    Take(Leader(), std::move(proposal.output));
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
  std::set<std::string> cut;  // reach nobody
  std::map<std::int64_t, messages::LogEntry> decided;
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
