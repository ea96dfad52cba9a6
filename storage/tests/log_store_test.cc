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
class Folder {
 public:
  Folder() {
    std::string name =
        (fs::temp_directory_path() / "goldcrest-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    path_ = name;
  }
  ~Folder() { fs::remove_all(path_); }
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
const HardState kState = {.term = 2, .vote = "c2", .joining = false};

struct Opened {
  std::unique_ptr<LogStore> store;
  RestoredState state;
  StorageError error{ResultCode::kOk, ""};
};

Opened Open(const Folder& folder,
            const FileHooks& hooks = {},
            const std::string& instance = "c1") {
  Opened opened;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(
            log, LogStore::Open({folder.Path(), "cluster", instance, hooks}));
        opened.store = std::move(log.store);
        opened.state = std::move(log.state);
        return {};
      },
      [&](const StorageError& error) { opened.error = error; },
      [] { FAIL("an error without StorageError"); });
  return opened;
}

ResultCode Apply(LogStore& store, const std::vector<LogWrite>& writes) {
  ResultCode code = ResultCode::kOk;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> { return store.Apply(writes); },
      [&](const StorageError& error) { code = error.code; },
      [] { FAIL("an error without StorageError"); });
  return code;
}

void Fill(const Folder& folder) {
  const Opened opened = Open(folder);
  REQUIRE(Apply(*opened.store, {kState, AppendEntries{kEntries}}) ==
          ResultCode::kOk);
}

// Sizes of the log after 0, 1, 2 and 3 entries.
std::vector<std::size_t> Boundaries() {
  const Folder folder;
  const Opened opened = Open(folder);
  std::vector<std::size_t> sizes = {0};
  Apply(*opened.store, {kState});
  for (const messages::LogEntry& entry : kEntries) {
    Apply(*opened.store, {AppendEntries{{entry}}});
    sizes.push_back(fs::file_size(folder / "log"));
  }
  return sizes;
}

}  // namespace

TEST_CASE("What was applied is restored", "[storage]") {
  const Folder folder;
  {
    const Opened opened = Open(folder);
    CHECK(opened.state.fresh);
    CHECK(Apply(*opened.store, {kState, AppendEntries{kEntries}}) ==
          ResultCode::kOk);
    CHECK(Apply(*opened.store, {HardState{3, "c3", true}, TruncateLog{2},
                                AppendEntries{{Entry(3, 2), Entry(3, 3)}}}) ==
          ResultCode::kOk);
  }
  const Opened opened = Open(folder);
  CHECK_FALSE(opened.state.fresh);
  CHECK(opened.state.hard_state == HardState{3, "c3", true});
  CHECK(opened.state.entries ==
        std::vector{Entry(1, 1), Entry(3, 2), Entry(3, 3)});
  // An entry that leaves a gap must not reach the file.
  CHECK(Apply(*opened.store, {AppendEntries{{Entry(3, 9)}}}) ==
        ResultCode::kLogWriteFailed);
}

TEST_CASE("A snapshot replaces the log up to its last index", "[storage]") {
  const Folder folder;
  Fill(folder);
  const std::string old_log = Read(folder / "log");
  const std::size_t size = GENERATE(0U, 10U, 5U << 20U);
  const std::int64_t term = GENERATE(1, 2);
  const Snapshot snapshot{2, term, {"c1", "c2"}, std::string(size, 's')};
  // Entry 2 has term 1: with another term, the log's history is not the
  // snapshot's.
  const auto kept =
      term == 1 ? std::vector{Entry(2, 3)} : std::vector<messages::LogEntry>();
  CHECK(Apply(*Open(folder).store, {SaveSnapshot{snapshot}}) ==
        ResultCode::kOk);
  // Guards against a crash between the two files.
  if (GENERATE(false, true))
    Write(folder / "log", old_log);
  {
    const Opened opened = Open(folder);
    CHECK(opened.state.snapshot == snapshot);
    CHECK(opened.state.entries == kept);
    const std::int64_t next = 3 + static_cast<std::int64_t>(kept.size());
    CHECK(Apply(*opened.store, {AppendEntries{{Entry(2, next)}}}) ==
          ResultCode::kOk);
  }
  CHECK(Open(folder).state.entries.size() == kept.size() + 1);
}

// Guards against a process that can't start after a crash in an append.
TEST_CASE("A log cut at any byte keeps all whole records", "[storage]") {
  const std::vector<std::size_t> boundaries = Boundaries();
  const bool zeros = GENERATE(false, true);
  Folder folder;
  Fill(folder);
  const std::string log = Read(folder / "log");
  REQUIRE(log.size() == boundaries.back());
  for (std::size_t size = 0; size < log.size(); ++size) {
    CAPTURE(size, zeros);
    // A file system may extend a file before it writes its blocks.
    Write(folder / "log",
          log.substr(0, size) + std::string(zeros ? log.size() - size : 0, 0));
    const auto whole = static_cast<std::size_t>(
        std::ranges::upper_bound(boundaries, size) - boundaries.begin() - 1);
    const Opened opened = Open(folder);
    REQUIRE(opened.error.code == ResultCode::kOk);
    REQUIRE(opened.state.entries ==
            std::vector(kEntries.begin(),
                        kEntries.begin() + static_cast<int>(whole)));
    REQUIRE(fs::file_size(folder / "log") == boundaries[whole]);
  }
}

