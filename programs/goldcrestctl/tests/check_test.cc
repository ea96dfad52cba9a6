#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "commands.h"
#include "document_check.h"
#include "goldcrest/platform/routing_document.h"
#include "goldcrest/policy/configuration.h"
#include "goldcrest/settings/object_json.h"
#include "goldcrest/types/result_code.h"
#include "object_check.h"
#include "object_file.h"

namespace goldcrest::ctl {
namespace {

const std::string kFolder = GOLDCREST_TEST_DATA "/data/check/";

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// The output of the command, without the folder of the test data.
std::pair<int, std::string> Check(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), "check");
  std::ostringstream out;
  const int exit = RunCommand(arguments, out, out);
  std::string text = out.str();
  for (std::size_t at = 0; (at = text.find(kFolder)) != std::string::npos;)
    text.erase(at, kFolder.size());
  return {exit, text};
}

// A document in which some parts are replaced by others.
std::string AnyDocument() {
  std::string text = ReadText(
      kFolder + *rc::gen::element<std::string>("before.json", "suspect.json"));
  const std::vector<std::string> parts = {
      "\"s1\"", "\"counter\"", "600", "70",          "\"key-one\"", "null",
      "{}",     "[]",          "-1",  "\"primary\"", "\"t1\"",      "true",
      "\"\"",   "1e300",       "}",   "\"a b\""};
  const int count = *rc::gen::inRange(0, 3);
  for (int i = 0; i < count; ++i) {
    const std::string from = *rc::gen::elementOf(parts);
    const std::size_t at =
        text.find(from, *rc::gen::inRange<std::size_t>(0, text.size()));
    if (at != std::string::npos)
      text.replace(at, from.size(), *rc::gen::elementOf(parts));
  }
  return text;
}

messages::Object AnyObject() {
  messages::Object object;
  object.kind = static_cast<messages::ObjectKind::type>(
      *rc::gen::inRange(int{messages::ObjectKind::CUSTOMER},
                        int{messages::ObjectKind::OBJECTIVE}));
  object.name = *rc::gen::element<std::string>("a", "b", "c", "Bad Name");
  object.deleted = *rc::gen::inRange(0, 5) == 0;
  if (object.kind == messages::ObjectKind::KEY) {
    object.__set_customer(*rc::gen::element<std::string>("a", "b", "z"));
    object.__set_digest(std::string(32, *rc::gen::inRange<char>('0', '3')));
  }
  if (object.kind == messages::ObjectKind::ACCESS)
    object.__set_mode(messages::AccessMode::READ);
  if (object.kind == messages::ObjectKind::QUOTA) {
    object.__set_rate_micros(*rc::gen::inRange<std::int64_t>(0, 10) *
                             1'000'000);
    object.__set_burst_micros(1'000'000);
    object.__set_callers(*rc::gen::element<std::string>("", "x=1", "x=="));
  }
  return object;
}

}  // namespace

TEST_CASE("The check of a platform document lists all findings with places",
          "[ctl]") {
  const auto [exit, text] = Check({kFolder + "faulty.json"});
  CHECK(exit == 2);
  CHECK(text == ReadText(kFolder + "faulty.json.approved.txt"));
  const auto [warned, warnings] =
      Check({kFolder + "suspect.json", "--against=" + kFolder + "before.json"});
  CHECK(warned == 1);
  CHECK(warnings == ReadText(kFolder + "suspect.json.approved.txt"));
  const auto [as_json, report] =
      Check({kFolder + "suspect.json", "--against=" + kFolder + "before.json",
             "--format=json"});
  CHECK(as_json == 1);
  CHECK(report == ReadText(kFolder + "suspect.json.approved.json"));
  const auto [clean, nothing] = Check({kFolder + "before.json"});
  CHECK(clean == 0);
  CHECK(nothing == "errors: 0, warnings: 0, changes: 0\n");
}

TEST_CASE("The check of an object file lists all findings with places",
          "[ctl]") {
  const std::string against = "--against=" + kFolder + "before.toml";
  const auto [exit, text] = Check({kFolder + "faulty.toml", against});
  CHECK(exit == 2);
  CHECK(text == ReadText(kFolder + "faulty.toml.approved.txt"));
  const auto [warned, warnings] = Check({kFolder + "suspect.toml", against});
  CHECK(warned == 1);
  CHECK(warnings == ReadText(kFolder + "suspect.toml.approved.txt"));
  // Syntax errors come from the reader of `apply`, settings from the daemon's.
  CHECK(Check({kFolder + "../faulty.toml"}).first == 2);
  const auto [settings, problems] = Check({kFolder + "settings.toml"});
  CHECK(settings == 2);
  CHECK(problems.find("(801 settings_unknown_key)") != std::string::npos);
  CHECK(Check({kFolder + "missing.toml"}).first == kExitUsage);
}

// Guards against a second copy of a check that differs from the daemons'.
TEST_CASE("A document passes the check exactly if the controllers accept it",
          "[ctl]") {
  CHECK(rc::check([] {
    const std::string document = AnyDocument();
    const bool accepted =
        platform::DecodeRoutingDocument(document).table != nullptr;
    RC_CLASSIFY(accepted);
    RC_ASSERT((CheckDocument(document, std::nullopt).ExitCode() < 2) ==
              accepted);
  }));
}

TEST_CASE("Objects pass the check exactly if the control members accept them",
          "[ctl]") {
  CHECK(rc::check([] {
    std::vector<messages::Object> objects(*rc::gen::inRange<std::size_t>(1, 5));
    for (messages::Object& object : objects)
      object = AnyObject();
    policy::Configuration configuration;
    messages::Change change;
    change.change_id = "c1";
    change.base_revision = 0;
    change.objects = objects;
    // As a daemon receives them.
    std::vector<std::string> errors;
    const auto received =
        settings::ParseChange(settings::ToJson(change), &errors);
    const bool accepted =
        errors.empty() &&
        configuration.Apply(received).code == ToNumber(ResultCode::kOk);
    RC_CLASSIFY(accepted);
    const CheckReport report = CheckObjects(0, objects, ObjectsInForce{});
    RC_ASSERT((report.ExitCode() < 2) == accepted);
  }));
}

}  // namespace goldcrest::ctl
