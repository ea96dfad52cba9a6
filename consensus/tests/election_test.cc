#include "goldcrest/consensus/replica.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "cluster.h"
#include "helpers.h"

namespace goldcrest::consensus {

using namespace std::chrono_literals;

TEST_CASE("Three members elect one leader and commit on all", "[consensus]") {
  Cluster cluster(kThree);
  cluster.Run(2s);
  REQUIRE_FALSE(cluster.Leader().empty());
  CHECK(cluster.Propose(cluster.Leader(), "x") == ResultCode::kOk);
  CHECK(cluster.Propose(Followers(cluster).front(), "y") ==
        ResultCode::kNotLeader);
  cluster.Run(200ms);
  for (const std::string& name : kThree) {
    CHECK(cluster[name].Leader() == cluster.Leader());
    CHECK(cluster.Committed(name, "x"));
  }
}

// Guards against a member that was cut off and forces an election on return.
TEST_CASE("Pre-vote keeps an isolated member from disturbing the leader",
          "[consensus]") {
  Cluster cluster(kThree);
  cluster.Run(2s);
  const std::string leader = cluster.Leader();
  const std::int64_t term = cluster[leader].Term();
  cluster.cut = {Followers(cluster).front()};
  cluster.Run(10s);
  cluster.cut.clear();
  cluster.Run(2s);
  CHECK(cluster[leader].IsLeader());
  CHECK(cluster[leader].Term() == term);
}

// Guards against two leaders in one term after a crash between vote and answer.
TEST_CASE("A vote is written before it is sent and binds after a restart",
          "[consensus]") {
  Cluster cluster(kThree);
  cluster.Advance(0s);
  cluster.now += 401ms;
  const Output output = cluster.Take(
      "a", cluster["a"].Receive(cluster.now, "b", VoteFor("b", 9)));
  REQUIRE(Grants(output));
  CHECK(std::get<HardState>(output.writes.front()) == HardState{9, "b", false});
  cluster.Start("a");
  cluster["a"].Tick(cluster.now);
  cluster.now += 401ms;
  CHECK_FALSE(Grants(cluster["a"].Receive(cluster.now, "c", VoteFor("c", 9))));
  CHECK(Grants(cluster["a"].Receive(cluster.now, "b", VoteFor("b", 9))));
}

// Guards against a leader elected while another one still holds its lease.
TEST_CASE(
    "No vote is given within the minimum timeout of a leader's message "
    "or a restart",
    "[consensus]") {
  Cluster cluster(kThree);
  cluster.Run(2s);
  const std::string name = Followers(cluster).front();
  const std::int64_t term = cluster[name].Term();
  const auto grants = [&] {
    return Grants(cluster[name].Receive(cluster.now, "z", VoteFor("z", 99)));
  };
  cluster.Run(100ms);
  cluster.now += 280ms;  // at most 10 ms after a heartbeat of 100 ms
  CHECK_FALSE(grants());
  CHECK(cluster[name].Term() == term);
  cluster.Start(name);
  CHECK_FALSE(grants());
  cluster.now += 401ms;
  CHECK(grants());
}

// Guards against an outage of half a second more after a power loss, when no
// leader can hold a lease.
TEST_CASE("After a restart of all members one leads before the minimum timeout",
          "[consensus]") {
  for (unsigned seed = 0; seed < 50; ++seed) {
    Cluster cluster(kThree);
    cluster.Run(2s);
    cluster.seed = seed * 100;
    cluster.queue.clear();
    for (const std::string& name : kThree)
      cluster.Start(name);
    cluster.Run(300ms);
    CHECK_FALSE(cluster.Leader().empty());
  }
}

// Guards against a lease broken by two members that restart while the leader
// is only slow to answer.
TEST_CASE("Restarted members wait while one member has not answered",
          "[consensus]") {
  Cluster cluster(kThree);
  cluster.Run(2s);
  const std::string leader = cluster.Leader();
  const std::int64_t term = cluster[leader].Term();
  cluster.cut.insert(leader);
  for (const std::string& name : Followers(cluster))
    cluster.Start(name);
  cluster.Run(390ms);
  CHECK(cluster.Leader().empty());
  CHECK(cluster[leader].Term() == term);
  cluster.Run(2s);
  CHECK_FALSE(cluster.Leader().empty());
}

// Guards against a leader that steps down over a removal in the log which a
// later entry has undone, as it does when a restart commits the log anew.
TEST_CASE("A member that was added again leads after a restart of all",
          "[consensus]") {
  for (unsigned seed = 0; seed < 20; ++seed) {
    Cluster cluster(kThree);
    cluster.Run(2s);
    const std::string again = Followers(cluster).front();
    std::vector<std::string> others = kThree;
    std::erase(others, again);
    REQUIRE(cluster.SetMembers(others) == ResultCode::kOk);
    cluster.Run(1s);
    REQUIRE(cluster.SetMembers(kThree) == ResultCode::kOk);
    cluster.Run(2s);
    cluster.seed = seed * 100;
    cluster.queue.clear();
    for (const std::string& name : kThree)
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

TEST_CASE("A leader that removes itself hands over", "[consensus]") {
  Cluster cluster(kThree);
  cluster.Run(2s);
  const std::string removed = cluster.Leader();
  CHECK(cluster.SetMembers(Followers(cluster)) == ResultCode::kOk);
  cluster.Run(3s);
  CHECK_FALSE(cluster[removed].IsLeader());
  CHECK_FALSE(cluster.Leader().empty());
}

TEST_CASE("A leadership transfer makes another member leader at once",
          "[consensus]") {
  Cluster cluster(kThree);
  cluster.Run(2s);
  const std::string old_leader = cluster.Leader();
  cluster.Take(old_leader, cluster[old_leader].TransferLeadership(cluster.now));
  CHECK(cluster.Propose(old_leader, "x") == ResultCode::kNotLeader);
  CHECK_FALSE(cluster[old_leader].HoldsLeaderLease(cluster.now));
  SECTION("the target stands at once") {
    cluster.Settle();
    CHECK(cluster.Leader() != old_leader);
    CHECK_FALSE(cluster.Leader().empty());
  }
  // A late order could elect the target during a new lease of the same term.
  SECTION("a leader whose order is lost steps down") {
    cluster.queue.clear();
    cluster.Advance(401ms);
    CHECK_FALSE(cluster[old_leader].IsLeader());
  }
}

}  // namespace goldcrest::consensus
