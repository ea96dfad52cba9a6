#ifndef GOLDCREST_STORAGE_LOG_STORE_H_
#define GOLDCREST_STORAGE_LOG_STORE_H_

#include <boost/leaf/result.hpp>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "goldcrest/consensus/output.h"
#include "goldcrest/consensus/restored_state.h"
#include "goldcrest/storage/file_hooks.h"
#include "goldcrest/storage/storage_error.h"

namespace goldcrest::storage {

struct OpenedLog;

struct LogStoreOptions {
  std::filesystem::path folder;  //!< Created when missing.
  std::string cluster;
  std::string instance;
  FileHooks hooks;
};

//! Stores the replicated log of one member in a data folder, which it locks.
//! Calls block on disk I/O. Not thread-safe.
//!
//! Files: `lock`, `identity`, `hard_state`, `snapshot`, `log`. All but the lock
//! consist of checksummed records (see internal/record.h).
class LogStore {
 public:
  //! Errors: kDataFolderInUse; kIdentityMismatch: the folder belongs to another
  //! cluster or instance; kLogDamaged; kLogWriteFailed. Truncates an incomplete
  //! last record of the log.
  static boost::leaf::result<OpenedLog> Open(LogStoreOptions options);

  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  //! Performs the writes in order and returns when they are durable. After
  //! kLogWriteFailed they may or may not be durable, and every later call
  //! fails, because a file system may drop data after a failed sync; the caller
  //! must stop the process.
  boost::leaf::result<void> Apply(
      const std::vector<consensus::LogWrite>& writes);

 private:
  class Impl;
  explicit LogStore(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

struct OpenedLog {
  std::unique_ptr<LogStore> store;
  consensus::RestoredState state;
};

}  // namespace goldcrest::storage

#endif  // GOLDCREST_STORAGE_LOG_STORE_H_
