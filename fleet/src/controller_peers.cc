// Messages between a controller and the entries and other controllers.

#include <algorithm>

#include "goldcrest/fleet/controller.h"
#include "goldcrest/routing/document_codec.h"
#include "goldcrest/routing/endpoint_record.h"

namespace goldcrest::fleet {
namespace {

// Reports kept per entry, to find one that was received before a probe was
// sent. Reports and probes both come every 250 ms.
constexpr std::size_t kMaxReportsKept = 8;

// An entry without a report for this long is not counted as running.
constexpr Duration kEntryTimeout = std::chrono::seconds(5);

}  // namespace

void Controller::OnHeartbeat(Time now,
                             const messages::EndpointRecord& heartbeat) {
  if (ApplyHeartbeat(now, heartbeat))
    return;
  // The heartbeats of one endpoint reach different controllers, and each has to
  // count those that were held back.
  messages::ControllerNotice notice = MakeNotice(now);
  notice.held_back.push_back(heartbeat);
  SendToPeers(notice);
}

// Returns false if the heartbeat is held back.
bool Controller::ApplyHeartbeat(Time now,
                                const messages::EndpointRecord& heartbeat) {
  const auto* known = directory_.Find(heartbeat.endpoint);
  const auto record =
      heartbeat_guard_.Admit(now, hooks_.unix_time(), known, heartbeat);
  if (!record) {
    hooks_.log_decision("heartbeat_held_back",
                        heartbeat.group + " " + heartbeat.endpoint,
                        "started " + std::to_string(heartbeat.started_ms) +
                            ", sequence " + std::to_string(heartbeat.sequence) +
                            ", address " + heartbeat.address);
    return false;
  }
  PassOn(now, *record);
  return true;
}

void Controller::PassOn(Time now, const messages::EndpointRecord& record) {
  const auto merge = directory_.Apply(now, record);
  if (merge == routing::EndpointDirectory::MergeResult::kStale)
    return;
  messages::ControllerNotice notice = MakeNotice(now);
  notice.endpoints.push_back(record);
  SendToPeers(notice);
  if (merge != routing::EndpointDirectory::MergeResult::kChanged)
    return;
  hooks_.log_decision("endpoint_changed", record.group + " " + record.endpoint,
                      routing::DescribeState(record));
  OnEndpointChanged(now, record);
}

void Controller::OnEndpointChanged(Time now,
                                   const messages::EndpointRecord& record) {
  messages::ProxyUpdate update;
  update.endpoints.push_back(record);
  SendToEntries(update);
  RecordEndpoint(now, record);
}

// Writes a changed record to the log. A record in the log may be out of date
// after a restart, until the next heartbeat replaces it.
void Controller::RecordEndpoint(Time now,
                                const messages::EndpointRecord& record) {
  if (!HoldsLeadership(now))
    return;
  const auto it = state_.endpoints().find(record.endpoint);
  const bool known = it != state_.endpoints().end();
  if (record.gone
          ? !known || it->second.gone
          : known && !it->second.gone && it->second.primary == record.primary &&
                it->second.draining == record.draining &&
                it->second.address == record.address &&
                it->second.started_ms == record.started_ms &&
                it->second.epoch == record.epoch)
    return;
  messages::FleetCommand command;
  command.__set_endpoint(record);
  Propose(now, command);
}

void Controller::OnDeparture(Time now,
                             const messages::EndpointRecord& departure) {
  const auto record = heartbeat_guard_.AdmitDeparture(
      hooks_.unix_time(), directory_.Find(departure.endpoint), departure);
  if (record)
    PassOn(now, *record);
}

void Controller::SendToPeers(const messages::ControllerNotice& notice) {
  messages::PeerMessage message;
  message.__set_controller_notice(notice);
  for (const auto& [name, peer] : peers_)
    hooks_.send(name, message);
}

void Controller::MergeEndpoint(Time now,
                               const messages::EndpointRecord& record) {
  // Older releases logged and sent records without checking them.
  if (const std::string problem = routing::FindRecordProblem(record);
      !problem.empty()) {
    hooks_.log_decision("endpoint_dropped", record.endpoint, problem);
    return;
  }
  if (directory_.Apply(now, record) ==
      routing::EndpointDirectory::MergeResult::kChanged)
    OnEndpointChanged(now, record);
}

void Controller::SendToEntries(const messages::ProxyUpdate& update) {
  messages::ProxyUpdate filled = update;
  filled.document_version = announced_version_;
  messages::PeerMessage message;
  message.__set_proxy_update(filled);
  for (const auto& [name, entry] : entries_) {
    if (entry.linked)
      hooks_.send(name, message);
  }
}

void Controller::OnReport(Time now,
                          const std::string& from,
                          const messages::ProxyReport& report) {
  Entry& entry = entries_[from];
  const bool new_link = report.first || entry.process != report.process;
  entry.linked = !report.stopped;
  if (entry.process != report.process) {
    entry.reports.clear();
    entry.positions_sent.clear();
  }
  entry.process = report.process;
  entry.reported_at = now;
  entry.held_writes = report.held_writes;
  entry.reports.emplace_back(now, report.sent_micros);
  if (entry.reports.size() > kMaxReportsKept)
    entry.reports.pop_front();
  if (report.__isset.relay && entry.relay != report.relay) {
    entry.relay = report.relay;
    messages::ProxyUpdate change;
    change.relays.push_back(report.relay);
    SendToEntries(change);
  }
  messages::ProxyUpdate update;
  update.report_sent_micros = report.sent_micros;
  update.leader = HoldsLeadership(now);
  update.document_version = announced_version_;
  if (report.wants_document && announced_version_ > report.document_version)
    update.__set_document(CompressedDocument());
  if (report.evacuations_index < state_.evacuations_index())
    update.__set_evacuated(EvacuationsForEntries());
  if (new_link) {
    update.endpoints = directory_.All();
    update.relays = KnownRelays(now);
  }
  if (new_link || entry.controllers_sent != offered_controllers_.size())
    update.controllers.assign(offered_controllers_.begin(),
                              offered_controllers_.end());
  entry.controllers_sent = offered_controllers_.size();
  update.entries = static_cast<std::int32_t>(
      std::ranges::count_if(entries_, [&](const auto& item) {
        return now - item.second.reported_at < kEntryTimeout;
      }));
  if (update.leader) {
    update.shares = AnswerShares(now, from, report);
    AddPositions(entry, update);
    leadership_->failover->OnContacts(now, from, report.contacts);
    if (new_link) {
      update.primaries = leadership_->failover->Assignments();
      update.write_holds = leadership_->failover->WriteHolds();
    }
  }
  messages::PeerMessage message;
  message.__set_proxy_update(update);
  hooks_.send(from, std::move(message));
}

std::vector<messages::RelayInstance> Controller::KnownRelays(Time now) const {
  std::vector<messages::RelayInstance> relays;
  for (const auto& [name, entry] : entries_) {
    if (entry.relay && entry.relay->available &&
        now - entry.reported_at < kEntryTimeout)
      relays.push_back(*entry.relay);
  }
  return relays;
}

const std::string& Controller::CompressedDocument() {
  if (compressed_version_ != state_.version()) {
    compressed_document_ = routing::CompressDocument(state_.text());
    compressed_version_ = state_.version();
  }
  return compressed_document_;
}

// Adds the positions that primaries have confirmed, each with the time at which
// a report of the entry was sent, by the entry's own clock. That report had
// arrived here before the primary was asked, so that the position is newer than
// the report.
void Controller::AddPositions(Entry& entry,
                              messages::ProxyUpdate& update) const {
  for (const auto& [group, confirmed] : leadership_->confirmed_primaries) {
    Time& last_sent = entry.positions_sent[group];
    if (last_sent >= confirmed.asked_at)
      continue;
    for (auto it = entry.reports.rbegin(); it != entry.reports.rend(); ++it) {
      if (it->first >= confirmed.asked_at)
        continue;
      messages::ConfirmedPosition position;
      position.group = group;
      position.term = confirmed.position->term;
      position.number = confirmed.position->number;
      position.report_sent_micros = it->second;
      update.positions.push_back(position);
      last_sent = confirmed.asked_at;
      break;
    }
  }
}

std::vector<messages::ShareUpdate> Controller::AnswerShares(
    Time now,
    const std::string& from,
    const messages::ProxyReport& report) {
  const auto it = state_.holders().find(from);
  const bool registered =
      it != state_.holders().end() && it->second.process == report.process;
  if (report.stopped) {
    if (!registered)
      return {};
    ReleaseHolder(now, from);
    return {};
  }
  if (registered)
    return leadership_->owner->OnReport(now, from, it->second.incarnation,
                                        report.shares,
                                        Duration(report.quiet_micros));
  // An entry gets shares only after its registration is committed, so that the
  // next leader knows it as a holder.
  auto [pending, added] =
      leadership_->pending_registrations.emplace(from, report.process);
  if (!added && pending->second == report.process)
    return {};
  pending->second = report.process;
  messages::FleetCommand command;
  messages::RegisterHolder holder;
  holder.instance = from;
  holder.process = report.process;
  command.__set_holder(holder);
  if (Propose(now, command) == 0)
    leadership_->pending_registrations.erase(from);
  return {};
}

void Controller::OnNotice(Time now,
                          const std::string& from,
                          const messages::ControllerNotice& notice) {
  ControllerPeer& peer = peers_[from];
  peer.heard_at = now;
  if (notice.has_disk && !peer.has_disk)
    offered_controllers_.insert(from);
  peer.has_disk = notice.has_disk;
  peer.joining = notice.joining;
  if (notice.draining && !peer.draining)
    next_membership_check_ = now;
  peer.draining = notice.draining;
  if (notice.leads) {
    announced_leader_ = from;
    leader_announced_at_ = now;
  } else if (announced_leader_ == from) {
    announced_leader_.clear();
  }
  std::set<std::string> names(notice.controllers.begin(),
                              notice.controllers.end());
  names.insert(from);
  AddControllers(names);
  for (const messages::EndpointRecord& record : notice.endpoints)
    MergeEndpoint(now, record);
  for (const messages::EndpointRecord& heartbeat : notice.held_back)
    ApplyHeartbeat(now, heartbeat);
}

void Controller::AddControllers(const std::set<std::string>& names) {
  const std::size_t before = known_controllers_.size();
  known_controllers_.insert(names.begin(), names.end());
  if (known_controllers_.size() != before)
    hooks_.known_controllers(known_controllers_);
}

messages::ControllerNotice Controller::MakeNotice(Time now) const {
  messages::ControllerNotice notice;
  notice.has_disk = options_.has_disk;
  notice.joining = replica_.IsJoining();
  notice.draining = draining_;
  notice.leads = HoldsLeadership(now);
  return notice;
}

// A controller without a disk has no configuration and never leads. A link to
// it would cost each entry and that controller a part of their processor time.
void Controller::OfferControllers() {
  if (options_.has_disk) {
    offered_controllers_.insert(options_.replica.self);
    for (const std::string& member : replica_.Members())
      offered_controllers_.insert(member);
  }
  for (const auto& [name, peer] : peers_) {
    if (peer.has_disk)
      offered_controllers_.insert(name);
  }
}

void Controller::SendNotices(Time now) {
  OfferControllers();
  messages::ControllerNotice notice = MakeNotice(now);
  notice.controllers.assign(known_controllers_.begin(),
                            known_controllers_.end());
  for (const std::string& name : known_controllers_) {
    if (name == options_.replica.self)
      continue;
    messages::PeerMessage message;
    messages::ControllerNotice sent = notice;
    // A controller that was not heard from may have missed heartbeats.
    const auto peer = peers_.find(name);
    if (peer == peers_.end() || now - peer->second.heard_at > kPeerTimeout)
      sent.endpoints = directory_.All();
    message.__set_controller_notice(sent);
    hooks_.send(name, std::move(message));
  }
}

}  // namespace goldcrest::fleet
