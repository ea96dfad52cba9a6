#include <catch2/catch.hpp>

#include <map>

#include "goldcrest/coordinator/group_coordinator.h"

namespace goldcrest::coordinator {
namespace {

// Tick of the first answers, chosen so that the proposal times out in a tick
// that also sends probes.
constexpr int kFirstAnsweredTick = 9;

}  // namespace

TEST_CASE("Members are probed after a proposal was given up", "[coordinator]") {
  // Guards against losing the effects of the tick in which a proposal times
  // out: its probes would never be sent but count as in flight forever.
  Time now = TimeFromMicros(1'000'000);
  std::uint64_t last_call = 0;
  CoordinatorHooks hooks;
  hooks.next_call_id = [&] { return ++last_call; };
  hooks.endpoint_leaving = [](const messages::EndpointInfo&) { return false; };
  messages::GroupState state;
  state.group = "bookings";
  state.coordinator = "e1";
  state.coordinator_epoch = 1;
  GroupCoordinator coordinator(CoordinatorOptions(), hooks, state, kNever, now);
  std::vector<messages::EndpointInfo> endpoints(3);
  for (std::size_t i = 0; i < endpoints.size(); ++i)
    endpoints[i].endpoint = "bookings-" + std::to_string(i + 1);
  coordinator.SetEndpoints(endpoints, now);

  std::map<std::string, Time> last_probe;
  std::size_t proposals = 0;
  std::vector<EndpointCall> calls;
  for (int tick = 0; tick < 200; ++tick) {
    const CoordinatorEffects effects = coordinator.Tick(now);
    proposals += effects.proposals.size();  // control never answers
    calls.insert(calls.end(), effects.calls.begin(), effects.calls.end());
    for (const EndpointCall& call : effects.calls)
      last_probe[call.endpoint] = now;
    for (const EndpointCall& call : calls) {
      if (tick < kFirstAnsweredTick)
        break;
      CallResult result;
      result.delivery = Delivery::kAnswered;
      result.answer.call_id = call.id;
      result.answer.endpoint = call.endpoint;
      coordinator.OnCallResult(call.id, result, now);
    }
    if (tick >= kFirstAnsweredTick)
      calls.clear();
    now += std::chrono::milliseconds(10);
  }
  CHECK(proposals >= 3);
  for (const auto& [endpoint, last] : last_probe) {
    CAPTURE(endpoint);
    CHECK(now - last <= std::chrono::milliseconds(200));
  }
}

}  // namespace goldcrest::coordinator
