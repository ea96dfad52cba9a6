#include "entry_log.h"

#include <fcntl.h>
#include <fmt/format.h>

#include <boost/leaf/error.hpp>
#include <utility>

#include "goldcrest/messages/codec.h"
#include "goldcrest/storage/storage_error.h"
#include "record.h"

namespace goldcrest::storage {
namespace {

namespace leaf = boost::leaf;

constexpr const char* kLogFileName = "log";

leaf::error_id OutOfOrderError(const File& file, std::int64_t index) {
  return leaf::new_error(
      StorageError{ResultCode::kLogWriteFailed,
                   fmt::format("can't write {}: index {} is out of order",
                               file.Path().string(), index)});
}

leaf::error_id DamagedError(const File& file,
                            std::size_t offset,
                            std::string_view cause) {
  return leaf::new_error(
      StorageError{ResultCode::kLogDamaged,
                   fmt::format("{} is damaged at offset {}: {}",
                               file.Path().string(), offset, cause)});
}

}  // namespace

EntryLog::EntryLog(File& folder, FileHooks hooks)
    : folder_(folder), hooks_(std::move(hooks)) {}

leaf::result<std::vector<messages::LogEntry>> EntryLog::Load(
    const consensus::Snapshot& snapshot) {
  BOOST_LEAF_CHECK(OpenFile());
  BOOST_LEAF_AUTO(bytes, file_.ReadAll());
  std::vector<messages::LogEntry> entries;
  BOOST_LEAF_CHECK(Scan(bytes, entries));
  if (locations_.empty())
    first_index_ = snapshot.last_index + 1;
  if (first_index_ > snapshot.last_index + 1)
    return DamagedError(
        file_, 0,
        fmt::format("the first index is {}, the snapshot's last {}",
                    first_index_, snapshot.last_index));
  if (first_index_ <= snapshot.last_index) {
    if (!MatchesSnapshot(snapshot)) {
      entries.clear();
    } else {
      entries.erase(entries.begin(),
                    entries.begin() + (snapshot.last_index - first_index_ + 1));
    }
    BOOST_LEAF_CHECK(InstallSnapshot(snapshot));
  }
  return entries;
}

leaf::result<void> EntryLog::OpenFile() {
  BOOST_LEAF_AUTO(file, File::Open(folder_.Path() / kLogFileName,
                                   O_RDWR | O_CREAT | O_APPEND));
  file_ = std::move(file);
  return folder_.Sync(hooks_);
}

leaf::result<void> EntryLog::Scan(const std::string& bytes,
                                  std::vector<messages::LogEntry>& entries) {
  const auto result =
      ScanRecords(bytes, [&](std::size_t offset, std::string_view payload) {
        auto entry = messages::DecodeLogEntry(payload);
        if (!entry ||
            (!entries.empty() && (entry->index != entries.back().index + 1 ||
                                  entry->term < entries.back().term)))
          return false;
        locations_.push_back({offset, entry->term});
        entries.push_back(std::move(*entry));
        return true;
      });
  if (result.end == ScanEnd::kDamaged)
    return DamagedError(file_, result.offset, "wrong checksum or contents");
  if (result.end == ScanEnd::kTorn)
    BOOST_LEAF_CHECK(file_.Truncate(result.offset));
  // The process before may have ended between a write and its sync. This one
  // acknowledges what it has read, so that it must be durable.
  BOOST_LEAF_CHECK(file_.Sync(hooks_));
  size_ = result.offset;
  if (!entries.empty())
    first_index_ = entries.front().index;
  return {};
}

std::int64_t EntryLog::LastIndex() const {
  return first_index_ + static_cast<std::int64_t>(locations_.size()) - 1;
}

leaf::result<void> EntryLog::Append(
    const std::vector<messages::LogEntry>& entries) {
  std::string bytes;
  for (const messages::LogEntry& entry : entries) {
    if (entry.index != LastIndex() + 1)
      return OutOfOrderError(file_, entry.index);
    locations_.push_back({size_ + bytes.size(), entry.term});
    bytes += EncodeRecord(messages::Encode(entry));
  }
  unsynced_ = true;
  size_ += bytes.size();
  return file_.Write(hooks_, bytes);
}

leaf::result<void> EntryLog::Sync() {
  if (!unsynced_)
    return {};
  unsynced_ = false;
  return file_.Sync(hooks_);
}

leaf::result<void> EntryLog::Truncate(std::int64_t index) {
  if (index < first_index_ || index > LastIndex() + 1)
    return OutOfOrderError(file_, index);
  if (index > LastIndex())
    return {};
  const auto count = static_cast<std::size_t>(index - first_index_);
  size_ = locations_[count].offset;
  locations_.resize(count);
  // Syncs before later records overwrite the removed ones: otherwise a crash
  // could leave a mixture of both, which would be read as damage.
  BOOST_LEAF_CHECK(file_.Truncate(size_));
  unsynced_ = false;
  return file_.Sync(hooks_);
}

bool EntryLog::MatchesSnapshot(const consensus::Snapshot& snapshot) const {
  if (snapshot.last_index < first_index_ || snapshot.last_index > LastIndex())
    return false;
  const auto position =
      static_cast<std::size_t>(snapshot.last_index - first_index_);
  return locations_[position].term == snapshot.last_term;
}

leaf::result<void> EntryLog::InstallSnapshot(
    const consensus::Snapshot& snapshot) {
  BOOST_LEAF_AUTO(bytes, file_.ReadAll());
  std::vector<EntryLocation> kept;
  std::uint64_t start = size_;
  if (MatchesSnapshot(snapshot)) {
    const auto dropped =
        static_cast<std::size_t>(snapshot.last_index - first_index_ + 1);
    if (dropped < locations_.size())
      start = locations_[dropped].offset;
    for (std::size_t position = dropped; position < locations_.size();
         ++position)
      kept.push_back(
          {locations_[position].offset - start, locations_[position].term});
  }
  const auto tail = std::string_view(bytes).substr(start);
  BOOST_LEAF_CHECK(ReplaceFile(folder_, kLogFileName, tail, hooks_));
  BOOST_LEAF_CHECK(OpenFile());
  first_index_ = snapshot.last_index + 1;
  locations_ = std::move(kept);
  size_ = tail.size();
  unsynced_ = false;
  return {};
}

}  // namespace goldcrest::storage
