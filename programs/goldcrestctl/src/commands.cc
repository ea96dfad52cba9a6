#include "commands.h"

#include <openssl/rand.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <exception>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <utility>

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/url.hpp>

#include "check_command.h"
#include "goldcrest/settings/daemon_settings.h"
#include "goldcrest/settings/object_json.h"
#include "goldcrest/types/digest.h"
#include "goldcrest/types/result_code.h"
#include "object_diff.h"
#include "object_file.h"
#include "operator_client.h"
#include "pretty_json.h"
#include "usage.h"

namespace goldcrest::ctl {
namespace {

namespace json = boost::json;

using settings::HttpCall;

constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kChangeIdBytes = 16;

// Thrown for invalid arguments and for unreadable files that they name.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::string RandomHex(std::size_t size) {
  std::string bytes(size, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                 static_cast<int>(size)) != 1)
    throw std::runtime_error("OpenSSL could not generate random bytes");
  return ToHex(bytes);
}

settings::Address ParseServer(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  settings::Address address;
  if (colon == std::string::npos)
    throw UsageError(text + " is not HOST:PORT");
  address.host = text.substr(0, colon);
  const char* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data() + colon + 1, end, address.port);
  if (parsed.ec != std::errc() || parsed.ptr != end || address.port == 0)
    throw UsageError(text + " is not HOST:PORT");
  return address;
}

std::string ReadToken(const std::string& path) {
  std::ifstream file(path);
  std::string token;
  if (!std::getline(file, token) || token.empty())
    throw UsageError("can't read the operator token from " + path);
  return token;
}

std::string UserName() {
  const char* name = getlogin();
  return name ? name : fmt::format("uid-{}", getuid());
}

std::string RequestTarget(
    std::initializer_list<std::string_view> path,
    const std::map<std::string, std::string>& parameters = {}) {
  boost::urls::url url;
  url.set_path_absolute(true);
  for (const std::string_view segment : path)
    url.segments().push_back(segment);
  for (const auto& [name, value] : parameters)
    url.params().append({name, value});
  return std::string(url.buffer());
}

//! Runs one command of goldcrestctl.
class CommandRunner {
 public:
  CommandRunner(std::map<std::string, docopt::value> arguments,
                std::ostream& out,
                std::ostream& err)
      : arguments_(std::move(arguments)), out_(out), err_(err) {}

  int Run() {
    if (IsSet("check"))
      return Check();
    Connect();
    if (IsSet("apply"))
      return Apply();
    if (IsSet("get"))
      return Get();
    if (IsSet("diff"))
      return Diff();
    if (IsSet("issue"))
      return IssueKey();
    if (IsSet("withdraw"))
      return WithdrawKey();
    if (IsSet("members"))
      return SetMembers();
    if (IsSet("drain"))
      return CallAndPrint({"POST", "/v1/drain",
                           json::serialize(json::value{
                               {"instance", StringArgument("INSTANCE")}})});
    if (IsSet("explain"))
      return CallAndPrint(
          {"GET", RequestTarget({"v1", "explain"},
                                {{"subject", StringArgument("SUBJECT")}})});
    for (const char* name : {"status", "journal"}) {
      if (IsSet(name))
        return CallAndPrint({"GET", RequestTarget({"v1", name})});
    }
    return kExitUsage;
  }

