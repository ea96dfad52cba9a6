#include "replica_log.h"

#include <utility>

namespace goldcrest::consensus {

ReplicaLog::ReplicaLog(Snapshot snapshot,
                       std::vector<messages::LogEntry> entries)
    : snapshot_(std::move(snapshot)), entries_(std::move(entries)) {
  FindMembers();
}

std::int64_t ReplicaLog::LastIndex() const {
  return snapshot_.last_index + static_cast<std::int64_t>(entries_.size());
}

std::int64_t ReplicaLog::LastTerm() const {
  return entries_.empty() ? snapshot_.last_term : entries_.back().term;
}

std::optional<std::int64_t> ReplicaLog::TermAt(std::int64_t index) const {
  if (index == snapshot_.last_index)
    return snapshot_.last_term;
  if (index < snapshot_.last_index || index > LastIndex())
    return std::nullopt;
  return At(index).term;
}

const messages::LogEntry& ReplicaLog::At(std::int64_t index) const {
  return entries_.at(static_cast<std::size_t>(index - snapshot_.last_index) -
                     1);
}

std::int64_t ReplicaLog::FirstIndexOfTermAt(std::int64_t index) const {
  while (index > snapshot_.last_index + 1 &&
         At(index - 1).term == At(index).term)
    --index;
  return index;
}

std::vector<messages::LogEntry> ReplicaLog::Slice(std::int64_t first,
                                                  std::size_t max_count,
                                                  std::size_t max_bytes) const {
  std::vector<messages::LogEntry> slice;
  std::size_t bytes = 0;
  for (std::int64_t index = first; index <= LastIndex(); ++index) {
    const messages::LogEntry& entry = At(index);
    bytes += entry.command.size();
    if (!slice.empty() && (slice.size() >= max_count || bytes > max_bytes))
      break;
    slice.push_back(entry);
  }
  return slice;
}

std::vector<std::string> ReplicaLog::MembersAt(std::int64_t index) const {
  for (; index > snapshot_.last_index; --index) {
    if (At(index).__isset.members)
      return At(index).members;
  }
  return snapshot_.members;
}

void ReplicaLog::Append(messages::LogEntry entry) {
  if (entry.__isset.members) {
    members_ = entry.members;
    members_index_ = entry.index;
  }
  entries_.push_back(std::move(entry));
}

void ReplicaLog::Truncate(std::int64_t index) {
  entries_.resize(static_cast<std::size_t>(index - snapshot_.last_index) - 1);
  FindMembers();
}

void ReplicaLog::Install(Snapshot snapshot) {
  if (TermAt(snapshot.last_index) == snapshot.last_term) {
    entries_.erase(entries_.begin(), entries_.begin() + (snapshot.last_index -
                                                         snapshot_.last_index));
  } else {
    entries_.clear();
  }
  snapshot_ = std::move(snapshot);
  FindMembers();
}

void ReplicaLog::FindMembers() {
  members_index_ = snapshot_.last_index;
  members_ = snapshot_.members;
  for (const messages::LogEntry& entry : entries_) {
    if (!entry.__isset.members)
      continue;
    members_ = entry.members;
    members_index_ = entry.index;
  }
}

}  // namespace goldcrest::consensus
