#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>

#include "cluster.h"

namespace goldcrest::consensus {
namespace {

using namespace std::chrono_literals;

const std::vector<std::string> kMembers = {"a", "b", "c"};

// Checks that each term has at most one leader and that only the leader of the
// newest term holds a lease.
void CheckLeaders(Cluster& cluster,
                  std::map<std::int64_t, std::string>& leader_by_term) {
  for (auto& [name, node] : cluster.nodes) {
    if (!node.replica->IsLeader())
      continue;
    const std::int64_t term = node.replica->Term();
    RC_ASSERT(leader_by_term.try_emplace(term, name).first->second == name);
    if (node.replica->HoldsLeaderLease(cluster.now))
      RC_ASSERT(leader_by_term.rbegin()->first == term);
  }
}

// Applies one random step: a delivery, fault, restart, proposal or membership
// change.
void ApplyAction(Cluster& cluster, unsigned action, unsigned detail) {
  const std::string& name = kMembers[detail % kMembers.size()];
  Replica& replica = cluster[name];
  if (action < 50) {  // deliver a message out of order
    if (cluster.queue.empty())
      return;
    const std::size_t at = detail % cluster.queue.size();
    const Cluster::Envelope envelope = cluster.queue[at];
    if (action > 4)  // otherwise it stays queued and may arrive again
      cluster.queue.erase(cluster.queue.begin() + static_cast<int>(at));
    if (action > 8)  // otherwise it is lost
      cluster.Deliver(envelope);
  } else if (action < 70) {
    cluster.DeliverAll();
  } else if (action < 84) {
    cluster.Advance(std::chrono::milliseconds(detail % 250));
  } else if (action < 90) {
    cluster.Propose(name, std::to_string(detail));
  } else if (action < 91) {
    cluster.Start(name);
  } else if (action < 92) {
    for (const std::string& member : kMembers)
      cluster.Start(member);
  } else if (action < 93) {
    cluster.RestartWithEmptyDisk("c");
  } else if (action < 95) {
    cluster.HandleOutput(name, replica.Compact(replica.CommitIndex(), "s"));
  } else if (action < 96) {
    cluster.HandleOutput(name, replica.TransferLeadership(cluster.now));
  } else {
    auto members = kMembers;
    if (detail % 2 == 0)
      members.pop_back();
    Proposal proposal = replica.ProposeMembers(cluster.now, members);
    cluster.HandleOutput(name, std::move(proposal.output));
  }
}

}  // namespace

// Guards against violations that need a combination of message loss,
// reordering, duplication, restarts, a lost disk and membership changes, which
// the tests of single scenarios do not cover.
TEST_CASE(
    "No schedule of faults commits two entries at one index, elects two "
    "leaders in a term, or lets leases overlap",
    "[consensus][guarantee]") {
  ::setenv("RC_PARAMS", "seed=20260412 max_success=300 max_size=1500", 1);
  const bool held = rc::check([] {
    const auto actions = *rc::gen::container<std::vector<unsigned>>(
        rc::gen::inRange(0U, 100U * 1000U));
    Cluster cluster(kMembers);
    std::map<std::int64_t, std::string> leaders;
    for (const unsigned action : actions) {
      ApplyAction(cluster, action % 100, action / 100);
      CheckLeaders(cluster, leaders);
    }
    cluster.Run(6s);
    const std::string leader = cluster.Leader();
    RC_ASSERT(!leader.empty());
    RC_ASSERT(cluster.Propose(leader, "last") == ResultCode::kOk);
    cluster.Run(1s);
    RC_ASSERT(cluster.Committed(leader, "last"));
    RC_CLASSIFY(leaders.size() > 3, "more than three leaders");
  });
  CHECK(held);
}

}  // namespace goldcrest::consensus
