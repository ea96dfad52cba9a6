#include "goldcrest/entry/control_client.h"

#include <catch2/catch.hpp>

namespace goldcrest::entry {

using std::chrono::milliseconds;

TEST_CASE("Leases start when the answered report was sent",
          "[entry][guarantee]") {
  // Guards against a lease that lasts longer here than at control, by the
  // transit time of the report and its answer.
  ControlView view;
  quota::Holder holder;
  ControlClientOptions options;
  options.control_members = {"e1"};
  ControlClient client(&view, &holder, options);
  const Time sent = Time(std::chrono::seconds(1));
  const auto report = client.MaybeReport({}, false, false, sent);
  REQUIRE(report);

  messages::ControlUpdate update;
  update.leader_term = 2;
  update.leader = "e1";
  update.report_sequence = report->second.sequence;
  update.report_sent_micros = report->second.sent_micros;
  update.control_lease_ms = 3000;
  messages::CoordinatorLease lease;
  lease.lease_ms = 1200;
  update.leases = {lease};
  const auto result = client.OnUpdate(update, sent + milliseconds(900));
  CHECK(result.control_lease_until == sent + milliseconds(3000));
  REQUIRE(result.leases.size() == 1);
  CHECK(result.leases.front().second == sent + milliseconds(1200));

  SECTION("an answer of an earlier leader grants no lease") {
    update.leader_term = 1;
    ++update.report_sequence;
    CHECK_FALSE(client.OnUpdate(update, sent + milliseconds(950)).accepted);
  }
  SECTION("an update that answers no report grants no lease") {
    update.report_sequence = 0;
    const auto pushed = client.OnUpdate(update, sent + milliseconds(950));
    CHECK(!pushed.control_lease_until);
    CHECK(pushed.leases.empty());
  }
}

}  // namespace goldcrest::entry
