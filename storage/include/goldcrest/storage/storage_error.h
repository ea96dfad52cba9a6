#ifndef GOLDCREST_STORAGE_STORAGE_ERROR_H_
#define GOLDCREST_STORAGE_STORAGE_ERROR_H_

#include <string>

#include "goldcrest/types/result_code.h"

namespace goldcrest::storage {

//! The error object of every failed boost::leaf::result of this package.
struct StorageError {
  //! kLogDamaged, kLogWriteFailed, kDataFolderInUse or kIdentityMismatch.
  ResultCode code = ResultCode::kLogWriteFailed;
  std::string message;  //!< File, offset if known, and cause.
};

}  // namespace goldcrest::storage

#endif  // GOLDCREST_STORAGE_STORAGE_ERROR_H_
