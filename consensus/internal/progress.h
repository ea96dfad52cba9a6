#ifndef GOLDCREST_CONSENSUS_PROGRESS_H_
#define GOLDCREST_CONSENSUS_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "goldcrest/types/time.h"

namespace goldcrest::consensus {

//! What a leader knows of one other member.
struct Progress {
  std::int64_t next = 1;   //!< First index to send.
  std::int64_t match = 0;  //!< Highest index known to be held durably.
  std::int64_t acked_round = 0;
  std::optional<Time> last_contact;
  //! An append is on its way; the next one goes out with its answer or with
  //! the next heartbeat.
  bool waiting = false;
  //! `next` is a guess; one entry at a time is sent until one is accepted.
  bool probing = true;
  std::int64_t snapshot_index = 0;  //!< Of the snapshot being sent.
  std::size_t snapshot_offset = 0;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_PROGRESS_H_
