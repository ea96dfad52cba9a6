#include "goldcrest/consensus/replica.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "cluster.h"
#include "helpers.h"

namespace goldcrest::consensus {

using namespace std::chrono_literals;

TEST_CASE("Three members elect one leader and commit on every member",
          "[consensus]") {
  Cluster cluster(kThreeMembers);
  cluster.Run(2s);
  REQUIRE_FALSE(cluster.Leader().empty());
  CHECK(cluster.Propose(cluster.Leader(), "x") == ResultCode::kOk);
  CHECK(cluster.Propose(Followers(cluster).front(), "y") ==
        ResultCode::kNotLeader);
  cluster.Run(200ms);
  for (const std::string& name : kThreeMembers) {
    CHECK(cluster[name].Leader() == cluster.Leader());
    CHECK(cluster.Committed(name, "x"));
  }
}

// Guards against an election forced by a member that reconnects after
// isolation.
TEST_CASE("Pre-vote keeps an isolated member from disturbing the leader",
          "[consensus]") {
  Cluster cluster(kThreeMembers);
  cluster.Run(2s);
  const std::string leader = cluster.Leader();
  const std::int64_t term = cluster[leader].Term();
  cluster.isolated = {Followers(cluster).front()};
  cluster.Run(10s);
  cluster.isolated.clear();
  cluster.Run(2s);
  CHECK(cluster[leader].IsLeader());
  CHECK(cluster[leader].Term() == term);
}

// Guards against two leaders in one term after a crash between recording a vote
// and sending the response.
TEST_CASE(
    "A vote is persisted before it is sent and still binds after a restart",
    "[consensus]") {
  Cluster cluster(kThreeMembers);
  cluster.Advance(0s);
  cluster.now += 401ms;
  const Output output = cluster.HandleOutput(
      "a", cluster["a"].Receive(cluster.now, "b", VoteRequestFor("b", 9)));
  REQUIRE(GrantsVote(output));
  CHECK(std::get<HardState>(output.writes.front()) == HardState{9, "b", false});
  cluster.Start("a");
  cluster["a"].Tick(cluster.now);
  cluster.now += 401ms;
  CHECK_FALSE(GrantsVote(
      cluster["a"].Receive(cluster.now, "c", VoteRequestFor("c", 9))));
  CHECK(GrantsVote(
      cluster["a"].Receive(cluster.now, "b", VoteRequestFor("b", 9))));
}

// Guards against electing a leader while another one still holds its lease.
TEST_CASE(
    "No vote is granted within the minimum election timeout of a leader's "
    "message or a restart",
    "[consensus]") {
  Cluster cluster(kThreeMembers);
  cluster.Run(2s);
  const std::string name = Followers(cluster).front();
  const std::int64_t term = cluster[name].Term();
  const auto grants = [&] {
    return GrantsVote(
        cluster[name].Receive(cluster.now, "z", VoteRequestFor("z", 99)));
  };
  cluster.Run(100ms);
  // The last heartbeat is at most 100 ms + 10 ms (one step) old before this.
  cluster.now += 280ms;
  CHECK_FALSE(grants());
  CHECK(cluster[name].Term() == term);
  cluster.Start(name);
  CHECK_FALSE(grants());
  cluster.now += 401ms;
  CHECK(grants());
}

// Guards against half a second of additional outage after a power loss: no
// leader can hold a lease then, so the wait after a restart is unnecessary.
TEST_CASE(
    "After a restart of all members a leader is elected before the minimum "
    "election timeout",
    "[consensus]") {
  for (unsigned seed = 0; seed < 50; ++seed) {
    Cluster cluster(kThreeMembers);
    cluster.Run(2s);
    cluster.seed = seed * 100;
    cluster.queue.clear();
    for (const std::string& name : kThreeMembers)
      cluster.Start(name);
    cluster.Run(300ms);
    CHECK_FALSE(cluster.Leader().empty());
  }
}

// Guards against two restarted members that elect a leader while the previous
// one is unreachable but still holds its lease.
TEST_CASE("Restarted members wait while one member has not responded",
          "[consensus]") {
  Cluster cluster(kThreeMembers);
  cluster.Run(2s);
  const std::string leader = cluster.Leader();
  const std::int64_t term = cluster[leader].Term();
  cluster.isolated.insert(leader);
  for (const std::string& name : Followers(cluster))
    cluster.Start(name);
  cluster.Run(390ms);
  CHECK(cluster.Leader().empty());
  CHECK(cluster[leader].Term() == term);
  cluster.Run(2s);
  CHECK_FALSE(cluster.Leader().empty());
}

// Guards against a leader that steps down because of its own removal although a
// later entry has added it again. A restart commits the removal a second time.
TEST_CASE(
    "A removed and re-added member can lead after a restart of all members",
    "[consensus]") {
  for (unsigned seed = 0; seed < 20; ++seed) {
    Cluster cluster(kThreeMembers);
    cluster.Run(2s);
    const std::string readded = Followers(cluster).front();
    std::vector<std::string> others = kThreeMembers;
    std::erase(others, readded);
    REQUIRE(cluster.SetMembers(others) == ResultCode::kOk);
    cluster.Run(1s);
    REQUIRE(cluster.SetMembers(kThreeMembers) == ResultCode::kOk);
    cluster.Run(2s);
    cluster.seed = seed * 100;
    cluster.queue.clear();
    for (const std::string& name : kThreeMembers)
      cluster.Start(name);
    cluster.Run(250ms);
    const std::string leader = cluster.Leader();
    REQUIRE_FALSE(leader.empty());
    const std::int64_t term = cluster[leader].Term();
    cluster.Run(1s);
    CHECK(cluster.Leader() == leader);
    CHECK(cluster[leader].Term() == term);
  }
}

TEST_CASE("A leader that removes itself is replaced by another member",
          "[consensus]") {
  Cluster cluster(kThreeMembers);
  cluster.Run(2s);
  const std::string removed = cluster.Leader();
  CHECK(cluster.SetMembers(Followers(cluster)) == ResultCode::kOk);
  cluster.Run(3s);
  CHECK_FALSE(cluster[removed].IsLeader());
  CHECK_FALSE(cluster.Leader().empty());
}

TEST_CASE(
    "A leadership transfer elects another member without an election timeout",
    "[consensus]") {
  Cluster cluster(kThreeMembers);
  cluster.Run(2s);
  const std::string old_leader = cluster.Leader();
  cluster.HandleOutput(old_leader,
                       cluster[old_leader].TransferLeadership(cluster.now));
  CHECK(cluster.Propose(old_leader, "x") == ResultCode::kNotLeader);
  CHECK_FALSE(cluster[old_leader].HoldsLeaderLease(cluster.now));
  SECTION("the target starts an election immediately") {
    cluster.DeliverAll();
    CHECK(cluster.Leader() != old_leader);
    CHECK_FALSE(cluster.Leader().empty());
  }
  // A delayed TimeoutNow could make the target leader while the old leader
  // holds a renewed lease of the same term.
  SECTION("the old leader steps down if its TimeoutNow is lost") {
    cluster.queue.clear();
    cluster.Advance(401ms);
    CHECK_FALSE(cluster[old_leader].IsLeader());
  }
}

// Guards against a transfer that only the leader and its successor support,
// which is no majority of four or more members, so that a planned stop leaves
// the members without a leader until they time out.
TEST_CASE("A transfer elects the successor at once at any number of members",
          "[consensus]") {
  std::vector<std::string> members = kThreeMembers;
  const int added = GENERATE(0, 1, 2, 5);
  for (int i = 0; i < added; ++i)
    members.push_back("m" + std::to_string(i));
  Cluster cluster(members);
  cluster.Run(2s);
  const std::string leader = cluster.Leader();
  REQUIRE_FALSE(leader.empty());
  cluster.HandleOutput(leader, cluster[leader].TransferLeadership(cluster.now));
  cluster.DeliverAll();
  CHECK_FALSE(cluster[leader].IsLeader());
  const std::string successor = cluster.Leader();
  REQUIRE_FALSE(successor.empty());
  CHECK(successor != leader);
}

}  // namespace goldcrest::consensus