 private:
  bool IsSet(const std::string& name) const {
    return arguments_.at(name).asBool();
  }
  bool HasValue(const std::string& name) const {
    return arguments_.at(name).isString();
  }
  std::string StringArgument(const std::string& name) const {
    return arguments_.at(name).asString();
  }
  std::int64_t NumberArgument(const std::string& name) const {
    const std::string text = StringArgument(name);
    std::int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < 0)
      throw UsageError(name + " takes a number of at least 0");
    return number;
  }

  void Connect() {
    std::vector<settings::Address> servers;
    for (const std::string& server : arguments_.at("--server").asStringList())
      servers.push_back(ParseServer(server));
    Connect(std::move(servers));
  }

  void Connect(std::vector<settings::Address> servers) {
    if (servers.empty())
      servers.push_back({"127.0.0.1", 8090});
    client_.emplace(std::move(servers),
                    ReadToken(StringArgument("--token-file")),
                    std::chrono::milliseconds(NumberArgument("--timeout-ms")));
  }

  int Check() {
    CheckOptions options;
    options.file = StringArgument("FILE");
    options.format = StringArgument("--format");
    options.timeout = std::chrono::milliseconds(NumberArgument("--timeout-ms"));
    options.fetch_objects = [this](const settings::Address& server) {
      Connect({server});
      return FetchObjects({});
    };
    if (options.format != "text" && options.format != "json")
      throw UsageError("--format is text or json");
    if (!std::filesystem::is_regular_file(options.file))
      throw UsageError("can't read " + options.file);
    if (HasValue("--against")) {
      const std::string source = StringArgument("--against");
      if (std::filesystem::is_regular_file(source))
        options.against_file = source;
      else
        options.against_server = ParseServer(source);
    }
    return RunCheck(options, out_, err_);
  }

  //! Sends `call` and returns the body of the answer. Without a valid answer,
  //! prints the error, sets `exit_code_` and returns nullopt. A refusal is a
  //! valid answer; ReportResult() prints it.
  std::optional<json::object> Send(HttpCall call) {
    const auto answer = client_->Send(std::move(call));
    if (!answer) {
      err_ << "no server answers\n";
      exit_code_ = kExitNoAnswer;
      return std::nullopt;
    }
    boost::system::error_code error;
    json::value body = json::parse(answer->body, error);
    if (!error && body.is_object())
      return std::move(body.get_object());
    err_ << "the server's answer is not JSON (HTTP status " << answer->status
         << ")\n";
    exit_code_ = kExitRefused;
    return std::nullopt;
  }

  //! Prints the result in the answer unless it is a success; returns the exit
  //! code.
  int ReportResult(const json::object& body) {
    const json::value* value = body.if_contains("result");
    const json::object* result = value ? value->if_object() : nullptr;
    if (!result)
      return kExitOk;
    const json::value* code = result->if_contains("code");
    if (code && code->is_int64() && code->get_int64() == 0)
      return kExitOk;
    err_ << "refused: " << json::serialize(*result) << "\n";
    PrintMissingInstances(body);
    return kExitRefused;
  }

  void PrintMissingInstances(const json::object& body) {
    const json::value* missing = body.if_contains("missing");
    if (missing && missing->is_array() && !missing->get_array().empty())
      err_ << "not yet in force at: " << json::serialize(*missing) << "\n";
  }

  int CallAndPrint(HttpCall call) {
    const auto body = Send(std::move(call));
    if (!body)
      return exit_code_;
    const int exit = ReportResult(*body);
    if (exit == kExitOk)
      out_ << PrettyJson(*body) << "\n";
    return exit;
  }

  //! Requests the server's objects; on an error, prints it, sets `exit_code_`
  //! and returns nullopt.
  std::optional<ObjectFile> FetchObjects(
      const std::map<std::string, std::string>& parameters) {
    const auto body =
        Send({"GET", RequestTarget({"v1", "objects"}, parameters), "", {}});
    if (!body)
      return std::nullopt;
    exit_code_ = ReportResult(*body);
    if (exit_code_ != kExitOk)
      return std::nullopt;
    ObjectFile file;
    std::vector<std::string> errors;
    const json::value* objects = body->if_contains("objects");
    const json::value* revision = body->if_contains("revision");
    if (objects && revision && revision->is_int64()) {
      file.base_revision = revision->get_int64();
      file.objects = settings::ParseObjects(json::serialize(*objects), &errors);
    } else {
      errors.emplace_back("revision or objects: missing");
    }
    if (errors.empty())
      return file;
    for (const std::string& error : errors)
      err_ << "in the server's answer: " << error << "\n";
    exit_code_ = kExitRefused;
    return std::nullopt;
  }

  std::optional<ObjectFile> ReadFile() {
    std::vector<std::string> errors;
    ObjectFile file = ReadObjectFile(StringArgument("FILE"), &errors);
    for (const std::string& error : errors)
      err_ << error << "\n";
    exit_code_ = kExitRefused;
    return errors.empty() ? std::optional(std::move(file)) : std::nullopt;
  }

  int Apply() {
    auto file = ReadFile();
    if (!file)
      return exit_code_;
    if (HasValue("--base-revision"))
      file->base_revision = NumberArgument("--base-revision");
    if (!file->base_revision) {
      const auto current = FetchObjects({});
      if (!current)
        return exit_code_;
      file->base_revision = current->base_revision;
    }
    messages::Change change;
    change.change_id = HasValue("--change-id") ? StringArgument("--change-id")
                                               : RandomHex(kChangeIdBytes);
    change.base_revision = *file->base_revision;
    change.author =
        HasValue("--author") ? StringArgument("--author") : UserName();
    change.objects = file->objects;
    std::map<std::string, std::string> parameters;
    if (IsSet("--dry-run"))
      parameters.emplace("dry_run", "1");
    const auto body = Send({"POST",
                            RequestTarget({"v1", "changes"}, parameters),
                            settings::ToJson(change),
                            {}});
    if (!body) {
      if (exit_code_ == kExitNoAnswer)
        err_ << "the outcome is unknown; resend with --change-id="
             << change.change_id << " --base-revision=" << change.base_revision
             << "\n";
      return exit_code_;
    }
    const int exit = ReportResult(*body);
    if (exit == kExitOk)
      out_ << PrettyJson(*body) << "\n";
    return exit;
  }

  int Get() {
    std::map<std::string, std::string> parameters;
    if (HasValue("KIND"))
      parameters["kind"] = StringArgument("KIND");
    if (HasValue("NAME"))
      parameters["name"] = StringArgument("NAME");
    const auto file = FetchObjects(parameters);
    if (file)
      out_ << WriteObjectFile(*file);
    return exit_code_;
  }

  int Diff() {
    const auto file = ReadFile();
    if (!file)
      return exit_code_;
    const auto current = FetchObjects({});
    if (!current)
      return exit_code_;
    for (const std::string& line : DiffObjects(current->objects, file->objects))
      out_ << line << "\n";
    return kExitOk;
  }

  int IssueKey() {
    const std::string key = RandomHex(kKeyBytes);
    const auto body = Send(
        {"POST",
         "/v1/keys",
         json::serialize(json::value{{"change_id", RandomHex(kChangeIdBytes)},
                                     {"customer", StringArgument("CUSTOMER")},
                                     {"name", StringArgument("NAME")},
                                     {"digest", ToHex(Sha256(key))}}),
         {}});
    if (!body) {
      if (exit_code_ == kExitNoAnswer)
        err_ << "the outcome is unknown; withdraw the key before issuing it "
                "again\n";
      return exit_code_;
    }
    const int exit = ReportResult(*body);
    // A key that is in the log, but not yet in force on all instances, is
    // issued as well, and so is printed.
    if (exit == kExitOk || MayHaveTakenEffect(*body))
      out_ << key << "\n";
    return exit;
  }

  static bool MayHaveTakenEffect(const json::object& body) {
    const json::value* outcome = nullptr;
    if (const json::value* result = body.if_contains("result"))
      outcome = result->is_object()
                    ? result->get_object().if_contains("outcome")
                    : nullptr;
    return outcome && outcome->is_string() &&
           outcome->get_string() != ToString(Outcome::kNotRun);
  }

  int WithdrawKey() {
    return CallAndPrint(
        {"DELETE",
         RequestTarget({"v1", "keys", StringArgument("NAME")},
                       {{"change_id", RandomHex(kChangeIdBytes)}}),
         "",
         {}});
  }

  int SetMembers() {
    json::array members;
    for (const std::string& member : arguments_.at("MEMBER").asStringList())
      members.emplace_back(member);
    return CallAndPrint(
        {"POST", "/v1/members",
         json::serialize(json::value{{"members", std::move(members)}})});
  }

  std::map<std::string, docopt::value> arguments_;
  std::ostream& out_;
  std::ostream& err_;
  std::optional<OperatorClient> client_;
  int exit_code_ = kExitOk;
};

}  // namespace

int RunCommand(const std::vector<std::string>& arguments,
               std::ostream& out,
               std::ostream& err) {
  try {
    return CommandRunner(docopt::docopt_parse(kUsage, arguments, true, true),
                         out, err)
        .Run();
  } catch (const docopt::DocoptExitHelp&) {
    out << kUsage;
    return kExitOk;
  } catch (const docopt::DocoptExitVersion&) {
    out << kVersion << "\n";
    return kExitOk;
  } catch (const docopt::DocoptArgumentError&) {
    err << kUsage;
    return kExitUsage;
  } catch (const std::exception& error) {
    err << "goldcrestctl: " << error.what() << "\n";
    return kExitUsage;
  }
}

}  // namespace goldcrest::ctl
