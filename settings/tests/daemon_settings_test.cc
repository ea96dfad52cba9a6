#include "goldcrest/settings/daemon_settings.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace goldcrest::settings {
namespace {

const std::filesystem::path kData = GOLDCREST_TEST_DATA "/data";

std::string Problems(const std::filesystem::path& path) {
  std::string text;
  for (Problem& problem : CheckSettings(path)) {
    problem.file = path.filename().string();
    text += ToString(problem) + "\n";
  }
  return text;
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

// Fails when an operator has to correct a file one error at a time, or when a
// misspelt key is ignored.
TEST_CASE("All problems of a settings file are listed with their lines",
          "[settings]") {
  CHECK(Problems(kData / "faulty.toml") ==
        ReadFile(kData / "faulty.approved.txt"));
}

TEST_CASE("A file that can't be read or parsed has one problem", "[settings]") {
  CHECK(CheckSettings(kData / "absent.toml").size() == 1);
  const auto problems = CheckSettings(kData / "invalid.toml");
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].code == ResultCode::kSettingsUnreadable);
  CHECK(problems[0].line == 2);
}

TEST_CASE("The example settings are valid", "[settings]") {
  const auto path = kData / "../../../examples/goldcrestd.toml";
  const LoadedSettings loaded = LoadSettings(path);
  CHECK(Problems(path).empty());
  CHECK(loaded.settings.entry.drain_grace == std::chrono::seconds(2));
  CHECK(loaded.settings.control.members[2].address.host == "192.0.2.13");
  CHECK(loaded.settings.control.data_folder == path.parent_path() / "data");
  CHECK(loaded.settings.operators.token_digest.size() == 32);
}

}  // namespace goldcrest::settings
