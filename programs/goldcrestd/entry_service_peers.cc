// What an entry exchanges with controllers.

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

// Contacts with primaries, unless one fails or the leader asks: shorter than
// the time for which the leader believes them.
constexpr Duration kContactsInterval = milliseconds(1'000);

}  // namespace

void EntryService::OnPeerMessage(const std::string& from,
                                 const messages::PeerMessage& message) {
  if (message.__isset.proxy_update)
    OnUpdate(from, message.proxy_update);
}

void EntryService::OnLink(const std::string& controller, bool up) {
  ControllerView& view = controllers_[controller];
  view.linked = up;
  log_.Event(up ? "controller_found" : "controller_lost",
             {{"controller", controller}});
  // Changes that were sent while there was no link are lost.
  view.reported_first = false;
  if (up)
    Report(SystemClock::Now(), controller, false);
  if (!up && leader_ == controller)
    leader_.clear();
}

void EntryService::OnUpdate(const std::string& from,
                            const messages::ProxyUpdate& update) {
  const Time now = SystemClock::Now();
  ControllerView& view = controllers_[from];
  view.version = std::max(view.version, update.document_version);
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
      log_.Event("configuration_unreadable", {{"cause", decoded.problem}});
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
      log_.Event("controller_leads", {{"controller", from}});
      leader_ = from;
      contacts_told_ = Time();
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
    Report(now, from, false, Contacts::kNow);
  FetchDocument(now);
}

void EntryService::FetchDocument(Time now) {
  std::vector<routing::DocumentSource::Candidate> linked;
  for (const auto& [name, view] : controllers_) {
    if (view.linked)
      linked.push_back({name, view.version});
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
                          Contacts contacts) {
  messages::ProxyReport report;
  report.process = process_;
  report.sent_micros = ToMicros(now);
  report.document_version = proxy_.Version();
  report.wants_document = wants_document;
  report.first = !controllers_[controller].reported_first;
  report.quiet_micros =
      proxy_.holder().TimeSinceLastTake(now, started_at_).count();
  if (controller == leader_) {
    report.shares = proxy_.holder().Report(now);
    std::vector<messages::PrimaryContact> told = proxy_.Contacts(now);
    const bool fails = std::ranges::any_of(
        told, [](const auto& contact) { return contact.failing_ms > 0; });
    if (fails || contacts == Contacts::kNow ||
        now - contacts_told_ >= kContactsInterval) {
      contacts_told_ = now;
      report.contacts = std::move(told);
    }
  }
  controllers_[controller].reported_at = now;
  controllers_[controller].reported_first = true;
  messages::PeerMessage message;
  message.__set_proxy_report(report);
  peers_->Send(controller, message);
}

}  // namespace goldcrest
