#ifndef GOLDCREST_ROUTING_ZONE_EVACUATIONS_H_
#define GOLDCREST_ROUTING_ZONE_EVACUATIONS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/types/time.h"

namespace goldcrest::routing {

//! The evacuated availability zones, as one entry knows them, and how sure it
//! is of them. Does no I/O and reads no clock.
class ZoneEvacuations {
 public:
  struct Change {
    std::string zone;
    bool evacuated = false;
  };

  //! An entry that is in contact with the controllers sends nothing to a zone
  //! later than `timeout` after its evacuation was acknowledged. Without a
  //! value the default bound applies, and Knows() is always true.
  explicit ZoneEvacuations(std::optional<Duration> timeout = std::nullopt);

  //! Takes over a set with a higher index than the known one, and returns what
  //! has changed.
  std::vector<Change> Apply(Time now, const messages::EvacuatedZones& set);

  //! By the word of the leading controller, no change after the known set had
  //! been acknowledged at `time`.
  void Confirm(Time now, Time time);

  //! Has to be called regularly. A pause between two calls shows that the
  //! process was frozen.
  void Tick(Time now);

  //! False after the process was frozen for so long that a zone may have been
  //! evacuated without its knowledge, until Confirm() is called. An entry that
  //! has lost its controllers keeps the set that it knows.
  bool Knows(Time now) const;

  //! Whether new work may go to endpoints of the zone.
  bool IsEvacuated(const std::string& zone) const {
    return deadlines_.count(zone) > 0;
  }
  //! Whether work that only one endpoint of the zone can do, such as the next
  //! statement of an open transaction, is over as well. The time until then is
  //! for the promotion of another primary and the end of open transactions.
  bool IsClosed(Time now, const std::string& zone) const;

  std::int64_t index() const { return index_; }
  std::size_t size() const { return deadlines_.size(); }

 private:
  Duration Bound() const;
  bool WasFrozen(Time now) const;
  bool IsOutdated(Time now) const;

  std::optional<Duration> timeout_;
  std::int64_t index_ = 0;
  std::map<std::string, Time> deadlines_;  // by evacuated zone
  std::optional<Time> confirmed_at_;
  std::optional<Time> last_tick_;
  bool awaits_confirmation_ = false;
};

}  // namespace goldcrest::routing

#endif  // GOLDCREST_ROUTING_ZONE_EVACUATIONS_H_
