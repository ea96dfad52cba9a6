#include "standin_server.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <boost/json/serialize.hpp>

#include "standin_json.h"

namespace goldcrest::testing {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kTimeout{5000};

bool WaitUntil(const std::function<bool()>& condition) {
  const auto deadline = steady_clock::now() + kTimeout;
  while (!condition()) {
    if (steady_clock::now() > deadline)
      return false;
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

std::unique_ptr<StandinServer> StartServer(const std::string& name) {
  StandinOptions options;
  options.endpoint = name;
  options.group = "bookings";
  return std::make_unique<StandinServer>(options);
}

//! Client with one connection to a server.
class TestClient {
 public:
  explicit TestClient(const StandinServer& server)
      : client_("127.0.0.1", server.port()) {}

  json::object Post(const std::string& target, const json::value& body) {
    return Send({"POST", target, json::serialize(body), {}});
  }
  json::object Get(const std::string& target) { return Send({"GET", target}); }

  json::object Execute(std::int64_t term,
                       const std::string& kind,
                       const std::string& statement,
                       const std::string& request_id = "",
                       const std::string& transaction = "",
                       std::int64_t timeout_ms = 1000) {
    return Post("/v1/statement", {{"call_id", ++call_id_},
                                  {"term", term},
                                  {"kind", kind},
                                  {"statement", statement},
                                  {"request_id", request_id},
                                  {"transaction", transaction},
                                  {"timeout_ms", timeout_ms}});
  }
  std::string Read(std::int64_t term, const std::string& key) {
    return TextAt(Execute(term, "read", "get " + key), "value");
  }
  bool Promote(std::int64_t term) {
    const auto status = Post("/v1/promote", {{"term", term}});
    return TextAt(status, "role") == "primary" &&
           NumberAt(status, "term") == term;
  }
  void Follow(std::int64_t term, const StandinServer& primary) {
    Post("/v1/follow", {{"term", term},
                        {"primary", "new"},
                        {"host", "127.0.0.1"},
                        {"port", primary.port()}});
  }
  std::int64_t GetPosition() { return NumberAt(Get("/v1/status"), "position"); }
  void SetFault(const std::string& kind, std::int64_t value) {
    Post("/v1/test/fault", {{"kind", kind}, {"value", value}});
  }
  void Close() { client_.Close(); }

 private:
  json::object Send(const settings::HttpCall& call) {
    const auto response = client_.Call(call, kTimeout);
    return response ? ParseObject(response->body).value() : json::object();
  }

  settings::HttpClient client_;
  std::int64_t call_id_ = 0;
};

void CheckRefused(const json::object& response, const std::string& reason) {
  CHECK(TextAt(response, "status") == "not_run");
  CHECK(TextAt(response, "reason") == reason);
}

}  // namespace

// Guards against storing results by request id outside the replicated log,
// where a new primary would run a resent write again.
TEST_CASE("A write resent after a promotion gets its first result",
          "[testing]") {
  const auto old_primary = StartServer("db-1");
  const auto new_primary = StartServer("db-2");
  TestClient first(*old_primary);
  TestClient second(*new_primary);
  REQUIRE(first.Promote(1));
  second.Follow(1, *old_primary);
  const auto written = first.Execute(1, "write", "incr pumps", "r-1");
  REQUIRE(TextAt(written, "value") == "1");
  REQUIRE(WaitUntil(
      [&] { return second.GetPosition() == NumberAt(written, "position"); }));
  REQUIRE(second.Promote(2));
  const auto resent = second.Execute(2, "write", "incr pumps", "r-1");
  CHECK(TextAt(resent, "status") == "done");
  CHECK(TextAt(resent, "value") == "1");
  CHECK(second.Read(2, "pumps") == "1");
  CheckRefused(second.Execute(2, "write", "incr vans", "r-1"),
               "request_id_reused");
  CHECK(json::serialize(second.Get("/v1/outcome?request_id=r%2D1")) ==
        R"({"known":true,"value":"1","position":2})");
}

// Guards against a replaced primary that still runs statements of its old term.
TEST_CASE("A statement of a lower term or at a replica does not run",
          "[testing]") {
  const auto server = StartServer("db-1");
  const auto other = StartServer("db-2");
  TestClient client(*server);
  REQUIRE(client.Promote(2));
  CheckRefused(client.Execute(1, "write", "set k v"), "stale_term");
  CheckRefused(client.Execute(3, "write", "set k v"), "unknown_term");
  client.Follow(3, *other);
  CheckRefused(client.Execute(2, "write", "set k v"), "stale_term");
  CheckRefused(client.Execute(3, "write", "set k v"), "not_primary");
  CHECK_FALSE(client.Promote(3));
}

// Guards against a transaction that keeps its slot, its key locks or its writes
// after its connection has closed.
TEST_CASE("A closed connection rolls its transaction back", "[testing]") {
  const auto server = StartServer("db-1");
  TestClient owner(*server);
  TestClient other(*server);
  REQUIRE(owner.Promote(1));
  const auto begun = owner.Execute(1, "begin", "");
  const std::string transaction = TextAt(begun, "transaction");
  owner.Execute(1, "write", "set facade booked", "", transaction);
  CHECK(other.Read(1, "facade").empty());
  CheckRefused(other.Execute(1, "commit", "", "", transaction),
               "unknown_transaction");
  owner.Close();
  REQUIRE(WaitUntil(
      [&] { return NumberAt(other.Get("/v1/status"), "transactions") == 0; }));
  CheckRefused(owner.Execute(1, "commit", "", "", transaction),
               "unknown_transaction");
  const auto written = other.Execute(1, "write", "append facade free");
  CHECK(TextAt(written, "value") == "free");
}

// Guards against a replica that reports or serves entries which the new primary
// does not have.
TEST_CASE("A member that follows a new primary drops its divergent tail",
          "[testing]") {
  const auto old_primary = StartServer("db-1");
  const auto new_primary = StartServer("db-2");
  TestClient first(*old_primary);
  TestClient second(*new_primary);
  REQUIRE(first.Promote(1));
  second.Follow(1, *old_primary);
  first.Execute(1, "write", "set shared yes");
  REQUIRE(WaitUntil([&] { return second.GetPosition() == 2; }));
  second.SetFault("cut_replication", 1);
  for (int i = 0; i < 5; ++i)
    first.Execute(1, "write", "set lost yes", "lost");
  first.Execute(1, "write", "set lost again");
  REQUIRE(second.Promote(2));
  first.Follow(2, *new_primary);
  // The log is not yet compared with the new primary's, so position is 0.
  CHECK(first.GetPosition() == 0);
  CheckRefused(first.Execute(2, "read", "get lost"), "not_synced");
  second.SetFault("cut_replication", 0);
  second.Execute(2, "write", "set kept yes");
  REQUIRE(WaitUntil([&] { return first.GetPosition() == 4; }));
  CHECK(first.Read(2, "lost").empty());
  CHECK(first.Read(2, "shared") == "yes");
  CHECK(first.Read(2, "kept") == "yes");
  CHECK(TextAt(first.Get("/v1/outcome?request_id=lost"), "value").empty());
}

// Guards against limits and faults without effect, on which tests of the proxy
// rely.
TEST_CASE("Limits and faults are seen by the caller", "[testing]") {
  StandinOptions options;
  options.slots = 1;
  options.connections = 2;
  const StandinServer server(options);
  TestClient owner(server);
  TestClient other(server);
  TestClient third(server);
  REQUIRE(owner.Promote(1));
  owner.Execute(1, "begin", "");
  CheckRefused(other.Execute(1, "read", "get k", "", "", 1), "no_slot");
  CheckRefused(third.Execute(1, "read", "get k"), "too_many_connections");
  owner.Close();
  third.SetFault("drop_answer", 1);
  CHECK(other.Execute(1, "write", "set k v", "r-1").empty());
  CHECK(TextAt(third.Get("/v1/outcome?request_id=r-1"), "value") == "v");
  third.SetFault("cross_answers", 1);
  CHECK(NumberAt(other.Execute(1, "read", "get k"), "call_id") != 3);
  CHECK(NumberAt(other.Execute(1, "read", "get k"), "call_id") == 4);
  third.SetFault("freeze_ms", 50);
  const auto frozen = steady_clock::now();
  other.Read(1, "k");
  CHECK(steady_clock::now() - frozen > milliseconds(40));
}

}  // namespace goldcrest::testing
