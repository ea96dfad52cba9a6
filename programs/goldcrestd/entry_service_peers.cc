// The messages between an entry and the controllers.

#include <algorithm>
#include <chrono>

#include "goldcrest/adapters/system_clock.h"
#include "goldcrest/platform/routing_document.h"
#include "programs/goldcrestd/entry_service.h"
#include "programs/goldcrestd/platform_peers.h"

namespace goldcrest {
namespace {

using adapters::SystemClock;
using std::chrono::milliseconds;

// Interval at which the leader receives this entry's contacts with primaries; a
// failing contact or a request of the leader sends them at once. Shorter than
// the time after which the leader ignores a contact report.
constexpr Duration kContactReportInterval = milliseconds(1'000);

}  // namespace

void EntryService::OnPeerMessage(const std::string& from,
                                 const messages::PeerMessage& message) {
  if (message.__isset.proxy_update)
    OnProxyUpdate(from, message.proxy_update);
}

void EntryService::OnLink(const std::string& controller, bool up) {
  ControllerState& state = controllers_[controller];
  state.linked = up;
  log_.LogEvent(up ? "controller_found" : "controller_lost",
                {{"controller", controller}});
  // Changes that the controller sent while the link was down are lost, so that
  // the next report must request the whole state.
  state.first_report_sent = false;
  if (up)
    Report(SystemClock::Now(), controller, false);
  if (!up && leader_ == controller)
    leader_.clear();
}

void EntryService::OnProxyUpdate(const std::string& from,
                                 const messages::ProxyUpdate& update) {
  const Time now = SystemClock::Now();
  ControllerState& state = controllers_[from];
  state.version = std::max(state.version, update.document_version);
  for (const std::string& name : update.controllers) {
    if (known_controllers_.insert(name).second)
      UpdatePeers();
  }
  if (update.__isset.document) {
    document_source_.OnDocumentReceived();
    auto decoded = platform::DecodeRoutingDocument(update.document);
    if (decoded.table)
      proxy_.OnRoutingTable(now, decoded.table);
    else
      log_.LogEvent("configuration_unreadable", {{"cause", decoded.problem}});
  }
  for (const messages::EndpointRecord& record : update.endpoints)
    proxy_.OnEndpoint(now, record);
  for (const messages::PrimaryAssignment& assignment : update.primaries)
    proxy_.OnAssignment(now, assignment);
  for (const messages::ConfirmedPosition& position : update.positions)
    proxy_.OnConfirmedPosition(position.group,
                               TimeFromMicros(position.report_sent_micros),
                               {position.term, position.number});
  if (update.report_sent_micros != 0) {
    endpoints_known_ = true;
    if (update.leader && leader_ != from) {
      log_.LogEvent("controller_leads", {{"controller", from}});
      leader_ = from;
      contacts_reported_at_ = Time();
      proxy_.holder().OnOwnerChange(now);
    } else if (!update.leader && leader_ == from) {
      leader_.clear();
    }
    proxy_.OnEntryCount(update.entries);
    if (update.leader) {
      proxy_.holder().OnUpdates(now, TimeFromMicros(update.report_sent_micros),
                                update.shares);
      proxy_.OnShares(now);
    }
  }
  if (update.report_now)
    Report(now, from, false, ContactReporting::kImmediately);
  FetchDocument(now);
}

void EntryService::FetchDocument(Time now) {
  std::vector<routing::DocumentSource::Candidate> linked;
  for (const auto& [name, state] : controllers_) {
    if (state.linked)
      linked.push_back({name, state.version});
  }
  const std::string source =
      document_source_.NextController(now, proxy_.Version(), linked);
  if (!source.empty())
    Report(now, source, true);
}

void EntryService::UpdatePeers() {
  peers_->SetPeers(PeerAddresses(known_controllers_));
}

void EntryService::Report(Time now,
                          const std::string& controller,
                          bool wants_document,
                          ContactReporting contact_reporting) {
  messages::ProxyReport report;
  report.process = process_id_;
  report.sent_micros = ToMicros(now);
  report.document_version = proxy_.Version();
  report.wants_document = wants_document;
  report.first = !controllers_[controller].first_report_sent;
  report.quiet_micros =
      proxy_.holder().TimeSinceLastTake(now, started_at_).count();
  if (controller == leader_) {
    report.shares = proxy_.holder().Report(now);
    std::vector<messages::PrimaryContact> contacts = proxy_.Contacts(now);
    const bool any_failing = std::ranges::any_of(
        contacts, [](const auto& contact) { return contact.failing_ms > 0; });
    if (any_failing || contact_reporting == ContactReporting::kImmediately ||
        now - contacts_reported_at_ >= kContactReportInterval) {
      contacts_reported_at_ = now;
      report.contacts = std::move(contacts);
    }
  }
  controllers_[controller].last_report_at = now;
  controllers_[controller].first_report_sent = true;
  messages::PeerMessage message;
  message.__set_proxy_report(report);
  peers_->Send(controller, message);
}

}  // namespace goldcrest
