#ifndef GOLDCREST_CONSENSUS_RESTORED_STATE_H_
#define GOLDCREST_CONSENSUS_RESTORED_STATE_H_

#include <vector>

#include "goldcrest/consensus/hard_state.h"
#include "goldcrest/consensus/snapshot.h"
#include "goldcrest/messages/messages.h"

namespace goldcrest::consensus {

//! What storage holds when a replica starts. The members follow from the last
//! membership entry, or from the snapshot when the log has none.
struct RestoredState {
  //! Nothing was ever written: a first start, or the disk was lost.
  bool fresh = true;
  HardState hard_state;
  Snapshot snapshot;  //!< The application restores itself from its data.
  std::vector<messages::LogEntry> entries;  //!< Follow the snapshot, no gaps.
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_RESTORED_STATE_H_
