#ifndef GOLDCREST_CONSENSUS_REPLICA_OPTIONS_H_
#define GOLDCREST_CONSENSUS_REPLICA_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "goldcrest/types/time.h"

namespace goldcrest::consensus {

struct ReplicaOptions {
  std::string self;  //!< Name of this member.
  //! Members of a new cluster. Set only for the first start: a member that lost
  //! its disk and starts with this list again could vote twice in a term.
  //! Ignored unless the restored state is fresh and the list contains `self`.
  std::vector<std::string> bootstrap_members;

  Duration heartbeat_interval = std::chrono::milliseconds(100);
  //! Election timeouts are drawn from [min, max]. A member grants no vote for
  //! the minimum timeout after a message from a leader and after a restart.
  Duration election_timeout_min = std::chrono::milliseconds(400);
  Duration election_timeout_max = std::chrono::milliseconds(800);
  //! After a restart, start elections and vote before the minimum election
  //! timeout has passed, once every member has reported that it neither leads
  //! nor follows a leader. Members of versions without this option never report
  //! it.
  bool elect_early_after_restart = false;
  //! The addition of a new member is abandoned after this time without
  //! progress.
  Duration join_timeout = std::chrono::seconds(10);

  std::size_t max_append_entries = 256;
  std::size_t max_append_bytes = std::size_t{256} << 10U;
  std::size_t max_command_bytes = std::size_t{4} << 20U;
  std::size_t snapshot_chunk_bytes = std::size_t{64} << 10U;
  std::size_t max_snapshot_bytes = std::size_t{256} << 20U;
};

}  // namespace goldcrest::consensus

#endif  // GOLDCREST_CONSENSUS_REPLICA_OPTIONS_H_
