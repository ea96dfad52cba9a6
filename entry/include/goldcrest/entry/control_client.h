#ifndef GOLDCREST_ENTRY_CONTROL_CLIENT_H_
#define GOLDCREST_ENTRY_CONTROL_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/entry/control_view.h"
#include "goldcrest/messages/messages.h"
#include "goldcrest/quota/holder.h"
#include "goldcrest/types/time.h"

namespace goldcrest::entry {

struct ControlClientOptions {
  messages::InstanceInfo self;
  std::vector<std::string> control_members;  //!< Instance names.
  Duration report_interval = std::chrono::milliseconds(250);
  //! After this time without an answer the client switches to the next control
  //! member.
  Duration answer_timeout = std::chrono::milliseconds(400);
};

//! Connects an entry with the control leader: finds the leader, sends reports
//! and applies the updates that answer them. Not thread-safe.
class ControlClient {
 public:
  struct UpdateResult {
    bool accepted = false;  //!< False: not from the current leader; ignored.
    bool view_changed = false;
    //! The entry may serve requests with a key until then.
    std::optional<Time> control_lease_until;
    std::vector<std::pair<messages::CoordinatorLease, Time>> leases;
  };

  ControlClient(ControlView* view,
                quota::Holder* holder,
                ControlClientOptions options);

  //! Returns the report to send now, if one is due, and its recipient.
  std::optional<std::pair<std::string, messages::EntryReport>> MaybeReport(
      std::vector<messages::CoordinatorReport> coordinators,
      bool draining,
      bool stopped,
      Time now);

  UpdateResult OnUpdate(const messages::ControlUpdate& update, Time now);

  void OnAnnouncement(const messages::Announcement& announcement);
  void AddJournalEntry(messages::JournalEntry entry);

  //! Makes a report due without waiting for the report interval.
  void RequestImmediateReport() { immediate_report_ = true; }

  //! The control member that reports are sent to: the leader if it is known.
  const std::string& target() const { return target_; }
  //! Switches to another target, because the current one is not the leader or
  //! its link is down. `hint` is the leader that it named, if any.
  void OnTargetFailed(const std::string& hint, Time now);

 private:
  void AskNextMember();

  ControlView* view_;
  quota::Holder* holder_;
  ControlClientOptions options_;
  std::string target_;
  std::size_t next_member_ = 0;
  std::int64_t newest_leader_term_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t answered_sequence_ = 0;
  Time next_report_;
  std::string unresponsive_member_;  // followers may still name it as leader
  Time unresponsive_until_;
  std::optional<Time> unanswered_since_;
  bool immediate_report_ = true;
  std::map<std::string, messages::Announcement> announcements_;
  std::deque<messages::JournalEntry> unsent_journal_;  // oldest first
};

}  // namespace goldcrest::entry

#endif  // GOLDCREST_ENTRY_CONTROL_CLIENT_H_
