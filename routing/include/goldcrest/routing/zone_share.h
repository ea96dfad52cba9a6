#ifndef GOLDCREST_ROUTING_ZONE_SHARE_H_
#define GOLDCREST_ROUTING_ZONE_SHARE_H_

#include <map>
#include <string>
#include <vector>

#include "goldcrest/types/time.h"

namespace goldcrest::routing {

//! What an entry knows of the endpoints of one group in one availability zone.
struct ZoneFigures {
  std::string zone;
  int slots = 1;              //!< Statements at a time, of all endpoints.
  bool primary_only = false;  //!< The primary is the only endpoint.
  Duration latency{};         //!< Of a statement, with the round trip.
  Duration round_trip{};      //!< Zero when unknown.
  //! Fraction of statements refused because the endpoint was busy or lagged.
  double refused = 0;
  //! Of the last answer or refusal; max() when there is none that still counts.
  Duration age = Duration::max();
};

struct ShareInput {
  std::string own_zone;
  //! The zones with an endpoint that may get reads, each once.
  std::vector<ZoneFigures> zones;
  Duration target_latency{};  //!< Of an operation of the kind.
  //! What the traffic of one statement between zones costs, as latency.
  Duration transfer_cost{};
};

//! How the reads of one kind are divided among the zones.
struct ShareState {
  double away = 0;  //!< Fraction that leaves the own zone.
  //! Divides what leaves; sums up to 1 unless there is no other zone.
  std::map<std::string, double> split;

  // Of the last update.
  int direction = 0;       //!< 1: more left, -1: less left, 0: no change.
  int repeats = 0;         //!< Changes in a row with this direction.
  double step = 0;         //!< Size of the last change.
  Duration own_latency{};  //!< Of a statement in the own zone.
  double headroom = 0;     //!< Of the other zones.
};

//! How much of an operation's target latency one statement may take in its own
//! zone before others of its kind leave.
Duration StatementLimit(Duration target_latency);

//! The shares for the next interval. They differ from `current` by a bounded
//! amount, in proportion to how far the figures are from the limits. Where the
//! own zone has no endpoint, everything leaves at once.
ShareState NextShares(const ShareState& current, const ShareInput& input);

//! The fraction of reads that each zone of `input` gets; sums up to 1.
std::map<std::string, double> SharesOf(const ShareState& state,
                                       const ShareInput& input);

}  // namespace goldcrest::routing

#endif  // GOLDCREST_ROUTING_ZONE_SHARE_H_
