#include "goldcrest/storage/log_store.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>

#include <boost/leaf/error.hpp>
#include <cerrno>
#include <optional>
#include <system_error>
#include <utility>
#include <variant>

#include "entry_log.h"
#include "file.h"
#include "records.h"

namespace goldcrest::storage {
namespace {

namespace leaf = boost::leaf;

constexpr const char* kIdentityFile = "identity";
constexpr const char* kHardStateFile = "hard_state";
constexpr const char* kSnapshotFile = "snapshot";
constexpr const char* kLogFile = "log";
constexpr const char* kLockFile = "lock";

leaf::error_id DamagedError(const std::filesystem::path& path,
                            std::string_view cause) {
  return leaf::new_error(StorageError{
      ResultCode::kLogDamaged, fmt::format("{} {}", path.string(), cause)});
}

// Returns nullopt when the file is missing, and kLogDamaged when `decode` does
// not accept its whole contents.
template <typename Value>
leaf::result<std::optional<Value>> ReadFile(
    const std::filesystem::path& path,
    std::optional<Value> (*decode)(std::string_view)) {
  if (!std::filesystem::exists(path))
    return std::optional<Value>();
  BOOST_LEAF_AUTO(file, File::Open(path, O_RDONLY));
  BOOST_LEAF_AUTO(bytes, file.ReadAll());
  auto value = decode(bytes);
  if (!value)
    return DamagedError(path,
                        "is damaged at offset 0: wrong checksum or contents");
  return value;
}

bool HasStoredState(const std::filesystem::path& folder) {
  std::error_code error;
  const auto log_size = std::filesystem::file_size(folder / kLogFile, error);
  return std::filesystem::exists(folder / kHardStateFile) ||
         std::filesystem::exists(folder / kSnapshotFile) ||
         (!error && log_size > 0);
}

}  // namespace

class LogStore::Impl {
 public:
  Impl(File folder, File lock, LogStoreOptions options)
      : options_(std::move(options)),
        folder_(std::move(folder)),
        lock_(std::move(lock)),
        log_(folder_, options_.hooks) {}

  leaf::result<consensus::RestoredState> Load();
  leaf::result<void> Apply(const std::vector<consensus::LogWrite>& writes);

 private:
  leaf::result<void> CheckIdentity();
  leaf::result<void> ApplyAll(const std::vector<consensus::LogWrite>& writes);
  leaf::result<void> Write(const consensus::HardState& state);
  leaf::result<void> Write(const consensus::TruncateLog& truncate);
  leaf::result<void> Write(const consensus::AppendEntries& append);
  leaf::result<void> Write(const consensus::SaveSnapshot& save);
  std::filesystem::path PathOf(const char* name) const {
    return folder_.Path() / name;
  }

