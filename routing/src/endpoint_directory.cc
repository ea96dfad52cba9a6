#include "goldcrest/routing/endpoint_directory.h"

#include <tuple>

namespace goldcrest::routing {
namespace {

auto FreshnessKey(const messages::EndpointRecord& record) {
  return std::tuple(record.epoch, record.started_ms, record.sequence,
                    record.gone);
}

bool HasSameState(const messages::EndpointRecord& left,
                  const messages::EndpointRecord& right) {
  return left.group == right.group && left.address == right.address &&
         left.zone == right.zone && left.draining == right.draining &&
         left.primary == right.primary && left.gone == right.gone &&
         left.started_ms == right.started_ms && left.epoch == right.epoch &&
         left.slots == right.slots;
}

}  // namespace

EndpointDirectory::MergeResult EndpointDirectory::Apply(
    Time now,
    const messages::EndpointRecord& record) {
  const auto [it, inserted] =
      entries_.try_emplace(record.endpoint, Entry{record, now, now, false});
  if (inserted)
    return MergeResult::kChanged;
  Entry& entry = it->second;
  if (FreshnessKey(record) <= FreshnessKey(entry.record))
    return MergeResult::kStale;
  const bool same = HasSameState(entry.record, record);
  entry.record = record;
  entry.received_at = now;
  entry.expired = false;
  if (same)
    return MergeResult::kRefreshed;
  entry.changed_at = now;
  return MergeResult::kChanged;
}

std::vector<messages::EndpointRecord> EndpointDirectory::Expire(Time now,
                                                                Time oldest) {
  std::vector<messages::EndpointRecord> expired;
  for (auto& [name, entry] : entries_) {
    if (entry.record.gone || entry.received_at >= oldest)
      continue;
    entry.record.gone = true;
    entry.expired = true;
    entry.changed_at = now;
    expired.push_back(entry.record);
  }
  return expired;
}

const EndpointDirectory::Entry* EndpointDirectory::Find(
    const std::string& endpoint) const {
  const auto it = entries_.find(endpoint);
  return it == entries_.end() ? nullptr : &it->second;
}

std::vector<const EndpointDirectory::Entry*> EndpointDirectory::MembersOf(
    const std::string& group) const {
  std::vector<const Entry*> members;
  for (const auto& [name, entry] : entries_) {
    if (entry.record.gone || entry.record.group != group)
      continue;
    members.push_back(&entry);
  }
  return members;
}

std::vector<const EndpointDirectory::Entry*> EndpointDirectory::DeparturesOf(
    const std::string& group) const {
  std::vector<const Entry*> departures;
  for (const auto& [name, entry] : entries_) {
    if (entry.record.gone && entry.record.group == group)
      departures.push_back(&entry);
  }
  return departures;
}

std::vector<messages::EndpointRecord> EndpointDirectory::All() const {
  std::vector<messages::EndpointRecord> records;
  for (const auto& [name, entry] : entries_)
    records.push_back(entry.record);
  return records;
}

}  // namespace goldcrest::routing