// Guards against a shorter history, which would lose decided entries: every
// entry here was written whole, the last one included.
TEST_CASE("A wrong byte anywhere in a written record is damage",
          "[storage][guarantee]") {
  const std::vector<std::size_t> boundaries = Boundaries();
  const int mask = GENERATE(0x01, 0x80, 0xFF);
  Folder folder;
  Fill(folder);
  const std::string log = Read(folder / "log");
  for (std::size_t at = 0; at < log.size(); ++at) {
    CAPTURE(at, mask);
    std::string damaged = log;
    damaged[at] = static_cast<char>(damaged[at] ^ mask);
    Write(folder / "log", damaged);
    const auto record = *(std::ranges::upper_bound(boundaries, at) - 1);
    const Opened opened = Open(folder);
    REQUIRE(opened.error.code == ResultCode::kLogDamaged);
    REQUIRE(opened.error.message ==
            (folder / "log").string() + " is damaged at offset " +
                std::to_string(record) + ": wrong checksum or contents");
    REQUIRE(Read(folder / "log") == damaged);
  }
  // A record is missing in the middle.
  Write(folder / "log",
        log.substr(0, boundaries[1]) + log.substr(boundaries[2]));
  CHECK(Open(folder).error.code == ResultCode::kLogDamaged);
}

// Guards against a vote or a history that is silently forgotten.
TEST_CASE("A damaged or missing file beside others is damage", "[storage]") {
  Folder folder;
  Fill(folder);
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

TEST_CASE("A hard state older than the log is damage", "[storage]") {
  Folder folder;
  {
    const Opened opened = Open(folder);
    Apply(*opened.store, {HardState{1, "", false}});
    const std::string old_state = Read(folder / "hard_state");
    Apply(*opened.store, {kState, AppendEntries{kEntries}});
    Write(folder / "hard_state", old_state);
  }
  CHECK(Open(folder).error.code == ResultCode::kLogDamaged);
}

TEST_CASE("A folder belongs to one instance and one process", "[storage]") {
  Folder folder;
  const Opened first = Open(folder);
  CHECK(Open(folder).error.code == ResultCode::kDataFolderInUse);
  SECTION("an instance of another name is refused") {
    Folder other;
    Open(other);
    CHECK(Open(other, {}, "c2").error.code == ResultCode::kIdentityMismatch);
  }
}

TEST_CASE("Short and interrupted writes are continued", "[storage]") {
  Folder folder;
  FileHooks hooks;
  int calls = 0;
  hooks.write = [&calls](int file, const void* bytes, std::size_t size) {
    if (++calls % 3 == 0) {
      errno = EINTR;
      return ssize_t{-1};
    }
    return ::write(file, bytes, std::min<std::size_t>(size, 5));
  };
  CHECK(Apply(*Open(folder, hooks).store, {kState, AppendEntries{kEntries}}) ==
        ResultCode::kOk);
  CHECK(Open(folder).state.entries == kEntries);
}

TEST_CASE("An append is synced before Apply returns", "[storage]") {
  Folder folder;
  Fill(folder);
  FileHooks hooks;
  int syncs = 0;
  hooks.sync = [&syncs](int file) {
    ++syncs;
    return ::fsync(file);
  };
  const Opened opened = Open(folder, hooks);
  syncs = 0;
  CHECK(Apply(*opened.store, {AppendEntries{{Entry(2, 4)}}}) ==
        ResultCode::kOk);
  CHECK(syncs == 1);
}

// Guards against an acknowledgement of what is not on the disk, at each call
// that can fail, and against a retry after a failed sync, which may succeed
// although the data is gone.
TEST_CASE(
    "A failed write or sync is reported, is final and keeps what was "
    "durable",
    "[storage][guarantee]") {
  const bool full_disk = GENERATE(false, true);
  for (int failing = 1;; ++failing) {
    CAPTURE(failing, full_disk);
    Folder folder;
    Fill(folder);
    FileHooks hooks;
    int calls = 0;
    bool armed = false;
    hooks.write = [&](int file, const void* bytes, std::size_t size) {
      if (!armed || !full_disk || ++calls < failing)
        return ::write(file, bytes, size);
      if (calls == failing && size > 1)
        return ::write(file, bytes, size / 2);
      errno = ENOSPC;
      return ssize_t{-1};
    };
    hooks.sync = [&](int file) {
      if (!armed || full_disk || ++calls != failing)
        return ::fsync(file);
      errno = EIO;
      return -1;
    };
    Opened opened = Open(folder, hooks);
    armed = true;
    const ResultCode code =
        Apply(*opened.store, {HardState{3, "c1", false}, TruncateLog{3},
                              AppendEntries{{Entry(3, 3)}},
                              SaveSnapshot{{1, 1, {"c1"}, "state"}}});
    if (code == ResultCode::kOk) {
      CHECK(failing > (full_disk ? 4 : 6));
      break;
    }
    CHECK(code == ResultCode::kLogWriteFailed);
    armed = false;
    CHECK(Apply(*opened.store, {}) == ResultCode::kLogWriteFailed);
    opened.store.reset();
    const Opened reopened = Open(folder);
    REQUIRE(reopened.error.code == ResultCode::kOk);
    const RestoredState& state = reopened.state;
    CHECK(state.hard_state.term >= 2);
    const auto last = state.snapshot.last_index +
                      static_cast<std::int64_t>(state.entries.size());
    CHECK(last >= 2);
  }
}

}  // namespace goldcrest::storage