  LogStoreOptions options_;
  File folder_;
  File lock_;
  EntryLog log_;
  bool failed_ = false;
};

leaf::result<consensus::RestoredState> LogStore::Impl::Load() {
  BOOST_LEAF_CHECK(CheckIdentity());
  consensus::RestoredState state;
  BOOST_LEAF_AUTO(hard_state,
                  ReadFile(PathOf(kHardStateFile), DecodeHardState));
  BOOST_LEAF_AUTO(snapshot, ReadFile(PathOf(kSnapshotFile), DecodeSnapshot));
  if (!hard_state && HasStoredState(folder_.Path()))
    return DamagedError(PathOf(kHardStateFile), "is missing beside a log");
  if (hard_state && !std::filesystem::exists(PathOf(kLogFile)))
    return DamagedError(PathOf(kLogFile), "is missing");
  state.fresh = !hard_state;
  state.hard_state = hard_state.value_or(consensus::HardState{});
  state.snapshot = std::move(snapshot).value_or(consensus::Snapshot{});
  BOOST_LEAF_AUTO(entries, log_.Load(state.snapshot));
  state.entries = std::move(entries);
  // A term is made durable before the entries of that term, so the hard
  // state can't have an older term than the last entry.
  if (!state.entries.empty() &&
      state.entries.back().term > state.hard_state.term)
    return DamagedError(PathOf(kHardStateFile), "is older than the log");
  return state;
}

leaf::result<void> LogStore::Impl::CheckIdentity() {
  const Identity own{options_.cluster, options_.instance};
  BOOST_LEAF_AUTO(found, ReadFile(PathOf(kIdentityFile), DecodeIdentity));
  if (!found && HasStoredState(folder_.Path()))
    return DamagedError(PathOf(kIdentityFile), "is missing beside a log");
  if (!found)
    return ReplaceFile(folder_, kIdentityFile, EncodeIdentity(own),
                       options_.hooks);
  if (*found != own) {
    return leaf::new_error(StorageError{
        ResultCode::kIdentityMismatch,
        fmt::format("{} belongs to instance {} of cluster {}, not to {} of {}",
                    folder_.Path().string(), found->instance, found->cluster,
                    own.instance, own.cluster)});
  }
  return {};
}

leaf::result<void> LogStore::Impl::Apply(
    const std::vector<consensus::LogWrite>& writes) {
  if (failed_) {
    return leaf::new_error(StorageError{
        ResultCode::kLogWriteFailed,
        fmt::format("an earlier write to {} failed", folder_.Path().string())});
  }
  auto result = ApplyAll(writes);
  failed_ = !result;
  return result;
}

leaf::result<void> LogStore::Impl::ApplyAll(
    const std::vector<consensus::LogWrite>& writes) {
  for (const consensus::LogWrite& write : writes) {
    BOOST_LEAF_CHECK(
        std::visit([this](const auto& value) { return Write(value); }, write));
  }
  return log_.Sync();
}

leaf::result<void> LogStore::Impl::Write(const consensus::HardState& state) {
  return ReplaceFile(folder_, kHardStateFile, EncodeHardState(state),
                     options_.hooks);
}

leaf::result<void> LogStore::Impl::Write(
    const consensus::TruncateLog& truncate) {
  return log_.Truncate(truncate.index);
}

leaf::result<void> LogStore::Impl::Write(
    const consensus::AppendEntries& append) {
  return log_.Append(append.entries);
}

leaf::result<void> LogStore::Impl::Write(const consensus::SaveSnapshot& save) {
  BOOST_LEAF_CHECK(ReplaceFile(folder_, kSnapshotFile,
                               EncodeSnapshot(save.snapshot), options_.hooks));
  return log_.InstallSnapshot(save.snapshot);
}

leaf::result<OpenedLog> LogStore::Open(LogStoreOptions options) {
  std::error_code error;
  std::filesystem::create_directories(options.folder, error);
  if (error) {
    return leaf::new_error(
        StorageError{ResultCode::kLogWriteFailed,
                     fmt::format("can't create {}: {}", options.folder.string(),
                                 error.message())});
  }
  BOOST_LEAF_AUTO(folder, File::Open(options.folder, O_RDONLY | O_DIRECTORY));
  BOOST_LEAF_AUTO(lock,
                  File::Open(options.folder / kLockFile, O_RDWR | O_CREAT));
  if (::flock(lock.Descriptor(), LOCK_EX | LOCK_NB) != 0) {
    return leaf::new_error(
        StorageError{ResultCode::kDataFolderInUse,
                     fmt::format("{} is in use by another process",
                                 options.folder.string())});
  }
  auto impl = std::make_unique<Impl>(std::move(folder), std::move(lock),
                                     std::move(options));
  BOOST_LEAF_AUTO(state, impl->Load());
  OpenedLog opened;
  opened.store.reset(new LogStore(std::move(impl)));
  opened.state = std::move(state);
  return opened;
}

LogStore::LogStore(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

LogStore::~LogStore() = default;

leaf::result<void> LogStore::Apply(
    const std::vector<consensus::LogWrite>& writes) {
  return impl_->Apply(writes);
}

}  // namespace goldcrest::storage
