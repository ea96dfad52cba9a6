#ifndef GOLDCREST_STATEMENTS_RELAY_DIRECTORY_H_
#define GOLDCREST_STATEMENTS_RELAY_DIRECTORY_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/types/time.h"

namespace goldcrest::statements {

//! The entries that run operations for other entries, and which of them can be
//! used now. All entries choose the same relay for a customer and availability
//! zone while they see the same relays; if they do not, the customer's
//! connections are only spread over more of them.
class RelayDirectory {
 public:
  //! `self` is this entry's own name as a relay; empty: it is none.
  explicit RelayDirectory(std::string self) : self_(std::move(self)) {}

  //! A controller has named the relay, or has said that it left.
  void OnRelay(const messages::RelayInstance& relay);
  void OnLink(Time now, const std::string& relay, bool up);

  //! Anything was received from the relay.
  void OnHeard(Time now, const std::string& relay);
  //! An operation was handed to the relay, or has ended there.
  void OnOperationStarted(Time now, const std::string& relay);
  void OnOperationEnded(const std::string& relay);
  //! The relay takes no operations for a while.
  void OnDeclined(Time now, const std::string& relay);

  //! The relay of `customer` in `zone`: the first usable one in the order of
  //! its rendezvous hash, which may be this entry itself. Empty if there is
  //! none. Marks preferred relays without a link as wanted.
  std::string Choose(Time now,
                     const std::string& customer,
                     const std::string& zone);

  //! Relays in `zone`, this entry included.
  int CountIn(const std::string& zone) const;

  //! Relays that Choose() would have used, had they been linked.
  const std::set<std::string>& Wanted() const { return wanted_; }

  //! Relays that have operations but have been silent for a while, each named
  //! once. The caller probes them.
  std::vector<std::string> TakeProbesDue(Time now);
  //! Relays that have not answered a probe in time, each named once.
  std::vector<std::string> TakeUnresponsive(Time now);

 private:
  struct Relay {
    std::string zone;
    bool available = false;
    bool linked = false;
    int operations = 0;
    Time avoided_until;  // after it declined an operation
    Time silent_since;   // start of the time in which it owes an answer
    std::optional<Time> probed_at;  // not answered yet
    bool unresponsive = false;
  };

  bool IsUsable(Time now, const Relay& relay) const;

  std::string self_;
  std::map<std::string, Relay> relays_;
  std::set<std::string> wanted_;
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_RELAY_DIRECTORY_H_
