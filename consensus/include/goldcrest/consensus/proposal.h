#ifndef GOLDCREST_CONSENSUS_PROPOSAL_H_
#define GOLDCREST_CONSENSUS_PROPOSAL_H_

#include <cstdint>

#include "goldcrest/consensus/output.h"
#include "goldcrest/types/result_code.h"

namespace goldcrest::consensus {

//! Answer to a proposal. With kOk the entry is in the leader's log at `index`;
//! it is decided when `index` is committed: with `term` it is this entry, with
//! another term this entry is lost.
struct Proposal {
  ResultCode code = ResultCode::kNotLeader;
  std::int64_t index = 0;  //!< 0: the entry follows later (see ProposeMembers).
  std::int64_t term = 0;
  Output output;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_PROPOSAL_H_
