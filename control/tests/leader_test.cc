#include "goldcrest/control/leader.h"

#include <catch2/catch.hpp>

namespace goldcrest::control {
namespace {

using std::chrono::milliseconds;

// Lease durations on the leader's side: extended by 10% for clock drift.
constexpr Duration kCoordinatorLeaseWithDrift = milliseconds(1320);
constexpr Duration kControlLeaseWithDrift = milliseconds(3300);

// A leader with a state in which e1 coordinates the group "bookings".
class LeaderFixture {
 public:
  LeaderFixture() {
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
    CHECK(AssignCoordinator(1).code == ResultCode::kOk);
    ReplaceLeader();
  }

  void ReplaceLeader() {
    leader_ = std::make_unique<Leader>(
        &state_, "e9", ++term_, LeaderOptions(),
        [] { return std::string(32, 's'); }, now);
  }
  ApplyResult AssignCoordinator(std::int64_t epoch) {
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
    command.__set_set_primary(MakeSetPrimary(epoch, term));
    return state_.Apply(command);
  }
  // Requests a change of primary; kOk if the leader proposes it.
  ResultCode RequestPromotion(const std::string& from) {
    messages::ProposeRequest request;
    request.command.__set_set_primary(MakeSetPrimary(1, 1));
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
    for (const auto& [to, message] : effects.messages) {
      if (to == name && message.update.report_sequence == sequence_)
        return message.update;
    }
    return messages::ControlUpdate();
  }
  // True if the leader proposes a coordinator at `now`.
  bool AssignsCoordinator() {
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
  static messages::SetPrimary MakeSetPrimary(std::int64_t epoch,
                                             std::int64_t term) {
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

TEST_CASE("A group gets no second coordinator while the first may hold a lease",
          "[control][guarantee]") {
  LeaderFixture fixture;

  SECTION("the lease was granted by this leader") {
    fixture.now += milliseconds(500);
    CHECK(fixture.Report("e1").leases.size() == 1);
    fixture.now += kCoordinatorLeaseWithDrift - milliseconds(1);
    fixture.Report("e2");
    CHECK_FALSE(fixture.AssignsCoordinator());
    CHECK(fixture.RequestPromotion("e1") == ResultCode::kOk);
    fixture.now += milliseconds(1);
    CHECK(fixture.RequestPromotion("e1") == ResultCode::kCoordinatorMoved);
    REQUIRE(fixture.AssignsCoordinator());
    // The log may already contain the assignment of the successor.
    CHECK(fixture.Report("e1").leases.empty());
  }
  SECTION("the lease was granted by an earlier leader") {
    fixture.Report("e1");
    fixture.ReplaceLeader();
    fixture.now += kCoordinatorLeaseWithDrift - milliseconds(1);
    fixture.Report("e2");
    CHECK_FALSE(fixture.AssignsCoordinator());
    fixture.now += milliseconds(1);
    CHECK(fixture.AssignsCoordinator());
  }
  SECTION("a draining instance is not assigned") {
    fixture.now += kCoordinatorLeaseWithDrift;
    fixture.Report("e2", 1, true);
    CHECK_FALSE(fixture.AssignsCoordinator());
  }
  SECTION("an instance that is not the coordinator cannot change the primary") {
    CHECK(fixture.RequestPromotion("e2") == ResultCode::kCoordinatorMoved);
  }
}

TEST_CASE(
    "Assignments and promotions with an outdated epoch or term are refused",
    "[control][guarantee]") {
  // Guards against a proposal of an earlier leader that is committed late,
  // after newer decisions.
  LeaderFixture fixture;
  CHECK(fixture.AssignCoordinator(1).code == ResultCode::kCoordinatorMoved);
  CHECK(fixture.AssignCoordinator(2).code == ResultCode::kOk);
  CHECK(fixture.SetPrimary(1, 1).code == ResultCode::kCoordinatorMoved);
  CHECK(fixture.SetPrimary(2, 1).code == ResultCode::kOk);
  CHECK(fixture.SetPrimary(2, 1).code == ResultCode::kCoordinatorMoved);
}

TEST_CASE("A change waits for a silent instance until its lease has expired",
          "[control][guarantee]") {
  // Guards against reporting a change as in force while an instance still
  // serves under a lease from an earlier leader or of an earlier process.
  LeaderFixture fixture;
  const std::vector<std::string> both_instances = {"e1", "e2"};
  fixture.now += kControlLeaseWithDrift;
  CHECK(fixture.leader().InstancesMissingRevision(1, fixture.now) ==
        both_instances);
  fixture.now += milliseconds(1);
  CHECK(fixture.leader().InstancesMissingRevision(1, fixture.now).empty());
  fixture.Report("e1");
  fixture.now += kControlLeaseWithDrift;
  CHECK(fixture.leader().InstancesMissingRevision(1, fixture.now) ==
        std::vector<std::string>{"e1"});

  SECTION("a process with an unregistered incarnation is granted no lease") {
    CHECK(fixture.Report("e2", 2).control_lease_ms == 0);
    CHECK(fixture.Report("e2").control_lease_ms == 0);
    CHECK(fixture.Report("e1").control_lease_ms > 0);
  }
}

}  // namespace goldcrest::control
