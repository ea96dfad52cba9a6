#include "goldcrest/storage/log_store.h"

#include <unistd.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <cerrno>
#include <fstream>
#include <iterator>
#include <optional>

namespace goldcrest::storage {
namespace {

namespace fs = std::filesystem;
namespace leaf = boost::leaf;
using consensus::AppendEntries;
using consensus::HardState;
using consensus::LogWrite;
using consensus::RestoredState;
using consensus::SaveSnapshot;
using consensus::Snapshot;
using consensus::TruncateLog;

// A data folder that is removed at the end of the test.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name =
        (fs::temp_directory_path() / "goldcrest-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    path_ = name;
  }
  ~TemporaryFolder() { fs::remove_all(path_); }
  fs::path operator/(const char* name) const { return path_ / name; }
  const fs::path& Path() const { return path_; }

 private:
  fs::path path_;
};

std::string Read(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

void Write(const fs::path& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary) << bytes;
}

messages::LogEntry Entry(std::int64_t term, std::int64_t index) {
  messages::LogEntry entry;
  entry.term = term;
  entry.index = index;
  entry.command = "command " + std::to_string(index);
  return entry;
}

const std::vector<messages::LogEntry> kEntries = {Entry(1, 1), Entry(1, 2),
                                                  Entry(2, 3)};
const HardState kHardState = {.term = 2, .vote = "c2", .joining = false};

struct OpenResult {
  std::unique_ptr<LogStore> store;
  RestoredState state;
  StorageError error{ResultCode::kOk, ""};
};

OpenResult Open(const TemporaryFolder& folder,
                const FileHooks& hooks = {},
                const std::string& instance = "c1") {
  OpenResult opened;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(
            log, LogStore::Open({folder.Path(), "cluster", instance, hooks}));
        opened.store = std::move(log.store);
        opened.state = std::move(log.state);
        return {};
      },
      [&](const StorageError& error) { opened.error = error; },
      [] { FAIL("the error is not a StorageError"); });
  return opened;
}

ResultCode Apply(LogStore& store, const std::vector<LogWrite>& writes) {
  ResultCode code = ResultCode::kOk;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> { return store.Apply(writes); },
      [&](const StorageError& error) { code = error.code; },
      [] { FAIL("the error is not a StorageError"); });
  return code;
}

void WriteInitialEntries(const TemporaryFolder& folder) {
  const OpenResult opened = Open(folder);
  REQUIRE(Apply(*opened.store, {kHardState, AppendEntries{kEntries}}) ==
          ResultCode::kOk);
}

// Sizes of the log after 0, 1, 2 and 3 entries.
std::vector<std::size_t> LogSizes() {
  const TemporaryFolder folder;
  const OpenResult opened = Open(folder);
  std::vector<std::size_t> sizes = {0};
  Apply(*opened.store, {kHardState});
  for (const messages::LogEntry& entry : kEntries) {
    Apply(*opened.store, {AppendEntries{{entry}}});
    sizes.push_back(fs::file_size(folder / "log"));
  }
  return sizes;
}

}  // namespace

TEST_CASE("Applied writes are restored when the store is reopened",
          "[storage]") {
  const TemporaryFolder folder;
  {
    const OpenResult opened = Open(folder);
    CHECK(opened.state.fresh);
    CHECK(Apply(*opened.store, {kHardState, AppendEntries{kEntries}}) ==
          ResultCode::kOk);
    CHECK(Apply(*opened.store, {HardState{3, "c3", true}, TruncateLog{2},
                                AppendEntries{{Entry(3, 2), Entry(3, 3)}}}) ==
          ResultCode::kOk);
  }
  const OpenResult opened = Open(folder);
  CHECK_FALSE(opened.state.fresh);
  CHECK(opened.state.hard_state == HardState{3, "c3", true});
  CHECK(opened.state.entries ==
        std::vector{Entry(1, 1), Entry(3, 2), Entry(3, 3)});
  // An entry whose index leaves a gap is not written.
  CHECK(Apply(*opened.store, {AppendEntries{{Entry(3, 9)}}}) ==
        ResultCode::kLogWriteFailed);
}

