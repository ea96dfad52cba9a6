#include "commands.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include "goldcrest/testing/http_listener.h"
#include "goldcrest/types/digest.h"

namespace goldcrest::ctl {
namespace {

namespace json = boost::json;
using testing::HttpListener;
using testing::HttpReply;
using testing::HttpRequest;

const std::string kDataFolder = GOLDCREST_TEST_DATA "/data/";
constexpr const char* kOkBody =
    R"({"result":{"code":0,"name":"ok","outcome":"done","message":""}})";

//! A daemon's operator interface that answers with a given function.
class FakeDaemon {
 public:
  using Answer = std::function<HttpReply(const HttpRequest&)>;

  explicit FakeDaemon(Answer answer)
      : answer_(std::move(answer)),
        listener_({"127.0.0.1", 0, 10, {}, std::chrono::seconds(5)},
                  {[](std::uint64_t) {},
                   [this](const HttpRequest& request) {
                     const std::unique_lock lock(mutex_);
                     requests_.push_back(request);
                     return answer_(request);
                   },
                   [](std::uint64_t) {}}) {
    token_file_ = std::filesystem::temp_directory_path() /
                  ("goldcrestctl-" + std::to_string(getpid()) + ".token");
    std::ofstream(token_file_) << "operator\n";
  }
  ~FakeDaemon() { std::filesystem::remove(token_file_); }

  int Run(std::vector<std::string> arguments) {
    arguments.push_back("--server=" + address());
    return RunWithoutServer(std::move(arguments));
  }
  int RunWithoutServer(std::vector<std::string> arguments) {
    out_.str("");
    err_.str("");
    arguments.push_back("--token-file=" + token_file_.string());
    return RunCommand(arguments, out_, err_);
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(listener_.port());
  }
  std::string out() const { return out_.str(); }
  std::string err() const { return err_.str(); }
  const HttpRequest& request(std::size_t i) const { return requests_.at(i); }
  std::size_t request_count() const { return requests_.size(); }

 private:
  std::mutex mutex_;
  Answer answer_;
  std::vector<HttpRequest> requests_;
  std::filesystem::path token_file_;
  std::ostringstream out_;
  std::ostringstream err_;
  HttpListener listener_;
};

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

// Guards against making a change twice after its answer was lost: the server
// recognizes the repeat by its change id.
TEST_CASE("A change without an answer is resent with the same change id",
          "[ctl]") {
  int drops = 2;
  FakeDaemon daemon([&](const HttpRequest&) {
    return HttpReply{.body = kOkBody, .drop = drops-- > 0};
  });
  CHECK(daemon.Run({"apply", kDataFolder + "objects.toml"}) == kExitOk);
  REQUIRE(daemon.request_count() == 3);
  CHECK(daemon.request(0).target == "/v1/changes");
  CHECK(daemon.request(0).body == daemon.request(2).body);
  const auto body = json::parse(daemon.request(2).body).as_object();
  CHECK(body.at("base_revision") == 41);
  CHECK(body.at("change_id").as_string().size() == 32);

  drops = 99;
  CHECK(daemon.Run({"apply", kDataFolder + "objects.toml",
                    "--change-id=c-1"}) == kExitNoAnswer);
  CHECK(daemon.err() ==
        "no server answers\nthe outcome is unknown; resend with "
        "--change-id=c-1 --base-revision=41\n");
}

// Guards against sending the text of a key to the server.
TEST_CASE("Only the digest of an issued key is sent", "[ctl]") {
  FakeDaemon daemon(
      [](const HttpRequest&) { return HttpReply{.body = kOkBody}; });
  CHECK(daemon.Run({"keys", "issue", "brasserie", "van-1"}) == kExitOk);
  const std::string key = daemon.out().substr(0, daemon.out().find('\n'));
  REQUIRE(key.size() == 64);
  const HttpRequest& request = daemon.request(0);
  CHECK(request.body.find(key) == std::string::npos);
  const auto body = json::parse(request.body).as_object();
  CHECK(body.at("digest").as_string() == ToHex(Sha256(key)));
}

TEST_CASE("A refusal is printed and gives exit code 1", "[ctl]") {
  FakeDaemon daemon([](const HttpRequest&) {
    return HttpReply{409, R"({"result":{"code":600}})"};
  });
  CHECK(daemon.Run({"keys", "withdraw", "van 1/2"}) == kExitRefused);
  CHECK(daemon.out().empty());
  CHECK(daemon.err() == "refused: {\"code\":600}\n");
  CHECK(
      daemon.request(0).target.starts_with("/v1/keys/van%201%2F2?change_id="));
  CHECK(daemon.Run({"no-such-command"}) == kExitUsage);
}

// Guards against output of "get" that can't be edited and applied.
TEST_CASE("The output of get is an object file without differences", "[ctl]") {
  FakeDaemon daemon([](const HttpRequest&) {
    return HttpReply{.body = ReadText(kDataFolder + "objects.json")};
  });
  REQUIRE(daemon.Run({"get"}) == kExitOk);
  CHECK(daemon.out() == ReadText(kDataFolder + "objects.approved.toml"));
  REQUIRE(daemon.Run({"diff", kDataFolder + "objects.approved.toml"}) ==
          kExitOk);
  CHECK(daemon.out().empty());
  REQUIRE(daemon.Run({"diff", kDataFolder + "objects.toml"}) == kExitOk);
  CHECK(daemon.out() == ReadText(kDataFolder + "diff.approved.txt"));
}

TEST_CASE("All errors of an object file are listed with their lines", "[ctl]") {
  FakeDaemon daemon([](const HttpRequest&) { return HttpReply{}; });
  CHECK(daemon.Run({"apply", kDataFolder + "faulty.toml"}) == kExitRefused);
  std::string text = daemon.err();
  for (std::size_t at = 0; (at = text.find(kDataFolder)) != std::string::npos;)
    text.erase(at, kDataFolder.size());
  CHECK(text == ReadText(kDataFolder + "faulty.approved.txt"));
  CHECK(daemon.request_count() == 0);
}

TEST_CASE("A file is checked against what is in force at a server", "[ctl]") {
  const std::string folder = kDataFolder + "check/";
  FakeDaemon daemon([&](const HttpRequest& request) {
    if (request.target == "/goldcrestcross/config/get")
      return HttpReply{.body = ReadText(folder + "before.json")};
    return HttpReply{.body = ReadText(kDataFolder + "objects.json")};
  });
  const std::string against = "--against=" + daemon.address();
  CHECK(daemon.RunWithoutServer({"check", folder + "suspect.json", against}) ==
        1);
  CHECK(daemon.out() == ReadText(folder + "suspect.json.approved.txt"));
  // The file is based on revision 41, the server has 42.
  CHECK(daemon.RunWithoutServer(
            {"check", kDataFolder + "objects.toml", against}) == 2);
  CHECK(daemon.out().find("error: based on revision 41") != std::string::npos);
  CHECK(daemon.request(1).target == "/v1/objects");
  CHECK(daemon.out().find("change: ~ quota gold: rate 5 -> 7") !=
        std::string::npos);
}

}  // namespace goldcrest::ctl
