#include <algorithm>
#include <utility>

#include "replica_core.h"

namespace goldcrest::consensus {

void ReplicaCore::SendSnapshotChunk(const std::string& to, Progress& progress) {
  const Snapshot& snapshot = log_.CurrentSnapshot();
  if (progress.snapshot_index != snapshot.last_index) {
    progress.snapshot_index = snapshot.last_index;
    progress.snapshot_offset = 0;
  }
  messages::SnapshotChunk chunk;
  chunk.term = hard_state_.term;
  chunk.last_index = snapshot.last_index;
  chunk.last_term = snapshot.last_term;
  chunk.members = snapshot.members;
  chunk.offset = static_cast<std::int64_t>(progress.snapshot_offset);
  chunk.data = snapshot.data.substr(progress.snapshot_offset,
                                    options_.snapshot_chunk_bytes);
  chunk.done =
      progress.snapshot_offset + chunk.data.size() == snapshot.data.size();
  chunk.round = rounds_.Current();
  messages::ConsensusMessage message;
  message.__set_snapshot_chunk(chunk);
  Send(to, std::move(message));
}

void ReplicaCore::OnSnapshotChunk(const std::string& from,
                                  const messages::SnapshotChunk& chunk) {
  messages::SnapshotResponse response;
  response.last_index = chunk.last_index;
  response.round = chunk.round;
  if (chunk.term == hard_state_.term && IsLeader())
    return;
  if (chunk.term >= hard_state_.term) {
    FollowLeader(chunk.term, from);
    if (chunk.last_index <= commit_index_) {
      response.installed = true;
    } else if (AddSnapshotChunk(from, chunk)) {
      Snapshot snapshot = std::move(pending_snapshot_->snapshot);
      output_.writes.emplace_back(SaveSnapshot{snapshot});
      output_.installed = snapshot;
      commit_index_ = snapshot.last_index;
      log_.Install(std::move(snapshot));
      response.installed = true;
    } else if (pending_snapshot_) {
      response.next_offset =
          static_cast<std::int64_t>(pending_snapshot_->snapshot.data.size());
    }
    if (response.installed)
      pending_snapshot_.reset();
  }
  response.term = hard_state_.term;
  messages::ConsensusMessage message;
  message.__set_snapshot_response(response);
  Send(from, std::move(message));
}

//! Appends the chunk if it is the next one. Returns true if the snapshot is
//! then complete.
bool ReplicaCore::AddSnapshotChunk(const std::string& from,
                                   const messages::SnapshotChunk& chunk) {
  const bool same = pending_snapshot_ && pending_snapshot_->from == from &&
                    pending_snapshot_->term == chunk.term &&
                    pending_snapshot_->snapshot.last_index == chunk.last_index;
  if (!same) {
    Snapshot snapshot{chunk.last_index, chunk.last_term, chunk.members, ""};
    pending_snapshot_ = PendingSnapshot{chunk.term, from, std::move(snapshot)};
  }
  std::string& data = pending_snapshot_->snapshot.data;
  if (chunk.offset != static_cast<std::int64_t>(data.size()) ||
      data.size() + chunk.data.size() > options_.max_snapshot_bytes)
    return false;
  data += chunk.data;
  return chunk.done;
}

void ReplicaCore::OnSnapshotResponse(
    const std::string& from,
    const messages::SnapshotResponse& response) {
  if (response.term > hard_state_.term) {
    BecomeFollower(response.term, "");
    return;
  }
  const auto it = progress_.find(from);
  if (!IsLeader() || response.term != hard_state_.term || it == progress_.end())
    return;
  Progress& progress = it->second;
  RecordContact(progress, response.round);
  if (admission_ && admission_->name == from)
    admission_->deadline = now_ + options_.join_timeout;
  const Snapshot& snapshot = log_.CurrentSnapshot();
  if (response.installed && response.last_index <= log_.LastIndex()) {
    progress.match_index = std::max(progress.match_index, response.last_index);
    progress.next_index =
        std::max(progress.next_index, progress.match_index + 1);
    progress.probing = false;
    SendAppend(from, progress);
    CommitByMajority();
    return;
  }
  // A response that does not advance the offset is a duplicate or reports a
  // lost chunk, which the next heartbeat sends again.
  const auto offset =
      static_cast<std::size_t>(std::max<std::int64_t>(response.next_offset, 0));
  if (response.last_index != snapshot.last_index ||
      offset == progress.snapshot_offset || offset > snapshot.data.size())
    return;
  progress.snapshot_offset = offset;
  SendAppend(from, progress);
}

}  // namespace goldcrest::consensus
