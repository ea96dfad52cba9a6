#ifndef GOLDCREST_CONSENSUS_TESTS_HELPERS_H_
#define GOLDCREST_CONSENSUS_TESTS_HELPERS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cluster.h"

namespace goldcrest::consensus {

inline const std::vector<std::string> kThreeMembers = {"a", "b", "c"};

// Members other than the current leader, sorted by name.
inline std::vector<std::string> Followers(Cluster& cluster) {
  std::vector<std::string> followers = kThreeMembers;
  std::erase(followers, cluster.Leader());
  return followers;
}

// A vote request whose log is ahead of any log in the tests.
inline messages::ConsensusMessage VoteRequestFor(const std::string& candidate,
                                                 std::int64_t term) {
  messages::VoteRequest request;
  request.term = term;
  request.candidate = candidate;
  request.last_index = 1000;
  request.last_term = 1000;
  messages::ConsensusMessage message;
  message.__set_vote_request(request);
  return message;
}

inline bool GrantsVote(const Output& output) {
  return !output.messages.empty() &&
         output.messages.front().message.vote_response.granted;
}

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_TESTS_HELPERS_H_
