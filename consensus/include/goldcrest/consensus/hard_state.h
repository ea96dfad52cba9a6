#ifndef GOLDCREST_CONSENSUS_HARD_STATE_H_
#define GOLDCREST_CONSENSUS_HARD_STATE_H_

#include <cstdint>
#include <string>

namespace goldcrest::consensus {

//! State that a replica must persist in addition to its log (Raft's persistent
//! state), so that it does not vote twice in a term after a restart.
struct HardState {
  std::int64_t term = 0;
  std::string vote;  //!< Member voted for in `term`; empty if none.
  //! True if the replica started without data and no committed membership
  //! change has admitted it since. It neither votes nor becomes a candidate.
  bool joining = false;

  bool operator==(const HardState&) const = default;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_HARD_STATE_H_
