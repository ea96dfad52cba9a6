#include <sysexits.h>

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "fleet.h"
#include "wait.h"

namespace goldcrest::process_tests {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBound{15'000};
constexpr milliseconds kExitBound{5'000};
// Several election timeouts, of 0.8 s at most.
constexpr milliseconds kNoLeaderTime{3'000};

std::string Objects(const Fleet& fleet, const std::string& instance) {
  const Reply reply = fleet.Operator(instance, "GET", "/v1/objects");
  return reply.Done() ? boost::json::serialize(reply.body) : "";
}

Reply AddCustomer(const Fleet& fleet,
                  const std::string& instance,
                  const std::string& name) {
  return fleet.Operator(
      instance, "POST", "/v1/changes",
      {{"change_id", "add-" + name},
       {"base_revision", fleet.Operator(instance, "GET", "/v1/objects")
                             .Number("revision")
                             .value()},
       {"author", "committee"},
       {"objects", {{{"kind", "customer"}, {"name", name}}}}});
}

void Overwrite(const std::filesystem::path& path, std::uintmax_t offset) {
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(static_cast<std::streamoff>(offset));
  const char byte = static_cast<char>(file.get() ^ 0x55);
  file.seekp(static_cast<std::streamoff>(offset));
  file.put(byte);
}

}  // namespace

// Fails when something is answered before it is durable.
TEST_CASE("Configuration survives the death of all control members",
          "[process_tests][guarantee]") {
  Fleet fleet;
  REQUIRE(AddCustomer(fleet, "e4", "added-late").Done());
  for (const char* member : {"e1", "e2", "e3"})
    fleet.Daemon(member).Kill();
  for (const char* member : {"e1", "e2", "e3"})
    fleet.StartDaemon(member);
  for (const char* member : {"e1", "e2", "e3"})
    CHECK(Eventually(kBound, [&] {
      return Objects(fleet, member).find("added-late") != std::string::npos;
    }));
  fleet.AwaitHealthy(fleet.Instances());
  Caller caller(Fleet::kHallKey);
  CHECK(Eventually(kBound, [&] {
    return caller.Write(fleet.CallerPort("e1"), "set van booked").Done();
  }));
}

// Fails when a member without its history votes: it could elect one that lacks
// a change it had itself confirmed.
TEST_CASE("A member that lost its data folder does not vote",
          "[process_tests][guarantee]") {
  Fleet fleet;
  const std::string leader = fleet.Leader();
  std::vector<std::string> followers;
  for (const char* member : {"e1", "e2", "e3"}) {
    if (member != leader)
      followers.emplace_back(member);
  }
  const std::string& behind = followers.front();
  const std::string& lost = followers.back();
  fleet.Daemon(behind).Signal(SIGSTOP);
  REQUIRE(AddCustomer(fleet, leader, "added-late").Done());
  fleet.Daemon(lost).Kill();
  fleet.Daemon(leader).Kill();
  std::filesystem::remove_all(fleet.DataFolder(lost));
  fleet.Daemon(behind).Signal(SIGCONT);
  fleet.StartDaemon(lost);
  CHECK_FALSE(
      Eventually(kNoLeaderTime, [&] { return !fleet.Leader().empty(); }));

  fleet.StartDaemon(leader);
  fleet.AwaitHealthy(fleet.Instances());
  for (const std::string& instance : fleet.Instances()) {
    INFO(instance);
    CHECK(Objects(fleet, instance).find("added-late") != std::string::npos);
  }
  // Admitted again, it makes a majority with one other.
  fleet.Daemon(behind).Kill();
  CHECK(Eventually(
      kBound, [&] { return AddCustomer(fleet, "e4", "added-last").Done(); }));
}

// Fails when an incomplete last record stops a member, or when damage before it
// is taken for one.
TEST_CASE("A log cut at its end starts and one damaged before it does not",
          "[process_tests][guarantee]") {
  Fleet fleet;
  const auto log = fleet.DataFolder("e3") / "log";
  fleet.Daemon("e3").Kill();
  std::filesystem::resize_file(log, std::filesystem::file_size(log) - 3);
  fleet.StartDaemon("e3");
  fleet.AwaitHealthy({"e3"});
  CHECK(Eventually(kBound, [&] {
    return Objects(fleet, "e3").find("k-hall") != std::string::npos;
  }));

  fleet.Daemon("e3").Kill();
  Overwrite(log, std::filesystem::file_size(log) / 2);
  fleet.StartDaemon("e3");
  const auto status = fleet.Daemon("e3").WaitForExit(kExitBound);
  REQUIRE(status.has_value());
  CHECK(*status == EX_IOERR);
  CHECK(fleet.LogOf("e3").find("error 700 log_damaged") != std::string::npos);
  Caller caller(Fleet::kHallKey);
  CHECK(Eventually(kBound, [&] {
    return caller.Write(fleet.CallerPort("e4"), "set van booked").Done();
  }));
}

}  // namespace goldcrest::process_tests