TEST_CASE("A snapshot replaces the log up to its last index", "[storage]") {
  const TemporaryFolder folder;
  WriteInitialEntries(folder);
  const std::string old_log = Read(folder / "log");
  const std::size_t size = GENERATE(0U, 10U, 5U << 20U);
  const std::int64_t term = GENERATE(1, 2);
  const Snapshot snapshot{2, term, {"c1", "c2"}, std::string(size, 's')};
  // Entry 2 has term 1: a snapshot with another term at index 2 does not match
  // the log, which is dropped whole.
  const auto kept =
      term == 1 ? std::vector{Entry(2, 3)} : std::vector<messages::LogEntry>();
  CHECK(Apply(*Open(folder).store, {SaveSnapshot{snapshot}}) ==
        ResultCode::kOk);
  // Simulates a crash after the snapshot was written and before the log was.
  if (GENERATE(false, true))
    Write(folder / "log", old_log);
  {
    const OpenResult opened = Open(folder);
    CHECK(opened.state.snapshot == snapshot);
    CHECK(opened.state.entries == kept);
    const std::int64_t next = 3 + static_cast<std::int64_t>(kept.size());
    CHECK(Apply(*opened.store, {AppendEntries{{Entry(2, next)}}}) ==
          ResultCode::kOk);
  }
  CHECK(Open(folder).state.entries.size() == kept.size() + 1);
}

// Guards against a process that can't start after a crash during an append.
TEST_CASE("A log truncated at any byte keeps all complete records",
          "[storage]") {
  const std::vector<std::size_t> log_sizes = LogSizes();
  const bool zeros = GENERATE(false, true);
  TemporaryFolder folder;
  WriteInitialEntries(folder);
  const std::string log = Read(folder / "log");
  REQUIRE(log.size() == log_sizes.back());
  for (std::size_t size = 0; size < log.size(); ++size) {
    CAPTURE(size, zeros);
    // A file system may extend a file before it writes the blocks, which then
    // read as zeros.
    Write(folder / "log",
          log.substr(0, size) + std::string(zeros ? log.size() - size : 0, 0));
    const auto whole = static_cast<std::size_t>(
        std::ranges::upper_bound(log_sizes, size) - log_sizes.begin() - 1);
    const OpenResult opened = Open(folder);
    REQUIRE(opened.error.code == ResultCode::kOk);
    REQUIRE(opened.state.entries ==
            std::vector(kEntries.begin(),
                        kEntries.begin() + static_cast<int>(whole)));
    REQUIRE(fs::file_size(folder / "log") == log_sizes[whole]);
  }
}

// Guards against truncating the log at a damaged record, which would lose
// committed entries. Every record here, including the last, was written whole.
TEST_CASE("A wrong byte anywhere in a written record is reported as damage",
          "[storage][guarantee]") {
  const std::vector<std::size_t> log_sizes = LogSizes();
  const int mask = GENERATE(0x01, 0x80, 0xFF);
  TemporaryFolder folder;
  WriteInitialEntries(folder);
  const std::string log = Read(folder / "log");
  for (std::size_t at = 0; at < log.size(); ++at) {
    CAPTURE(at, mask);
    std::string damaged = log;
    damaged[at] = static_cast<char>(damaged[at] ^ mask);
    Write(folder / "log", damaged);
    const auto record = *(std::ranges::upper_bound(log_sizes, at) - 1);
    const OpenResult opened = Open(folder);
    REQUIRE(opened.error.code == ResultCode::kLogDamaged);
    REQUIRE(opened.error.message ==
            (folder / "log").string() + " is damaged at offset " +
                std::to_string(record) + ": wrong checksum or contents");
    REQUIRE(Read(folder / "log") == damaged);
  }
  // A record is missing in the middle.
  Write(folder / "log", log.substr(0, log_sizes[1]) + log.substr(log_sizes[2]));
  CHECK(Open(folder).error.code == ResultCode::kLogDamaged);
}

// Guards against silently losing a vote or log entries.
TEST_CASE("A damaged or missing file in a used folder is reported as damage",
          "[storage]") {
  TemporaryFolder folder;
  WriteInitialEntries(folder);
  Apply(*Open(folder).store, {SaveSnapshot{{1, 1, {"c1"}, "state"}}});
  const std::string name =
      GENERATE("identity", "hard_state", "snapshot", "log");
  const fs::path path = folder / name.c_str();
  SECTION("missing") {
    fs::remove(path);
    if (name == "hard_state" || name == "identity") {
      CHECK(Open(folder).error.message ==
            path.string() + " is missing beside a log");
    }
  }
  SECTION("cut short") {
    if (name != "log")
      fs::resize_file(path, fs::file_size(path) - 1);
    else
      fs::remove(path);
  }
  SECTION("empty") {
    if (name != "log")
      fs::resize_file(path, 0);
    else
      fs::remove(path);
  }
  CHECK(Open(folder).error.code == ResultCode::kLogDamaged);
}

TEST_CASE("A hard state older than the log is reported as damage",
          "[storage]") {
  TemporaryFolder folder;
  {
    const OpenResult opened = Open(folder);
    Apply(*opened.store, {HardState{1, "", false}});
    const std::string old_state = Read(folder / "hard_state");
    Apply(*opened.store, {kHardState, AppendEntries{kEntries}});
    Write(folder / "hard_state", old_state);
  }
  CHECK(Open(folder).error.code == ResultCode::kLogDamaged);
}

