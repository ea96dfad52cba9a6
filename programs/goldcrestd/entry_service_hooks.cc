// The hooks that connect the entry's parts to each other, to sockets and to
// metrics.

#include <cmath>
#include <memory>

#include "goldcrest/adapters/system_clock.h"
#include "goldcrest/platform/routing_document.h"
#include "programs/goldcrestd/entry_service.h"
#include "programs/goldcrestd/platform_peers.h"

namespace goldcrest {
namespace {

using adapters::SystemClock;
using statements::ConnectionId;
using statements::SessionId;

}  // namespace

statements::ProxyHooks EntryService::MakeHooks() {
  statements::ProxyHooks hooks;
  hooks.answer = [this](SessionId id, const statements::Answer& answer) {
    if (!callers_.Contains(id))
      return;
    if (callers_.SetStarted(id))
      callers_.Write(id, platform::EncodeAnswer(answer));
    else if (answer.outcome == statements::Outcome::kDone)
      callers_.Write(id, platform::EncodeReady());
    else
      callers_.Write(id, platform::EncodeRefusal(answer));
  };
  hooks.rows = [this](SessionId id, const std::vector<std::string>& rows) {
    callers_.Write(id, platform::EncodeRows(rows));
  };
  hooks.is_output_full = [this](SessionId id) {
    return callers_.IsOutputFull(id);
  };
  hooks.close_session = [this](SessionId id) {
    callers_.CloseAfterWrites(id);
    ContinueEndpoint(id);
  };
  hooks.send_to_relay = [this](const std::string& relay,
                               const messages::RelayRequest& request) {
    if (request.__isset.session)
      CountRelayed("handed_over");
    messages::PeerMessage message;
    message.__set_relay_request(request);
    relay_links_->Send(relay, message);
  };
  hooks.answer_relayed = [this](const std::string& entry,
                                const messages::RelayAnswer& answer) {
    if (answer.declined)
      CountRelayed("declined");
    else if (answer.ended)
      CountRelayed("run");
    messages::PeerMessage message;
    message.__set_relay_answer(answer);
    relay_links_->Send(entry, message);
  };
  hooks.has_unread_input = [this](SessionId id) {
    return callers_.HasUnreadInput(id);
  };
  hooks.open = [this](ConnectionId id,
                      const statements::ConnectionTarget& target) {
    OpenEndpointConnection(id, target);
  };
  hooks.send = [this](ConnectionId id,
                      const std::vector<statements::EndpointCommand>& list) {
    const auto it = endpoint_connections_.find(id);
    if (it == endpoint_connections_.end())
      return;
    std::string bytes;
    for (const statements::EndpointCommand& command : list) {
      bytes += platform::EncodeCommand(command);
      if (it->second.other_zone_statements != nullptr && !command.id.empty())
        it->second.other_zone_statements->Add();
    }
    if (it->second.other_zone_bytes != nullptr)
      it->second.other_zone_bytes->Add(bytes.size());
    it->second.socket->Write(bytes);
  };
  hooks.close = [this](ConnectionId id) {
    const auto it = endpoint_connections_.find(id);
    if (it == endpoint_connections_.end())
      return;
    it->second.socket->Close();
    endpoint_connections_.erase(it);
  };
  hooks.log_decision = [this](const statements::Decision& decision) {
    counters_
        .GetCounter("goldcrest_decisions_total", {{"event", decision.event}})
        .Add();
    log_.LogDecision(decision);
  };
  hooks.completed = [this](const routing::Route& route,
                           statements::Outcome outcome, Duration latency) {
    counters_
        .GetCounter(
            "goldcrest_operations_total",
            {{"group", route.group}, {"outcome", statements::NameOf(outcome)}})
        .Add();
    counters_
        .GetHistogram("goldcrest_operation_seconds", {{"group", route.group}})
        .Observe(latency);
  };
  hooks.rejected = [this](std::string_view cause, Duration retry_after) {
    counters_
        .GetCounter("goldcrest_rejections_total",
                    {{"cause", std::string(cause)}})
        .Add();
    counters_
        .GetHistogram("goldcrest_retry_after_seconds",
                      {{"cause", std::string(cause)}})
        .Observe(retry_after);
  };
  hooks.waited = [this](int priority, Duration wait) {
    counters_
        .GetHistogram("goldcrest_queue_wait_seconds",
                      {{"priority", std::to_string(priority)}})
        .Observe(wait);
  };
  hooks.shares_changed = [this](const routing::ShareChange& change) {
    const auto set = [&](const std::string& zone, double share) {
      counters_
          .GetGauge("goldcrest_zone_share",
                    {{"group", change.group},
                     {"kind", routing::NameOf(change.kind)},
                     {"zone", zone}})
          .Set(std::lround(share * 100));
    };
    for (const auto& [zone, share] : change.before)
      set(zone, 0);
    for (const auto& [zone, share] : change.shares)
      set(zone, share);
  };
  return hooks;
}

statements::ControllerClientHooks EntryService::MakeControllerHooks() {
  statements::ControllerClientHooks hooks;
  hooks.send = [this](const std::string& controller,
                      const messages::PeerMessage& message) {
    peers_->Send(controller, message);
  };
  hooks.decode = [this](std::string_view document) -> routing::RoutingTablePtr {
    auto decoded = platform::DecodeRoutingDocument(document);
    if (!decoded.table)
      log_.LogEvent("configuration_unreadable", {{"cause", decoded.problem}});
    return decoded.table;
  };
  hooks.known_controllers = [this](const std::set<std::string>& names) {
    peers_->SetPeers(PeerAddresses(names));
  };
  hooks.log_decision = [this](std::string_view event,
                              const std::string& controller,
                              const std::string& cause) {
    log_.LogEvent(event, {{"controller", controller}, {"cause", cause}});
  };
  hooks.report_answered = [this](Duration round_trip) {
    counters_.GetHistogram("goldcrest_report_round_trip_seconds")
        .Observe(round_trip);
  };
  return hooks;
}

std::unique_ptr<adapters::PeerTransport> EntryService::MakeRelayLinks() {
  return std::make_unique<adapters::PeerTransport>(
      context_, RelayLinkOptions(settings_), log_.logger(),
      [this](const std::string& from, const messages::PeerMessage& message) {
        if (message.__isset.relay_request)
          proxy_.OnRelayRequest(SystemClock::Now(), from,
                                message.relay_request);
        if (message.__isset.relay_answer)
          proxy_.OnRelayAnswer(SystemClock::Now(), from, message.relay_answer);
      },
      [this](const std::string& entry, bool up) {
        proxy_.OnRelayLink(SystemClock::Now(), entry, up);
      });
}

void EntryService::CountRelayed(const char* event) {
  counters_.GetCounter("goldcrest_relayed_operations_total", {{"event", event}})
      .Add();
}

void EntryService::ConnectWantedRelays() {
  if (proxy_.WantedRelays() == connected_relays_)
    return;
  connected_relays_ = proxy_.WantedRelays();
  relay_links_->SetPeers(PeerAddresses(connected_relays_));
}

CallerConnections::Hooks EntryService::MakeCallerHooks() {
  CallerConnections::Hooks hooks;
  hooks.line = [this](SessionId id, std::string_view line) {
    OnCallerLine(id, line);
  };
  hooks.closed = [this](SessionId id) {
    proxy_.OnSessionClosed(SystemClock::Now(), id);
    ContinueEndpoint(id);
  };
  hooks.memory = [this](SessionId id) { return MemoryOf(id); };
  hooks.output_room = [this](SessionId id) {
    ContinueEndpoint(id);
    proxy_.OnOutputRoom(SystemClock::Now(), id);
  };
  hooks.log_limit = [this](const char* event, const std::string& cause,
                           std::size_t bytes) {
    counters_
        .GetCounter("goldcrest_connection_limits_total",
                    {{"event", event}, {"cause", cause}})
        .Add();
    log_.LogEvent(event, {{"cause", cause}, {"bytes", bytes}});
  };
  return hooks;
}

}  // namespace goldcrest
