#ifndef GOLDCREST_CONSENSUS_SNAPSHOT_H_
#define GOLDCREST_CONSENSUS_SNAPSHOT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace goldcrest::consensus {

//! State of the application after applying the entry at `last_index`.
struct Snapshot {
  std::int64_t last_index = 0;  //!< 0 if there is no snapshot.
  std::int64_t last_term = 0;
  std::vector<std::string> members;  //!< Members at `last_index`, sorted.
  std::string data;

  bool operator==(const Snapshot&) const = default;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_SNAPSHOT_H_
