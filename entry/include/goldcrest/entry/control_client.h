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

#include "goldcrest/entry/view.h"
#include "goldcrest/messages/messages.h"
#include "goldcrest/quota/holder.h"
#include "goldcrest/types/time.h"

namespace goldcrest::entry {

struct ControlClientOptions {
  messages::InstanceInfo self;
  std::vector<std::string> control_members;  //!< Names of instances.
  Duration report_interval = std::chrono::milliseconds(250);
  //! Without an answer for this long the next control member is asked.
  Duration answer_timeout = std::chrono::milliseconds(400);
};

//! Keeps an entry in contact with the control leader: sends reports, finds the
//! leader, and takes over what its answers bring. Not thread-safe.
class ControlClient {
 public:
  struct UpdateResult {
    bool accepted = false;  //!< False: of an earlier leader; ignored.
    bool view_changed = false;
    //! The entry may serve keyed requests until then.
    std::optional<Time> control_lease_until;
    std::vector<std::pair<messages::CoordinatorLease, Time>> leases;
  };

  ControlClient(View* view,
                quota::Holder* holder,
                ControlClientOptions options);

  //! The report to send now, with the member to send it to.
  std::optional<std::pair<std::string, messages::EntryReport>> MaybeReport(
      std::vector<messages::CoordinatorReport> coordinators,
      bool draining,
      bool stopped,
      Time now);

  UpdateResult OnUpdate(const messages::ControlUpdate& update, Time now);

  void OnAnnouncement(const messages::Announcement& announcement);
  void AddNote(messages::JournalEntry entry);

  //! Makes a report due at once.
  void ReportSoon() { report_soon_ = true; }

  //! The leader, or the control member that is asked next.
  const std::string& target() const { return target_; }
  //! `target` answered that it is not the leader, or its link is down.
  //! `hint` is the leader it names, if any.
  void OnTargetFailed(const std::string& hint, Time now);

 private:
  void AskNextMember();

  View* view_;
  quota::Holder* holder_;
  ControlClientOptions options_;
  std::string target_;
  std::size_t next_member_ = 0;
  std::int64_t newest_leader_term_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t answered_sequence_ = 0;
  Time next_report_;
  std::string silent_member_;  // did not answer; followers may still name it
  Time silent_until_;
  std::optional<Time> unanswered_since_;
  bool report_soon_ = true;
  std::map<std::string, messages::Announcement> announcements_;
  std::deque<messages::JournalEntry> notes_;  // not yet sent
};

}  // namespace goldcrest::entry

#endif  // GOLDCREST_ENTRY_CONTROL_CLIENT_H_
