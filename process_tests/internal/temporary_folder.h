#ifndef GOLDCREST_PROCESS_TESTS_TEMPORARY_FOLDER_H_
#define GOLDCREST_PROCESS_TESTS_TEMPORARY_FOLDER_H_

#include <filesystem>
#include <string>

namespace goldcrest::process_tests {

//! Creates a folder and removes it with its contents in the destructor.
class TemporaryFolder {
 public:
  //! Throws std::system_error.
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::filesystem::path& path() const { return path_; }

  //! Replaces the file if it exists.
  void Write(const std::string& name, const std::string& text) const;

  //! Contents of the file; empty if it doesn't exist.
  std::string Read(const std::string& name) const;

 private:
  std::filesystem::path path_;
};

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_TEMPORARY_FOLDER_H_
