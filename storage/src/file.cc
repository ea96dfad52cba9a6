#include "file.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/leaf/error.hpp>
#include <cerrno>
#include <cstdio>
#include <system_error>
#include <utility>

#include "goldcrest/storage/storage_error.h"

namespace goldcrest::storage {
namespace {

namespace leaf = boost::leaf;

// Only the owner may read the files: the log contains the session secret.
constexpr mode_t kFileMode = 0600;

leaf::error_id IoError(ResultCode code,
                       std::string_view action,
                       const std::filesystem::path& path,
                       int error) {
  return leaf::new_error(
      StorageError{code, fmt::format("can't {} {}: {}", action, path.string(),
                                     std::generic_category().message(error))});
}

leaf::error_id WriteError(std::string_view action,
                          const std::filesystem::path& path) {
  return IoError(ResultCode::kLogWriteFailed, action, path, errno);
}

}  // namespace

FileHooks::FileHooks() : write(::write), sync(::fsync) {}

File::File(std::filesystem::path path, int descriptor)
    : path_(std::move(path)), descriptor_(descriptor) {}

File::~File() {
  if (descriptor_ >= 0)
    ::close(descriptor_);
}

File::File(File&& other) noexcept
    : path_(std::move(other.path_)),
      descriptor_(std::exchange(other.descriptor_, -1)) {}

File& File::operator=(File&& other) noexcept {
  std::swap(path_, other.path_);
  std::swap(descriptor_, other.descriptor_);
  return *this;
}

leaf::result<File> File::Open(const std::filesystem::path& path, int flags) {
  const int descriptor = ::open(path.c_str(), flags | O_CLOEXEC, kFileMode);
  if (descriptor < 0)
    return WriteError("open", path);
  return File(path, descriptor);
}

leaf::result<void> File::Write(const FileHooks& hooks, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written =
        hooks.write(descriptor_, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR)
      continue;
    if (written < 0)
      return WriteError("write", path_);
    if (written == 0)
      return IoError(ResultCode::kLogWriteFailed, "write", path_, ENOSPC);
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

leaf::result<void> File::Sync(const FileHooks& hooks) {
  if (hooks.sync(descriptor_) != 0)
    return WriteError("sync", path_);
  return {};
}

leaf::result<void> File::Truncate(std::uint64_t size) {
  if (::ftruncate(descriptor_, static_cast<off_t>(size)) != 0)
    return WriteError("truncate", path_);
  return {};
}

leaf::result<std::string> File::ReadAll() const {
  struct stat status {};
  if (::fstat(descriptor_, &status) != 0)
    return IoError(ResultCode::kLogDamaged, "read", path_, errno);
  std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count =
        ::pread(descriptor_, bytes.data() + done, bytes.size() - done,
                static_cast<off_t>(done));
    if (count < 0 && errno == EINTR)
      continue;
    if (count <= 0)
      return IoError(ResultCode::kLogDamaged, "read", path_,
                     count < 0 ? errno : EIO);
    done += static_cast<std::size_t>(count);
  }
  return bytes;
}

leaf::result<void> ReplaceFile(File& folder,
                               const std::string& name,
                               std::string_view bytes,
                               const FileHooks& hooks) {
  const auto path = folder.Path() / name;
  const auto temporary = folder.Path() / (name + ".tmp");
  BOOST_LEAF_AUTO(file, File::Open(temporary, O_WRONLY | O_CREAT | O_TRUNC));
  BOOST_LEAF_CHECK(file.Write(hooks, bytes));
  BOOST_LEAF_CHECK(file.Sync(hooks));
  if (std::rename(temporary.c_str(), path.c_str()) != 0)
    return WriteError("rename", temporary);
  return folder.Sync(hooks);
}

}  // namespace goldcrest::storage
