#include "goldcrest/control/leader.h"

#include <catch2/catch.hpp>

namespace goldcrest::control {
namespace {

using std::chrono::milliseconds;

// A lease as control counts it: with 10% for clocks that run apart.
constexpr Duration kCoordinatorLease = milliseconds(1320);
constexpr Duration kControlLease = milliseconds(3300);

// A leader over a state in which e1 coordinates the group "bookings".
class Bench {
 public:
  Bench() {
    messages::Command endpoint;
    messages::EndpointInfo info;
    info.endpoint = "a";
    info.group = "bookings";
    endpoint.__set_register_endpoint(info);
    state_.Apply(endpoint);
    for (const char* name : {"e1", "e2"}) {
      messages::Command instance;
      instance.__set_register_instance(InfoOf(name));
      state_.Apply(instance);
    }
    CHECK(Assign(1).code == ResultCode::kOk);
    TakeOver();
  }

  void TakeOver() {
    leader_ = std::make_unique<Leader>(
        &state_, "e9", ++term_, LeaderOptions(),
        [] { return std::string(32, 's'); }, now);
  }
  ApplyResult Assign(std::int64_t epoch) {
    messages::Command command;
    messages::AssignCoordinator assign;
    assign.group = "bookings";
    assign.coordinator = "e1";
    assign.epoch = epoch;
    command.__set_assign_coordinator(assign);
    return state_.Apply(command);
  }
  ApplyResult SetPrimary(std::int64_t epoch, std::int64_t term) {
    messages::Command command;
    command.__set_set_primary(Primary(epoch, term));
    return state_.Apply(command);
  }
  ResultCode Ask(const std::string& from) {
    messages::ProposeRequest request;
    request.command.__set_set_primary(Primary(1, 1));
    const LeaderEffects effects = leader_->OnPropose(from, request, 0, now);
    return effects.proposals.empty() ? ResultCode::kCoordinatorMoved
                                     : ResultCode::kOk;
  }
  messages::ControlUpdate Report(const std::string& name,
                                 std::int64_t incarnation = 1,
                                 bool draining = false) {
    messages::EntryReport report;
    report.instance = InfoOf(name);
    report.instance.incarnation = incarnation;
    report.sequence = ++sequence_;
    report.draining = draining;
    report.applied_revision = state_.configuration().Revision();
    const LeaderEffects effects = leader_->OnReport(report, now);
    return effects.messages.empty() ? messages::ControlUpdate()
                                    : effects.messages.front().second.update;
  }
  // True when the leader logs another coordinator at `now`.
  bool Assigns() {
    for (const Proposal& proposal : leader_->Tick(0, now).proposals) {
      if (proposal.command.__isset.assign_coordinator)
        return true;
    }
    return false;
  }
  const Leader& leader() const { return *leader_; }

  Time now = Time(std::chrono::seconds(100));

 private:
  static messages::InstanceInfo InfoOf(const std::string& name) {
    messages::InstanceInfo info;
    info.instance = name;
    info.incarnation = 1;
    return info;
  }
  static messages::SetPrimary Primary(std::int64_t epoch, std::int64_t term) {
    messages::SetPrimary set;
    set.group = "bookings";
    set.epoch = epoch;
    set.term = term;
    set.primary = "a";
    return set;
  }

  ControlState state_;
  std::int64_t term_ = 0;
  std::int64_t sequence_ = 0;
  std::unique_ptr<Leader> leader_;
};

}  // namespace

TEST_CASE("A group gets no second coordinator while the first may act",
          "[control][guarantee]") {
  Bench bench;

  SECTION("after a lease that this leader gave") {
    bench.now += milliseconds(500);
    CHECK(bench.Report("e1").leases.size() == 1);
    bench.now += kCoordinatorLease - milliseconds(1);
    bench.Report("e2");
    CHECK_FALSE(bench.Assigns());
    CHECK(bench.Ask("e1") == ResultCode::kOk);
    bench.now += milliseconds(1);
    CHECK(bench.Ask("e1") == ResultCode::kCoordinatorMoved);
    REQUIRE(bench.Assigns());
    // The successor may be in the log already.
    CHECK(bench.Report("e1").leases.empty());
  }
  SECTION("after a lease that an earlier leader gave") {
    bench.Report("e1");
    bench.TakeOver();
    bench.now += kCoordinatorLease - milliseconds(1);
    bench.Report("e2");
    CHECK_FALSE(bench.Assigns());
    bench.now += milliseconds(1);
    CHECK(bench.Assigns());
  }
  SECTION("and none that is about to stop") {
    bench.now += kCoordinatorLease;
    bench.Report("e2", 1, true);
    CHECK_FALSE(bench.Assigns());
  }
  SECTION("that asks for a promotion") {
    CHECK(bench.Ask("e2") == ResultCode::kCoordinatorMoved);
  }
}

TEST_CASE("Decisions that rest on an older epoch or term are refused",
          "[control][guarantee]") {
  // Guards against a proposal that waited in the log of an earlier leader.
  Bench bench;
  CHECK(bench.Assign(1).code == ResultCode::kCoordinatorMoved);
  CHECK(bench.Assign(2).code == ResultCode::kOk);
  CHECK(bench.SetPrimary(1, 1).code == ResultCode::kCoordinatorMoved);
  CHECK(bench.SetPrimary(2, 1).code == ResultCode::kOk);
  CHECK(bench.SetPrimary(2, 1).code == ResultCode::kCoordinatorMoved);
}

TEST_CASE("A silent instance is waited for while it may serve",
          "[control][guarantee]") {
  // Guards against a change that is called in force while an instance serves
  // under the lease of an earlier leader or process.
  Bench bench;
  const std::vector<std::string> both = {"e1", "e2"};
  bench.now += kControlLease;
  CHECK(bench.leader().MissingRevision(1, bench.now) == both);
  bench.now += milliseconds(1);
  CHECK(bench.leader().MissingRevision(1, bench.now).empty());
  bench.Report("e1");
  bench.now += kControlLease;
  CHECK(bench.leader().MissingRevision(1, bench.now) ==
        std::vector<std::string>{"e1"});

  SECTION("a process that is not registered gets no lease") {
    CHECK(bench.Report("e2", 2).control_lease_ms == 0);
    CHECK(bench.Report("e2").control_lease_ms == 0);
    CHECK(bench.Report("e1").control_lease_ms > 0);
  }
}

}  // namespace goldcrest::control
