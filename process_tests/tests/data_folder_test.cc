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

constexpr milliseconds kTimeout{15'000};
constexpr milliseconds kExitTimeout{5'000};
// Several election timeouts, which are 0.8 s at most.
constexpr milliseconds kNoLeaderPeriod{3'000};

std::string FetchObjects(const Fleet& fleet, const std::string& instance) {
  const Reply reply = fleet.SendOperatorRequest(instance, "GET", "/v1/objects");
  return reply.Succeeded() ? boost::json::serialize(reply.body) : "";
}

Reply AddCustomer(const Fleet& fleet,
                  const std::string& instance,
                  const std::string& name) {
  return fleet.SendOperatorRequest(
      instance, "POST", "/v1/changes",
      {{"change_id", "add-" + name},
       {"base_revision",
        fleet.SendOperatorRequest(instance, "GET", "/v1/objects")
            .Number("revision")
            .value()},
       {"author", "committee"},
       {"objects", {{{"kind", "customer"}, {"name", name}}}}});
}

//! Flips bits of the byte at `offset`.
void CorruptByte(const std::filesystem::path& path, std::uintmax_t offset) {
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(static_cast<std::streamoff>(offset));
  const char byte = static_cast<char>(file.get() ^ 0x55);
  file.seekp(static_cast<std::streamoff>(offset));
  file.put(byte);
}

}  // namespace

// Guards against changes that are acknowledged before they are durable.
TEST_CASE("Configuration survives a kill of all control members",
          "[process_tests][guarantee]") {
  Fleet fleet;
  REQUIRE(AddCustomer(fleet, "e4", "added-late").Succeeded());
  for (const char* member : {"e1", "e2", "e3"})
    fleet.Daemon(member).Kill();
  for (const char* member : {"e1", "e2", "e3"})
    fleet.StartDaemon(member);
  for (const char* member : {"e1", "e2", "e3"})
    CHECK(WaitUntil(kTimeout, [&] {
      return FetchObjects(fleet, member).find("added-late") !=
             std::string::npos;
    }));
  fleet.AwaitHealthy(fleet.Instances());
  Caller caller(Fleet::kHallKey);
  CHECK(WaitUntil(kTimeout, [&] {
    return caller.Write(fleet.CallerPort("e1"), "set van booked").Succeeded();
  }));
}

// Guards against a member that votes after losing its log: its vote could elect
// a leader that lacks a change which the member had confirmed before the loss.
TEST_CASE("A member that lost its data folder does not vote",
          "[process_tests][guarantee]") {
  Fleet fleet;
  const std::string leader = fleet.Leader();
  std::vector<std::string> followers;
  for (const char* member : {"e1", "e2", "e3"}) {
    if (member != leader)
      followers.emplace_back(member);
  }
  const std::string& lagging_member = followers.front();
  const std::string& member_without_data = followers.back();
  fleet.Daemon(lagging_member).Signal(SIGSTOP);
  REQUIRE(AddCustomer(fleet, leader, "added-late").Succeeded());
  fleet.Daemon(member_without_data).Kill();
  fleet.Daemon(leader).Kill();
  std::filesystem::remove_all(fleet.DataFolder(member_without_data));
  fleet.Daemon(lagging_member).Signal(SIGCONT);
  fleet.StartDaemon(member_without_data);
  CHECK_FALSE(
      WaitUntil(kNoLeaderPeriod, [&] { return !fleet.Leader().empty(); }));

  fleet.StartDaemon(leader);
  fleet.AwaitHealthy(fleet.Instances());
  for (const std::string& instance : fleet.Instances()) {
    INFO(instance);
    CHECK(FetchObjects(fleet, instance).find("added-late") !=
          std::string::npos);
  }
  // Once readmitted, the member forms a majority with one other member.
  fleet.Daemon(lagging_member).Kill();
  CHECK(WaitUntil(kTimeout, [&] {
    return AddCustomer(fleet, "e4", "added-last").Succeeded();
  }));
}

// Guards against a member that doesn't start because the last record of its log
// is incomplete, and against damage before the last record that is taken for an
// incomplete record.
TEST_CASE("A member starts with a truncated log but not with a damaged one",
          "[process_tests][guarantee]") {
  Fleet fleet;
  const auto log = fleet.DataFolder("e3") / "log";
  fleet.Daemon("e3").Kill();
  std::filesystem::resize_file(log, std::filesystem::file_size(log) - 3);
  fleet.StartDaemon("e3");
  fleet.AwaitHealthy({"e3"});
  CHECK(WaitUntil(kTimeout, [&] {
    return FetchObjects(fleet, "e3").find("k-hall") != std::string::npos;
  }));

  fleet.Daemon("e3").Kill();
  CorruptByte(log, std::filesystem::file_size(log) / 2);
  fleet.StartDaemon("e3");
  const auto status = fleet.Daemon("e3").WaitForExit(kExitTimeout);
  REQUIRE(status.has_value());
  CHECK(*status == EX_IOERR);
  CHECK(fleet.ReadLog("e3").find("error 700 log_damaged") != std::string::npos);
  Caller caller(Fleet::kHallKey);
  CHECK(WaitUntil(kTimeout, [&] {
    return caller.Write(fleet.CallerPort("e4"), "set van booked").Succeeded();
  }));
}

}  // namespace goldcrest::process_tests
