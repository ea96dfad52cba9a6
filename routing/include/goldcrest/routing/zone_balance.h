#ifndef GOLDCREST_ROUTING_ZONE_BALANCE_H_
#define GOLDCREST_ROUTING_ZONE_BALANCE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "goldcrest/routing/routing_table.h"
#include "goldcrest/routing/zone_share.h"
#include "goldcrest/types/time.h"

namespace goldcrest::routing {

//! How long a read on `route` may take in its own zone before others leave.
Duration ReadLimit(const Route& route);

//! An endpoint that may get reads.
struct ZoneMember {
  std::string zone;
  int slots = 0;  //!< 0: unknown.
  bool primary = false;
};

//! A change of the shares of one kind of route, for the log and metrics.
struct ShareChange {
  std::string group;
  Consistency kind = Consistency::kBoundedStaleness;
  std::map<std::string, double> before;  //!< By zone; empty at first.
  std::map<std::string, double> shares;  //!< By zone.
  ShareInput input;
};

//! The change and the figures behind it, for the log.
std::string Describe(const ShareChange& change);

struct ZoneBalanceOptions {
  std::string zone;  //!< Of the entry.
  //! Entries with different salts adjust their shares at different times and
  //! send their first statements to different zones.
  std::uint64_t salt = 0;
  //! What a byte between zones costs: the latency that a caller accepts in
  //! order to save it.
  Duration byte_cost = Duration(10);
  std::function<void(const ShareChange&)> on_change;
};

//! Decides to which availability zone an entry sends each read of a group. It
//! uses only the outcome of the entry's own statements. Not thread-safe.
class ZoneBalance {
 public:
  explicit ZoneBalance(ZoneBalanceOptions options);

  //! The zone for one read on `route`. `members` are the group's endpoints that
  //! may get reads at all; `allowed` are the zones that can serve this read,
  //! not empty.
  std::string ChooseZone(Time now,
                         const Route& route,
                         const std::vector<ZoneMember>& members,
                         const std::set<std::string>& allowed);

  //! A statement of `group` sent to `zone` was answered after `latency`.
  //! `bytes` is the length of the statement and its answer.
  void OnAnswer(Time now,
                const std::string& group,
                const std::string& zone,
                Duration latency,
                std::size_t bytes);

  //! An endpoint refused a statement because it was busy or lagged.
  void OnRefused(Time now, const std::string& group, const std::string& zone);

  //! An exchange with an endpoint of `zone` took `duration`, at least one round
  //! trip.
  void OnRoundTrip(Time now, const std::string& zone, Duration duration);

 private:
  // Of the endpoints of a group in a zone.
  struct Observations {
    Duration latency{};
    Duration last_latency{};
    double refused = 0;
    bool last_refused = false;
    Time at;
    bool any = false;
  };
  struct RoundTrip {
    Duration current = Duration::max();  // lowest of this window
    Duration previous = Duration::max();
    Time window_ends_at;
  };
  using Key = std::tuple<std::string, Consistency, Duration>;
  struct Kind {
    ShareState state;
    std::map<std::string, double> shares;  // in use
    std::set<std::string> zones;           // that they are for
    Time next_update_at;
    std::uint64_t choices = 0;
  };

  ShareInput MakeInput(Time now,
                       const Route& route,
                       const std::vector<ZoneMember>& members) const;
  void Update(Time now,
              const Route& route,
              const ShareInput& input,
              Kind& kind);
  Duration RoundTripTo(const std::string& zone) const;
  void Observe(Time now, Observations& seen, bool refused, Duration latency);

  ZoneBalanceOptions options_;
  std::map<std::pair<std::string, std::string>, Observations> observations_;
  std::map<std::string, RoundTrip> round_trips_;   // by zone
  std::map<std::string, double> statement_bytes_;  // mean, by group
  std::map<Key, Kind> kinds_;
};

}  // namespace goldcrest::routing

#endif  // GOLDCREST_ROUTING_ZONE_BALANCE_H_
