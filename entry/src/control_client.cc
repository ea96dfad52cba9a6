#include "goldcrest/entry/control_client.h"

#include <algorithm>

namespace goldcrest::entry {
namespace {

constexpr std::size_t kMaxUnsentJournalEntries = 200;

// Minimum time between reports that do not wait for the report interval, such
// as reports about quota and assignments.
constexpr Duration kMinReportInterval = std::chrono::milliseconds(5);

// Hints to an unresponsive member are ignored for this long. Followers name a
// failed leader until they have elected another one; following such a hint
// costs one more answer timeout, too long for a coordinator's lease.
constexpr Duration kUnresponsiveMemberBackoff = std::chrono::seconds(1);

// Delay before the first report to a new target, so that an election does not
// cause one report per round trip.
constexpr Duration kNextMemberDelay = std::chrono::milliseconds(20);

}  // namespace

ControlClient::ControlClient(ControlView* view,
                             quota::Holder* holder,
                             ControlClientOptions options)
    : view_(view), holder_(holder), options_(std::move(options)) {
  AskNextMember();
}

std::optional<std::pair<std::string, messages::EntryReport>>
ControlClient::MaybeReport(
    std::vector<messages::CoordinatorReport> coordinators,
    bool draining,
    bool stopped,
    Time now) {
  if (unanswered_since_ && now - *unanswered_since_ > options_.answer_timeout) {
    unresponsive_member_ = target_;
    unresponsive_until_ = now + kUnresponsiveMemberBackoff;
    AskNextMember();
    unanswered_since_.reset();
    immediate_report_ = true;
  }
  const bool immediate = immediate_report_ || holder_->ReportDue(now);
  const Time due =
      immediate ? next_report_ - options_.report_interval + kMinReportInterval
                : next_report_;
  if (now < due || target_.empty())
    return std::nullopt;
  immediate_report_ = false;
  next_report_ = now + options_.report_interval;
  if (!unanswered_since_)
    unanswered_since_ = now;

  messages::EntryReport report;
  report.instance = options_.self;
  report.sequence = ++sequence_;
  report.sent_micros = ToMicros(now);
  report.applied_revision = view_->configuration().Revision();
  report.applied_groups_revision = view_->groups_revision();
  if (!stopped)
    report.shares = holder_->Report(now);
  for (const auto& [name, announcement] : announcements_)
    report.announcements.push_back(announcement);
  report.coordinators = std::move(coordinators);
  report.draining = draining;
  report.stopped = stopped;
  // Journal entries are sent in one report only, because control would log a
  // resent entry twice.
  for (messages::JournalEntry& entry : unsent_journal_)
    report.journal.push_back(std::move(entry));
  unsent_journal_.clear();
  return std::pair(target_, std::move(report));
}

ControlClient::UpdateResult ControlClient::OnUpdate(
    const messages::ControlUpdate& update,
    Time now) {
  UpdateResult result;
  if (update.leader_term < newest_leader_term_)
    return result;
  // A member that is not the leader sends only the leader's name, without a
  // term.
  const bool is_hint = update.leader_term == 0;
  if (is_hint) {
    OnTargetFailed(update.leader, now);
    return result;
  }
  if (update.leader_term > newest_leader_term_) {
    holder_->OnOwnerChange(now);
    if (update.report_sequence == 0) {
      // Leases of the previous leader run out soon.
      immediate_report_ = true;
      next_report_ = now;
      unanswered_since_.reset();
    }
  }
  newest_leader_term_ = update.leader_term;
  result.accepted = true;
  target_ = update.leader;
  result.view_changed = view_->Merge(update);
  std::erase_if(announcements_, [&](const auto& entry) {
    const messages::EndpointInfo* known = view_->FindEndpoint(entry.first);
    return known != nullptr && *known == entry.second.info;
  });
  if (result.view_changed)
    immediate_report_ = true;
  if (update.report_sequence <= answered_sequence_)
    return result;

  answered_sequence_ = update.report_sequence;
  if (update.report_sequence == sequence_)
    unanswered_since_.reset();
  else
    unanswered_since_ = now;
  const Time sent = TimeFromMicros(update.report_sent_micros);
  if (update.control_lease_ms > 0) {
    result.control_lease_until =
        sent + std::chrono::milliseconds(update.control_lease_ms);
    holder_->OnUpdates(now, sent, update.shares);
  }
  for (const messages::CoordinatorLease& lease : update.leases)
    result.leases.emplace_back(
        lease, sent + std::chrono::milliseconds(lease.lease_ms));
  return result;
}

void ControlClient::OnAnnouncement(const messages::Announcement& announcement) {
  const messages::EndpointInfo& info = announcement.info;
  const messages::EndpointInfo* known = view_->FindEndpoint(info.endpoint);
  if (known != nullptr &&
      (*known == info || known->incarnation > info.incarnation))
    return;
  announcements_[info.endpoint] = announcement;
  immediate_report_ = true;
}

void ControlClient::AddJournalEntry(messages::JournalEntry entry) {
  unsent_journal_.push_back(std::move(entry));
  if (unsent_journal_.size() > kMaxUnsentJournalEntries)
    unsent_journal_.pop_front();
}

void ControlClient::OnTargetFailed(const std::string& hint, Time now) {
  const bool hint_unresponsive =
      hint == unresponsive_member_ && now < unresponsive_until_;
  if (!hint.empty() && hint != target_ && !hint_unresponsive)
    target_ = hint;
  else
    AskNextMember();
  if (target_ == unresponsive_member_ && now < unresponsive_until_)
    AskNextMember();
  unanswered_since_.reset();
  immediate_report_ = true;
  next_report_ = now + options_.report_interval + kNextMemberDelay;
}

void ControlClient::AskNextMember() {
  if (options_.control_members.empty())
    return;
  target_ =
      options_.control_members[next_member_ % options_.control_members.size()];
  ++next_member_;
}

}  // namespace goldcrest::entry
