#ifndef GOLDCREST_CONSENSUS_PROGRESS_H_
#define GOLDCREST_CONSENSUS_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "goldcrest/types/time.h"

namespace goldcrest::consensus {

//! A leader's replication state for one other member.
struct Progress {
  std::int64_t next_index = 1;  //!< Next index to send.
  //! Highest index known to be stored durably by the member.
  std::int64_t match_index = 0;
  std::int64_t acked_round = 0;  //!< Latest round that the member acknowledged.
  std::optional<Time> last_contact;
  //! An append awaits its response. The next append is sent on that response or
  //! on the next heartbeat.
  bool append_in_flight = false;
  //! `next_index` is an estimate; appends carry one entry until one succeeds.
  bool probing = true;
  std::int64_t snapshot_index = 0;  //!< Last index of the snapshot being sent.
  std::size_t snapshot_offset = 0;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_PROGRESS_H_
