#ifndef GOLDCREST_CTL_OBJECT_FILE_H_
#define GOLDCREST_CTL_OBJECT_FILE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"

namespace goldcrest::ctl {

//! Configuration objects as operators write them: a TOML file with the arrays
//! of tables [[customer]], [[key]], [[access]], [[quota]], [[endpoint]] and
//! [[objective]].
struct ObjectFile {
  //! The revision that the file was written on, if it says so.
  std::optional<std::int64_t> base_revision;
  std::vector<messages::Object> objects;
};

//! Appends "path:line:quota[0].rate: expected ..." to `errors` for each fault;
//! the result is to be used only when there is none.
ObjectFile ReadObjectFile(const std::string& path,
                          std::vector<std::string>* errors);

//! The text of such a file.
std::string WriteObjectFile(const ObjectFile& file);

}  // namespace goldcrest::ctl

#endif  // GOLDCREST_CTL_OBJECT_FILE_H_
