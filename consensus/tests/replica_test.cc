#include "goldcrest/consensus/replica.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "cluster.h"
#include "helpers.h"

namespace goldcrest::consensus {
namespace {

using namespace std::chrono_literals;

messages::LogEntry Entry(std::int64_t term, std::int64_t index) {
  messages::LogEntry entry;
  entry.term = term;
  entry.index = index;
  entry.command = std::to_string(term) + "/" + std::to_string(index);
  return entry;
}

messages::ConsensusMessage Append(std::int64_t term,
                                  std::int64_t prev_index,
                                  std::int64_t prev_term,
                                  std::vector<messages::LogEntry> entries) {
  messages::AppendRequest request;
  request.term = term;
  request.prev_index = prev_index;
  request.prev_term = prev_term;
  request.entries = std::move(entries);
  messages::ConsensusMessage message;
  message.__set_append_request(request);
  return message;
}

}  // namespace

// Guards against a leader that keeps committing and serving after another one
// has been elected.
TEST_CASE(
    "An isolated leader loses its lease before it can be replaced, and "
    "steps down",
    "[consensus][guarantee]") {
  Cluster cluster(kThreeMembers);
  cluster.Run(2s);
  const std::string old_leader = cluster.Leader();
  REQUIRE(cluster[old_leader].HoldsLeaderLease(cluster.now));
  cluster.isolated = {old_leader};
  while (cluster.Leader().empty()) {
    REQUIRE(cluster.now < TimeFromMicros(6'000'000));
    cluster.Run(10ms);
  }
  CHECK_FALSE(cluster[old_leader].HoldsLeaderLease(cluster.now));
  cluster.Run(1s);
  CHECK_FALSE(cluster[old_leader].IsLeader());
}

// Guards against the loss of a committed entry when its leader fails.
TEST_CASE("A committed entry survives any change of leader",
          "[consensus][guarantee]") {
  const bool restart = GENERATE(false, true);
  const std::size_t missing = GENERATE(0U, 1U);
  Cluster cluster(kThreeMembers);
  cluster.Run(2s);
  const std::string first = cluster.Leader();
  const std::string behind = Followers(cluster)[missing];
  cluster.isolated = {behind};
  cluster.Propose(first, "kept");
  cluster.Run(200ms);
  REQUIRE(cluster.Committed(first, "kept"));
  // An entry that only the failing leader holds is never committed.
  cluster.isolated = {first};
  cluster.Propose(first, "lost");
  cluster.Run(3s);
  REQUIRE_FALSE(cluster.Leader().empty());
  CHECK(cluster.Leader() != behind);
  if (restart) {
    for (const std::string& name : kThreeMembers)
      cluster.Start(name);
  }
  cluster.isolated.clear();
  cluster.Run(3s);
  cluster.Propose(cluster.Leader(), "next");
  cluster.Run(300ms);
  for (const std::string& name : kThreeMembers) {
    CHECK(cluster.Committed(name, "kept"));
    CHECK(cluster.Committed(name, "next"));
    CHECK_FALSE(cluster.Committed(name, "lost"));
  }
}

// Guards against a member that restarts without its disk under a name that is
// still a member: it could vote twice in a term, or help to elect a leader that
// lacks a committed entry.
TEST_CASE(
    "A member that lost its disk votes only after it was removed and "
    "admitted again",
    "[consensus][guarantee]") {
  Cluster cluster(kThreeMembers);
  cluster.Run(2s);
  const std::string leader = cluster.Leader();
  const std::string wiped = Followers(cluster)[0];
  const std::string other = Followers(cluster)[1];
  cluster.Propose(leader, "x");
  cluster.RestartWithEmptyDisk(wiped);
  cluster.Run(2s);
  CHECK(cluster.Committed(wiped, "x"));
  CHECK(cluster[wiped].IsJoining());
  SECTION("it votes for no candidate") {
    cluster.isolated = {leader};
    cluster.Run(5s);
    CHECK(cluster.Leader().empty());
    CHECK_FALSE(GrantsVote(
        cluster[wiped].Receive(cluster.now, other, VoteRequestFor(other, 99))));
  }
  SECTION("it stays out of elections after a restart") {
    cluster.Start(wiped);
    cluster.Run(1s);
    CHECK(cluster[wiped].IsJoining());
  }
  SECTION("it votes after it was admitted") {
    std::vector<std::string> rest = kThreeMembers;
    std::erase(rest, wiped);
    CHECK(cluster.SetMembers(rest) == ResultCode::kOk);
    cluster.Run(200ms);
    CHECK(cluster[wiped].IsJoining());
    CHECK(cluster.SetMembers(kThreeMembers) == ResultCode::kOk);
    cluster.Run(500ms);
    CHECK_FALSE(cluster[wiped].IsJoining());
    cluster.isolated = {leader};
    cluster.Run(3s);
    CHECK_FALSE(cluster.Leader().empty());
  }
}

// Guards against treating the member's earlier admission, which it receives
// again with the log after it lost its disk, as a new one.
TEST_CASE("An admission logged before the disk was lost does not count",
          "[consensus]") {
  Cluster cluster({"a", "b"});
  cluster.Run(2s);
  cluster.Start("c");
  CHECK(cluster.SetMembers(kThreeMembers) == ResultCode::kOk);
  cluster.Run(500ms);
  REQUIRE_FALSE(cluster["c"].IsJoining());
  cluster.RestartWithEmptyDisk("c");
  cluster.Run(3s);
  CHECK(cluster["c"].CommitIndex() == cluster[cluster.Leader()].CommitIndex());
  CHECK(cluster["c"].IsJoining());
}

// Guards against losing the majority to two replacements at the same time.
TEST_CASE("A second replacement is refused until the first has caught up",
          "[consensus]") {
  Cluster cluster(kThreeMembers);
  cluster.Run(2s);
  const std::vector<std::string> four = {"a", "b", "c", "d"};
  const std::vector<std::string> other = {"a", "b", "c", "e"};
  CHECK(cluster.SetMembers(four) == ResultCode::kOk);
  cluster.Run(1s);
  CHECK(cluster[cluster.Leader()].Members() == kThreeMembers);
  CHECK(cluster.SetMembers(other) == ResultCode::kMemberNotCaughtUp);
  CHECK(cluster.SetMembers({"a", "b"}) == ResultCode::kMemberNotCaughtUp);
  CHECK(cluster.SetMembers({"a", "d"}) == ResultCode::kInvalidField);
  cluster.Start("d");
  cluster.Run(1s);
  CHECK(cluster[cluster.Leader()].Members() == four);
  CHECK_FALSE(cluster["d"].IsJoining());
  SECTION("a change is accepted once the added member has caught up") {
    CHECK(cluster.SetMembers({"a", "b", "c", "d", "e"}) == ResultCode::kOk);
  }
  SECTION(
      "an added member that becomes unreachable blocks changes other than "
      "its own removal") {
    cluster.isolated = {"d"};
    cluster.Run(1s);
    CHECK(cluster.SetMembers({"a", "b", "c", "d", "e"}) ==
          ResultCode::kMemberNotCaughtUp);
    CHECK(cluster.SetMembers(kThreeMembers) == ResultCode::kOk);
  }
}

// Guards against a member that counts for the majority before it may vote: when
// all members restart right after its admission, too few votes are left.
TEST_CASE("A member that was just added votes after a restart of all members",
          "[consensus][guarantee]") {
  Cluster cluster(kThreeMembers);
  cluster.Run(2s);
  const std::string leader = cluster.Leader();
  const std::string gone = Followers(cluster)[0];
  cluster.isolated = {gone};
  cluster.Start("d");
  REQUIRE(cluster.SetMembers({"a", "b", "c", "d"}) == ResultCode::kOk);
  for (int i = 0; i < 200 && cluster[leader].Members().size() < 4; ++i) {
    if (cluster.queue.empty()) {
      cluster.Advance(10ms);
      continue;
    }
    const Cluster::Envelope envelope = cluster.queue.front();
    cluster.queue.pop_front();
    cluster.Deliver(envelope);
  }
  REQUIRE(cluster[leader].Members().size() == 4);
  cluster.queue.clear();
  for (const std::string& name : {std::string("a"), std::string("b"),
                                  std::string("c"), std::string("d")}) {
    if (name != gone)
      cluster.Start(name);
  }
  cluster.Run(5s);
  CHECK_FALSE(cluster.Leader().empty());
}

// Guards against a member that mistakes another member's admission for its own.
TEST_CASE("Adding another member does not let a member that lost its disk vote",
          "[consensus]") {
  Cluster cluster(kThreeMembers);
  cluster.Run(2s);
  const std::string wiped = Followers(cluster)[0];
  cluster.RestartWithEmptyDisk(wiped);
  cluster.Run(500ms);
  cluster.Start("d");
  CHECK(cluster.SetMembers({"a", "b", "c", "d"}) == ResultCode::kOk);
  cluster.Run(1s);
  CHECK_FALSE(cluster["d"].IsJoining());
  CHECK(cluster[wiped].Members().size() == 4);
  CHECK(cluster[wiped].IsJoining());
}

// Guards against committing an earlier leader's entry by counting its replicas:
// a later leader may still overwrite it.
TEST_CASE(
    "An entry of an earlier term is not committed by counting its replicas",
    "[consensus]") {
  RestoredState state;
  state.fresh = false;
  state.hard_state.term = 2;
  state.entries = {Entry(1, 1), Entry(2, 2)};
  state.entries[0].__set_members(kThreeMembers);
  ReplicaOptions options;
  options.self = "a";
  Replica replica(options, state, std::mt19937_64(1));
  Time now = TimeFromMicros(1'000'000);
  replica.Tick(now);
  replica.Tick(now += 801ms);
  for (const bool pre_vote : {true, false}) {
    messages::ConsensusMessage vote;
    vote.vote_response.term = 3;
    vote.vote_response.granted = true;
    vote.vote_response.pre_vote = pre_vote;
    vote.__isset.vote_response = true;
    replica.Receive(now, "b", vote);
  }
  REQUIRE(replica.IsLeader());
  messages::ConsensusMessage answer;
  answer.append_response.term = 3;
  answer.append_response.success = true;
  answer.append_response.match_index = 2;
  answer.append_response.round = 1;
  answer.__isset.append_response = true;
  replica.Receive(now, "b", answer);
  CHECK(replica.CommitIndex() == 0);
  CHECK_FALSE(replica.HoldsLeaderLease(now));
  answer.append_response.match_index = 3;
  replica.Receive(now, "b", answer);
  CHECK(replica.CommitIndex() == 3);
  CHECK(replica.HoldsLeaderLease(now));
}

// Guards against entries of a replaced leader that remain after a snapshot.
TEST_CASE("Installing a snapshot removes log entries that conflict with it",
          "[consensus]") {
  Cluster cluster(kThreeMembers);
  cluster.HandleOutput(
      "a", cluster["a"].Receive(cluster.now, "b",
                                Append(5, 1, 1, {Entry(5, 2), Entry(5, 3)})));
  messages::ConsensusMessage message;
  message.snapshot_chunk.term = 7;
  message.snapshot_chunk.last_index = 2;
  message.snapshot_chunk.last_term = 6;
  message.snapshot_chunk.members = kThreeMembers;
  message.snapshot_chunk.done = true;
  message.__isset.snapshot_chunk = true;
  CHECK(cluster["a"].Receive(cluster.now, "c", message).installed);
  CHECK(cluster["a"].LastIndex() == 2);
}

TEST_CASE("A member addition without progress is abandoned", "[consensus]") {
  Cluster cluster(kThreeMembers);
  cluster.Run(2s);
  CHECK(cluster.SetMembers({"a", "b", "c", "d"}) == ResultCode::kOk);
  cluster.Run(11s);
  CHECK(cluster.SetMembers({"a", "b", "c", "e"}) == ResultCode::kOk);
}

// Guards against a removal after which the cluster cannot commit.
TEST_CASE(
    "A removal is refused if the remaining members would lack a majority "
    "that has caught up",
    "[consensus]") {
  Cluster cluster(kThreeMembers);
  cluster.Run(2s);
  const std::string silent = Followers(cluster)[0];
  cluster.isolated = {silent};
  cluster.Run(1s);
  CHECK(cluster.SetMembers({cluster.Leader(), silent}) ==
        ResultCode::kMemberNotCaughtUp);
}

// Guards against delayed messages that undo the effect of newer ones.
TEST_CASE("Duplicate, outdated and malformed appends do not change the log",
          "[consensus]") {
  Cluster cluster(kThreeMembers);
  cluster.Advance(0s);
  Replica& replica = cluster["a"];
  const auto receive = [&](const messages::ConsensusMessage& message) {
    return cluster.HandleOutput("a",
                                replica.Receive(cluster.now, "b", message));
  };
  const auto answer = [](const Output& output) {
    return output.messages.front().message.append_response;
  };
  const auto first = Append(5, 1, 1, {Entry(5, 2)});
  const auto second = Append(5, 2, 5, {Entry(5, 3), Entry(5, 4)});
  CHECK_FALSE(answer(receive(second)).success);
  CHECK(answer(receive(first)).match_index == 2);
  CHECK(answer(receive(second)).match_index == 4);
  CHECK(answer(receive(first)).match_index == 2);
  CHECK(receive(second).writes.empty());
  CHECK(replica.LastIndex() == 4);
  CHECK(receive(Append(5, 4, 5, {Entry(5, 6)})).messages.empty());  // a gap
  CHECK(receive(Append(5, 4, 5, {Entry(9, 5)})).messages.empty());
  CHECK(receive(Append(5, -1, 0, {})).messages.empty());
  CHECK(receive({}).messages.empty());
  const auto stale = answer(receive(Append(4, 1, 1, {})));
  CHECK(stale.term == 5);
  CHECK_FALSE(stale.success);
  CHECK(replica.LastIndex() == 4);
  // Conflicting entries are truncated before the new entry is written.
  const Output output = receive(Append(6, 2, 5, {Entry(6, 3)}));
  REQUIRE(output.writes.size() == 3);
  CHECK(std::get<TruncateLog>(output.writes[1]).index == 3);
  CHECK(replica.LastIndex() == 3);
}

TEST_CASE("A rejected append skips a whole conflicting term", "[consensus]") {
  Cluster cluster(kThreeMembers);
  cluster.Advance(0s);
  std::vector<messages::LogEntry> entries;
  for (std::int64_t index = 2; index <= 500; ++index)
    entries.push_back(Entry(5, index));
  cluster["a"].Receive(cluster.now, "b", Append(5, 1, 1, entries));
  const Output output =
      cluster["a"].Receive(cluster.now, "c", Append(7, 500, 6, {}));
  CHECK(output.messages.front().message.append_response.last_index == 1);
}

// Guards against messages that grow with the number of entries a member lacks.
TEST_CASE("An append is limited in entries and bytes", "[consensus]") {
  Cluster cluster(kThreeMembers);
  cluster.options.max_append_entries = 8;
  cluster.options.max_append_bytes = 1000;
  for (const std::string& name : kThreeMembers)
    cluster.Start(name, kThreeMembers);
  cluster.Run(2s);
  const std::string leader = cluster.Leader();
  cluster.isolated = {Followers(cluster)[0]};
  for (int count = 0; count < 40; ++count)
    cluster.Propose(leader, std::string(count < 20 ? 1 : 300, 'x'));
  cluster.Run(200ms);
  cluster.isolated.clear();
  while (cluster[Followers(cluster)[0]].LastIndex() <
         cluster[leader].LastIndex()) {
    REQUIRE(cluster.now < TimeFromMicros(9'000'000));
    cluster.Advance(10ms);
    for (; !cluster.queue.empty(); cluster.queue.pop_front()) {
      const Cluster::Envelope envelope = cluster.queue.front();
      const auto& request = envelope.outbound.message.append_request;
      CHECK(request.entries.size() <= 8);
      std::size_t bytes = 0;
      for (const messages::LogEntry& entry : request.entries)
        bytes += entry.command.size();
      CHECK(bytes <= 1000);
      cluster.Deliver(envelope);
    }
  }
  CHECK(cluster[leader].ProposeMembers(cluster.now, {}).code ==
        ResultCode::kInvalidField);
  CHECK(cluster.Propose(leader, std::string(std::size_t{5} << 20U, 'x')) ==
        ResultCode::kBodyTooLarge);
}

// Guards against assembling a snapshot from duplicate or reordered chunks.
TEST_CASE("A member that lags behind the snapshot receives it in chunks",
          "[consensus]") {
  const bool duplicate = GENERATE(false, true);
  Cluster cluster(kThreeMembers);
  cluster.options.snapshot_chunk_bytes = 100;
  for (const std::string& name : kThreeMembers)
    cluster.Start(name, kThreeMembers);
  cluster.Run(2s);
  const std::string leader = cluster.Leader();
  const std::string behind = Followers(cluster)[0];
  cluster.isolated = {behind};
  for (int count = 0; count < 20; ++count)
    cluster.Propose(leader, std::to_string(count));
  cluster.Run(200ms);
  std::string data;
  for (int count = 0; count < 1000; ++count)
    data += std::to_string(count);
  const std::int64_t index = cluster[leader].CommitIndex();
  cluster.HandleOutput(leader, cluster[leader].Compact(index, data));
  CHECK(cluster[leader].SnapshotIndex() == index);
  cluster.Propose(leader, "after");
  cluster.isolated.clear();
  for (int step = 0; step < 30; ++step) {
    cluster.Advance(20ms);
    if (duplicate) {
      const std::deque<Cluster::Envelope> copy = cluster.queue;
      cluster.queue.insert(cluster.queue.end(), copy.rbegin(), copy.rend());
    }
    cluster.DeliverAll();
  }
  CHECK(cluster.nodes[behind].disk.snapshot.data == data);
  CHECK(cluster.nodes[behind].disk.snapshot.members == kThreeMembers);
  CHECK(cluster.Committed(behind, "after"));
  cluster.Start(behind);
  CHECK(cluster[behind].CommitIndex() == index);
}

}  // namespace goldcrest::consensus
