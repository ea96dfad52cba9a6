#ifndef GOLDCREST_STORAGE_FILE_H_
#define GOLDCREST_STORAGE_FILE_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

#include "goldcrest/storage/file_hooks.h"

namespace goldcrest::storage {

//! An open file or directory. Errors of all functions are StorageError.
class File {
 public:
  File() = default;
  ~File();
  File(File&& other) noexcept;
  File& operator=(File&& other) noexcept;
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  //! `flags` as for open(2); kLogWriteFailed.
  static boost::leaf::result<File> Open(const std::filesystem::path& path,
                                        int flags);

  int Descriptor() const { return descriptor_; }
  const std::filesystem::path& Path() const { return path_; }

  //! Appends all of `bytes`, continuing after short writes; kLogWriteFailed.
  boost::leaf::result<void> Write(const FileHooks& hooks,
                                  std::string_view bytes);
  boost::leaf::result<void> Sync(const FileHooks& hooks);
  boost::leaf::result<void> Truncate(std::uint64_t size);
  //! The whole contents; kLogDamaged when they can't be read.
  boost::leaf::result<std::string> ReadAll() const;

 private:
  File(std::filesystem::path path, int descriptor);

  std::filesystem::path path_;
  int descriptor_ = -1;
};

//! Makes the contents of the file durable before its name: after a crash the
//! file is either the old or the new one. `folder` is the open directory.
boost::leaf::result<void> ReplaceFile(File& folder,
                                      const std::string& name,
                                      std::string_view bytes,
                                      const FileHooks& hooks);

}  // namespace goldcrest::storage

#endif  // GOLDCREST_STORAGE_FILE_H_
