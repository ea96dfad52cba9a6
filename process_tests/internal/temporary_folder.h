#ifndef GOLDCREST_PROCESS_TESTS_TEMPORARY_FOLDER_H_
#define GOLDCREST_PROCESS_TESTS_TEMPORARY_FOLDER_H_

#include <filesystem>
#include <string>

namespace goldcrest::process_tests {

//! A new folder, removed with its contents by the destructor.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::filesystem::path& path() const { return path_; }

  void Write(const std::string& name, const std::string& text) const;

  //! Empty if there is no such file.
  std::string Read(const std::string& name) const;

 private:
  std::filesystem::path path_;
};

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_TEMPORARY_FOLDER_H_
