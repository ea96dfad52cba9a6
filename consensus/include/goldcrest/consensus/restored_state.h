#ifndef GOLDCREST_CONSENSUS_RESTORED_STATE_H_
#define GOLDCREST_CONSENSUS_RESTORED_STATE_H_

#include <vector>

#include "goldcrest/consensus/hard_state.h"
#include "goldcrest/consensus/snapshot.h"
#include "goldcrest/messages/messages.h"

namespace goldcrest::consensus {

//! State read from storage when a replica starts. The members are those of the
//! last membership entry, or of the snapshot if the log has none.
struct RestoredState {
  //! True if storage is empty: this is the first start, or the disk was lost.
  bool fresh = true;
  HardState hard_state;
  Snapshot snapshot;  //!< The application restores its state from this.
  std::vector<messages::LogEntry> entries;  //!< Directly follow the snapshot.
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_RESTORED_STATE_H_
