#ifndef GOLDCREST_STORAGE_FILE_HOOKS_H_
#define GOLDCREST_STORAGE_FILE_HOOKS_H_

#include <sys/types.h>

#include <cstddef>
#include <functional>

namespace goldcrest::storage {

//! Replaceable write(2) and fsync(2), with the same results and errno. Tests
//! use them to inject full disks, short writes and failed syncs.
struct FileHooks {
  FileHooks();

  std::function<ssize_t(int, const void*, std::size_t)> write;
  std::function<int(int)> sync;
};

}  // namespace goldcrest::storage

#endif  // GOLDCREST_STORAGE_FILE_HOOKS_H_