TEST_CASE("A folder belongs to one instance and one process", "[storage]") {
  TemporaryFolder folder;
  const OpenResult first = Open(folder);
  CHECK(Open(folder).error.code == ResultCode::kDataFolderInUse);
  SECTION("an instance of another name is refused") {
    TemporaryFolder other;
    Open(other);
    CHECK(Open(other, {}, "c2").error.code == ResultCode::kIdentityMismatch);
  }
}

TEST_CASE("Short and interrupted writes are continued", "[storage]") {
  TemporaryFolder folder;
  FileHooks hooks;
  int calls = 0;
  hooks.write = [&calls](int file, const void* bytes, std::size_t size) {
    if (++calls % 3 == 0) {
      errno = EINTR;
      return ssize_t{-1};
    }
    return ::write(file, bytes, std::min<std::size_t>(size, 5));
  };
  CHECK(Apply(*Open(folder, hooks).store,
              {kHardState, AppendEntries{kEntries}}) == ResultCode::kOk);
  CHECK(Open(folder).state.entries == kEntries);
}

TEST_CASE("An append is synced before Apply returns", "[storage]") {
  TemporaryFolder folder;
  WriteInitialEntries(folder);
  FileHooks hooks;
  int syncs = 0;
  hooks.sync = [&syncs](int file) {
    ++syncs;
    return ::fsync(file);
  };
  const OpenResult opened = Open(folder, hooks);
  syncs = 0;
  CHECK(Apply(*opened.store, {AppendEntries{{Entry(2, 4)}}}) ==
        ResultCode::kOk);
  CHECK(syncs == 1);
}

// Guards against acknowledging data that is not durable, by failing each write
// or sync in turn, and against retrying a failed sync, which may succeed
// although the data is lost.
TEST_CASE(
    "A failed write or sync is reported, is final and keeps what was "
    "durable",
    "[storage][guarantee]") {
  const bool full_disk = GENERATE(false, true);
  for (int failing = 1;; ++failing) {
    CAPTURE(failing, full_disk);
    TemporaryFolder folder;
    WriteInitialEntries(folder);
    FileHooks hooks;
    int calls = 0;
    bool inject_faults = false;
    hooks.write = [&](int file, const void* bytes, std::size_t size) {
      if (!inject_faults || !full_disk || ++calls < failing)
        return ::write(file, bytes, size);
      if (calls == failing && size > 1)
        return ::write(file, bytes, size / 2);
      errno = ENOSPC;
      return ssize_t{-1};
    };
    hooks.sync = [&](int file) {
      if (!inject_faults || full_disk || ++calls != failing)
        return ::fsync(file);
      errno = EIO;
      return -1;
    };
    OpenResult opened = Open(folder, hooks);
    inject_faults = true;
    const ResultCode code =
        Apply(*opened.store, {HardState{3, "c1", false}, TruncateLog{3},
                              AppendEntries{{Entry(3, 3)}},
                              SaveSnapshot{{1, 1, {"c1"}, "state"}}});
    if (code == ResultCode::kOk) {
      CHECK(failing > (full_disk ? 4 : 6));
      break;
    }
    CHECK(code == ResultCode::kLogWriteFailed);
    inject_faults = false;
    CHECK(Apply(*opened.store, {}) == ResultCode::kLogWriteFailed);
    opened.store.reset();
    const OpenResult reopened = Open(folder);
    REQUIRE(reopened.error.code == ResultCode::kOk);
    const RestoredState& state = reopened.state;
    CHECK(state.hard_state.term >= 2);
    const auto last = state.snapshot.last_index +
                      static_cast<std::int64_t>(state.entries.size());
    CHECK(last >= 2);
  }
}

// Guards against entries that a killed process had written but not synced: they
// are acknowledged after the restart and gone after a loss of power.
TEST_CASE("Entries that were read are durable when the store is open",
          "[storage][guarantee]") {
  const TemporaryFolder folder;
  WriteInitialEntries(folder);
  std::vector<std::string> synced;
  FileHooks recording;
  recording.sync = [&synced](int descriptor) {
    synced.push_back(
        fs::read_symlink("/proc/self/fd/" + std::to_string(descriptor))
            .filename());
    return ::fsync(descriptor);
  };
  const OpenResult opened = Open(folder, recording);
  CHECK(opened.state.entries == kEntries);
  CHECK(std::ranges::count(synced, "log") > 0);
}

}  // namespace goldcrest::storage
