#include "goldcrest/settings/daemon_settings.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace goldcrest::settings {
namespace {

const std::filesystem::path kDataFolder = GOLDCREST_TEST_DATA "/data";

std::string ProblemsText(const std::filesystem::path& path) {
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

// Guards against reporting only the first error of a file and against ignoring
// a misspelt key.
TEST_CASE("All problems of a settings file are listed with their lines",
          "[settings]") {
  CHECK(ProblemsText(kDataFolder / "faulty.toml") ==
        ReadFile(kDataFolder / "faulty.approved.txt"));
}

TEST_CASE("A file that can't be read or parsed has one problem", "[settings]") {
  CHECK(CheckSettings(kDataFolder / "absent.toml").size() == 1);
  const auto problems = CheckSettings(kDataFolder / "invalid.toml");
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].code == ResultCode::kSettingsUnreadable);
  CHECK(problems[0].line == 2);
}

TEST_CASE("The example settings are valid", "[settings]") {
  const auto path = kDataFolder / "../../../examples/goldcrestd.toml";
  const LoadedSettings loaded = LoadSettings(path);
  CHECK(ProblemsText(path).empty());
  CHECK(loaded.settings.entry.drain_grace == std::chrono::seconds(2));
  CHECK(loaded.settings.control.members[2].address.host == "192.0.2.13");
  CHECK(loaded.settings.control.data_folder == path.parent_path() / "data");
  CHECK(loaded.settings.operators.token_digest.size() == 32);
}

}  // namespace goldcrest::settings
