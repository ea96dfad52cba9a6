#ifndef GOLDCREST_CTL_OBJECT_FILE_H_
#define GOLDCREST_CTL_OBJECT_FILE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"

namespace goldcrest::ctl {

//! The configuration objects of a TOML file that operators edit. It has the
//! arrays of tables [[customer]], [[key]], [[access]], [[quota]], [[endpoint]]
//! and [[objective]].
struct ObjectFile {
  //! The configuration revision on which the file is based, if it names one.
  std::optional<std::int64_t> base_revision;
  std::vector<messages::Object> objects;
};

//! Reads an object file. Appends "path:line:quota[0].rate: expected ..." to
//! `errors` for each error; the result is valid only if there is none.
ObjectFile ReadObjectFile(const std::string& path,
                          std::vector<std::string>* errors);

//! True if the file is TOML with a key of an object file at its top level.
bool HasObjects(const std::string& path);

//! The TOML text of an object file.
std::string WriteObjectFile(const ObjectFile& file);

}  // namespace goldcrest::ctl

#endif  // GOLDCREST_CTL_OBJECT_FILE_H_
