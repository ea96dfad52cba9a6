#ifndef GOLDCREST_CONSENSUS_PROPOSAL_H_
#define GOLDCREST_CONSENSUS_PROPOSAL_H_

#include <cstdint>

#include "goldcrest/consensus/output.h"
#include "goldcrest/types/result_code.h"

namespace goldcrest::consensus {

//! Result of a proposal. With kOk the entry is in the leader's log at `index`.
//! Once `index` is committed, the proposal has succeeded if the committed entry
//! has the term `term`; otherwise the entry was lost.
struct Proposal {
  ResultCode code = ResultCode::kNotLeader;
  std::int64_t index = 0;  //!< 0: appended later (see ProposeMembers).
  std::int64_t term = 0;
  Output output;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_PROPOSAL_H_
