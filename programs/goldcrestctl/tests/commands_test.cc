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

const std::string kData = GOLDCREST_TEST_DATA "/data/";
constexpr const char* kOk =
    R"({"result":{"code":0,"name":"ok","outcome":"done","message":""}})";

//! The operator listener of a daemon, with scripted answers.
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
    out_.str("");
    err_.str("");
    arguments.push_back("--server=127.0.0.1:" +
                        std::to_string(listener_.port()));
    arguments.push_back("--token-file=" + token_file_.string());
    return RunCommand(arguments, out_, err_);
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

std::string Read(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

// Fails when a lost answer leads to a second change.
TEST_CASE("A change without an answer is resent with the same change id",
          "[ctl]") {
  int drops = 2;
  FakeDaemon daemon([&](const HttpRequest&) {
    return HttpReply{.body = kOk, .drop = drops-- > 0};
  });
  CHECK(daemon.Run({"apply", kData + "objects.toml"}) == kExitOk);
  REQUIRE(daemon.request_count() == 3);
  CHECK(daemon.request(0).target == "/v1/changes");
  CHECK(daemon.request(0).body == daemon.request(2).body);
  const auto body = json::parse(daemon.request(2).body).as_object();
  CHECK(body.at("base_revision") == 41);
  CHECK(body.at("change_id").as_string().size() == 32);

  drops = 99;
  CHECK(daemon.Run({"apply", kData + "objects.toml", "--change-id=c-1"}) ==
        kExitNoAnswer);
  CHECK(daemon.err() ==
        "no server answers\nthe outcome is unknown; resend with "
        "--change-id=c-1 --base-revision=41\n");
}

// Fails when the text of a key leaves the operator's machine.
TEST_CASE("Only the digest of an issued key is sent", "[ctl]") {
  FakeDaemon daemon([](const HttpRequest&) { return HttpReply{.body = kOk}; });
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

  std::ostringstream out;
  CHECK(RunCommand({"check", kData + "faulty.toml"}, out, out) == kExitRefused);
  CHECK(out.str().find("801 settings_unknown_key") != std::string::npos);
}

// Fails when what is read back can't be edited and applied.
TEST_CASE("The objects got are a file that differs in nothing", "[ctl]") {
  FakeDaemon daemon([](const HttpRequest&) {
    return HttpReply{.body = Read(kData + "objects.json")};
  });
  REQUIRE(daemon.Run({"get"}) == kExitOk);
  CHECK(daemon.out() == Read(kData + "objects.approved.toml"));
  REQUIRE(daemon.Run({"diff", kData + "objects.approved.toml"}) == kExitOk);
  CHECK(daemon.out().empty());
  REQUIRE(daemon.Run({"diff", kData + "objects.toml"}) == kExitOk);
  CHECK(daemon.out() == Read(kData + "diff.approved.txt"));
}

TEST_CASE("All faults of an object file are listed with their lines", "[ctl]") {
  FakeDaemon daemon([](const HttpRequest&) { return HttpReply{}; });
  CHECK(daemon.Run({"apply", kData + "faulty.toml"}) == kExitRefused);
  std::string text = daemon.err();
  for (std::size_t at = 0; (at = text.find(kData)) != std::string::npos;)
    text.erase(at, kData.size());
  CHECK(text == Read(kData + "faulty.approved.txt"));
  CHECK(daemon.request_count() == 0);
}

}  // namespace goldcrest::ctl
