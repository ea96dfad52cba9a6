#include "goldcrest/statements/controller_client.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "goldcrest/routing/document_codec.h"

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;

// Interval of the reports by which controllers, also those that do not lead,
// learn that this entry is alive.
constexpr Duration kKeepaliveReportInterval = milliseconds(2'000);

// Interval at which the leader receives this entry's contacts with primaries; a
// failing contact or a request of the leader sends them at once. Shorter than
// the time after which the leader ignores a contact report.
constexpr Duration kContactReportInterval = milliseconds(1'000);

// A report without an answer for this long is lost, since a lost packet delays
// a message by 200 ms.
constexpr Duration kReportAnswerTimeout = milliseconds(250);

// Shortest time between two log lines on late answers, which bounds the log.
constexpr Duration kAnswerTimeLogInterval = milliseconds(1'000);

}  // namespace

ControllerClient::ControllerClient(Time now,
                                   std::int64_t process,
                                   std::set<std::string> controllers,
                                   StatementProxy& proxy,
                                   ControllerClientHooks hooks)
    : started_at_(now),
      process_(process),
      known_controllers_(std::move(controllers)),
      proxy_(proxy),
      hooks_(std::move(hooks)),
      document_source_(process) {}

void ControllerClient::OnLink(Time now,
                              const std::string& controller,
                              bool up) {
  ControllerState& state = controllers_[controller];
  state.linked = up;
  hooks_.log_decision(up ? "controller_found" : "controller_lost", controller,
                      "");
  // Changes that the controller sent while the link was down are lost, so that
  // the next report must request the whole state.
  state.first_report_sent = false;
  // A controller that restarts may know an older version for a while.
  state.version = 0;
  if (up)
    Report(now, controller, false);
  if (!up && leader_ == controller)
    leader_.clear();
  if (leader_ == controller || leader_.empty())
    unanswered_report_at_.reset();
}

void ControllerClient::OnUpdate(Time now,
                                const std::string& from,
                                const messages::ProxyUpdate& update) {
  ControllerState& state = controllers_[from];
  state.version = std::max(state.version, update.document_version);
  proxy_.OnVersionAnnounced(update.document_version);
  AddControllers({update.controllers.begin(), update.controllers.end()});
  if (update.__isset.document) {
    document_source_.OnDocumentReceived();
    const auto document = routing::DecompressDocument(update.document);
    const auto table = document ? hooks_.decode(*document) : nullptr;
    if (table != nullptr)
      proxy_.OnRoutingTable(now, table);
    else
      hooks_.log_decision("configuration_unreadable", from,
                          std::to_string(update.document.size()) + " bytes");
  }
  if (update.__isset.evacuated)
    proxy_.OnEvacuatedZones(now, update.evacuated);
  for (const messages::EndpointRecord& record : update.endpoints)
    proxy_.OnEndpoint(now, record);
  for (const messages::RelayInstance& relay : update.relays)
    proxy_.OnRelay(relay);
  for (const messages::PrimaryAssignment& assignment : update.primaries)
    proxy_.OnAssignment(now, assignment);
  for (const messages::WriteHold& hold : update.write_holds) {
    proxy_.OnWriteHold(now, hold);
    holding_controller_ = from;
  }
  ReportHeldWrites(now);
  for (const messages::ConfirmedPosition& position : update.positions)
    proxy_.OnConfirmedPosition(position.group,
                               TimeFromMicros(position.report_sent_micros),
                               {position.term, position.number});
  if (update.report_sent_micros != 0)
    OnReportAnswer(now, from, update);
  if (update.report_now)
    Report(now, from, false, ContactReporting::kImmediately);
  FetchDocument(now);
}

void ControllerClient::OnReportAnswer(Time now,
                                      const std::string& from,
                                      const messages::ProxyUpdate& update) {
  // The answer to a report of a former process says nothing of the time since
  // this one has started. After a restart of the instance, the former clock can
  // be ahead.
  const Time sent_at = TimeFromMicros(update.report_sent_micros);
  if (sent_at < started_at_ || sent_at > now)
    return;
  if (update.leader && leader_ != from) {
    hooks_.log_decision("controller_leads", from, "");
    leader_ = from;
    unanswered_report_at_.reset();
    contacts_reported_at_ = Time();
    proxy_.holder().OnOwnerChange(now);
  }
  // The lease of the leader may lapse for a moment. Reports to it go on until
  // it is lost or another controller leads: a pause would last until the next
  // report to all controllers.
  if (leader_ == from)
    OnAnswerTime(now, sent_at, update.leader);
  if (!update.leader)
    return;
  // Not all entries are connected to a controller without a disk.
  proxy_.OnEntryCount(update.entries);
  // Another controller may lag and offer endpoints that have left.
  endpoints_known_ = true;
  // The leader held its lease after the report had been sent, so that no newer
  // version and no further evacuation had been acknowledged at that time.
  proxy_.OnEvacuationsConfirmed(now, sent_at);
  proxy_.OnNewestVersion(now, update.document_version, sent_at);
  proxy_.holder().OnUpdates(now, sent_at, update.shares);
  proxy_.OnShares(now);
}

void ControllerClient::OnAnswerTime(Time now, Time sent_at, bool has_lease) {
  if (unanswered_report_at_ && sent_at >= *unanswered_report_at_)
    unanswered_report_at_.reset();
  const Duration round_trip = now - sent_at;
  hooks_.report_answered(round_trip);
  if (!has_lease && now >= next_lease_log_) {
    next_lease_log_ = now + kAnswerTimeLogInterval;
    hooks_.log_decision("leader_without_lease", leader_, "");
  }
  if (answers_late_ == (round_trip >= kReportAnswerTimeout) ||
      now < next_answer_time_log_)
    return;
  next_answer_time_log_ = now + kAnswerTimeLogInterval;
  answers_late_ = !answers_late_;
  hooks_.log_decision(
      answers_late_ ? "leader_answers_late" : "leader_answers_in_time", leader_,
      std::to_string(
          std::chrono::duration_cast<milliseconds>(round_trip).count()) +
          " ms");
}

bool ControllerClient::AwaitsAnswer(Time now) const {
  return unanswered_report_at_ &&
         now - *unanswered_report_at_ < kReportAnswerTimeout;
}

// The leader waits for each entry to confirm a hold, so that the report does
// not wait for the answer to another one.
void ControllerClient::ReportHeldWrites(Time now) {
  const std::map<std::string, std::int64_t> held = proxy_.HeldWrites(now);
  const bool is_new = std::ranges::any_of(held, [&](const auto& item) {
    const auto it = reported_holds_.find(item.first);
    return it == reported_holds_.end() || it->second != item.second;
  });
  reported_holds_ = held;
  if (is_new)
    Report(now, holding_controller_, false);
}

void ControllerClient::AddControllers(const std::set<std::string>& names) {
  const std::size_t before = known_controllers_.size();
  known_controllers_.insert(names.begin(), names.end());
  if (known_controllers_.size() != before)
    hooks_.known_controllers(known_controllers_);
}

void ControllerClient::Tick(Time now) {
  // While one report is under way, what becomes due waits for the next one. The
  // leader of a large fleet would otherwise get more reports, the later it
  // answers them.
  if (!leader_.empty() && !AwaitsAnswer(now) && proxy_.holder().ReportDue(now))
    Report(now, leader_, false);
  ReportHeldWrites(now);
  // Another controller may lead since a freeze.
  const Duration interval = proxy_.evacuations().Knows(now)
                                ? kKeepaliveReportInterval
                                : kReportAnswerTimeout;
  for (const auto& [name, state] : controllers_) {
    if (state.linked && now - state.last_report_at >= interval)
      Report(now, name, false);
  }
  FetchDocument(now);
}

void ControllerClient::FetchDocument(Time now) {
  std::vector<routing::DocumentSource::Candidate> linked;
  for (const auto& [name, state] : controllers_) {
    if (state.linked)
      linked.push_back({name, state.version});
  }
  const std::string source =
      document_source_.NextController(now, proxy_.Version(), linked);
  if (source.empty())
    return;
  hooks_.log_decision("configuration_requested", source,
                      "version " +
                          std::to_string(controllers_.at(source).version) +
                          " is newer than " + std::to_string(proxy_.Version()));
  Report(now, source, true);
}

void ControllerClient::Report(Time now,
                              const std::string& controller,
                              bool wants_document,
                              ContactReporting contact_reporting) {
  ControllerState& state = controllers_[controller];
  messages::ProxyReport report;
  report.process = process_;
  report.sent_micros = ToMicros(now);
  report.document_version = proxy_.Version();
  report.wants_document = wants_document;
  report.evacuations_index = proxy_.evacuations().index();
  report.first = !state.first_report_sent;
  report.held_writes = proxy_.HeldWrites(now);
  report.quiet_micros =
      proxy_.holder().TimeSinceLastTake(now, started_at_).count();
  if (controller == leader_) {
    unanswered_report_at_ = now;
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
  messages::RelayInstance relay = proxy_.OwnRelay();
  if (!state.first_report_sent || state.relay != relay) {
    report.__set_relay(relay);
    state.relay = std::move(relay);
  }
  state.last_report_at = now;
  state.first_report_sent = true;
  messages::PeerMessage message;
  message.__set_proxy_report(report);
  hooks_.send(controller, std::move(message));
}

void ControllerClient::Stop() {
  proxy_.holder().Stop();
  for (const auto& [name, state] : controllers_) {
    messages::ProxyReport report;
    report.process = process_;
    report.document_version = proxy_.Version();
    report.stopped = true;
    messages::PeerMessage message;
    message.__set_proxy_report(report);
    hooks_.send(name, std::move(message));
  }
}

}  // namespace goldcrest::statements
