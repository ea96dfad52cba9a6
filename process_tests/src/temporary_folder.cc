#include "temporary_folder.h"

#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <system_error>

namespace goldcrest::process_tests {

TemporaryFolder::TemporaryFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "goldcrest-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr)
    throw std::system_error(errno, std::generic_category(), name);
  path_ = name;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

void TemporaryFolder::Write(const std::string& name,
                            const std::string& text) const {
  std::ofstream file(path_ / name, std::ios::binary | std::ios::trunc);
  file << text;
}

std::string TemporaryFolder::Read(const std::string& name) const {
  std::ifstream file(path_ / name, std::ios::binary);
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

}  // namespace goldcrest::process_tests
