#ifndef GOLDCREST_STORAGE_FILE_H_
#define GOLDCREST_STORAGE_FILE_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

#include "goldcrest/storage/file_hooks.h"

namespace goldcrest::storage {

//! An open file or directory. All functions report errors as StorageError.
class File {
 public:
  File() = default;
  ~File();
  File(File&& other) noexcept;
  File& operator=(File&& other) noexcept;
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  //! `flags` are those of open(2). Error: kLogWriteFailed.
  static boost::leaf::result<File> Open(const std::filesystem::path& path,
                                        int flags);

  int Descriptor() const { return descriptor_; }
  const std::filesystem::path& Path() const { return path_; }

  //! Writes all of `bytes`, continuing after short writes. Error:
  //! kLogWriteFailed.
  boost::leaf::result<void> Write(const FileHooks& hooks,
                                  std::string_view bytes);
  boost::leaf::result<void> Sync(const FileHooks& hooks);
  boost::leaf::result<void> Truncate(std::uint64_t size);
  //! Returns the whole contents. Error: kLogDamaged.
  boost::leaf::result<std::string> ReadAll() const;

 private:
  File(std::filesystem::path path, int descriptor);

  std::filesystem::path path_;
  int descriptor_ = -1;
};

//! Replaces a file atomically: syncs a temporary file before renaming it, so
//! that the old or the new contents are there after a crash. `folder` is the
//! open directory of the file.
boost::leaf::result<void> ReplaceFile(File& folder,
                                      const std::string& name,
                                      std::string_view bytes,
                                      const FileHooks& hooks);

}  // namespace goldcrest::storage

#endif  // GOLDCREST_STORAGE_FILE_H_
