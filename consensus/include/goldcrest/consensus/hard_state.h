#ifndef GOLDCREST_CONSENSUS_HARD_STATE_H_
#define GOLDCREST_CONSENSUS_HARD_STATE_H_

#include <cstdint>
#include <string>

namespace goldcrest::consensus {

//! What a replica must remember, besides its log, to keep its promises after a
//! restart.
struct HardState {
  std::int64_t term = 0;
  std::string vote;  //!< Member voted for in `term`; empty: none.
  //! The replica has not been admitted by a committed membership change since
  //! it started without data. It neither votes nor stands for election.
  bool joining = false;

  bool operator==(const HardState&) const = default;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_HARD_STATE_H_
