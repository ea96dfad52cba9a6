#ifndef GOLDCREST_ROUTING_HEARTBEAT_GUARD_H_
#define GOLDCREST_ROUTING_HEARTBEAT_GUARD_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "goldcrest/messages/messages.h"
#include "goldcrest/routing/endpoint_directory.h"
#include "goldcrest/types/time.h"

namespace goldcrest::routing {

//! Decides which heartbeats may replace the known record of their endpoint.
//!
//! The heartbeats of one endpoint process have one start, one address and
//! rising sequences. A heartbeat that continues the known ones, or that of a
//! process that started later, is admitted at once. Any other one is delayed or
//! comes from another writer. It is held back, until the known record has been
//! silent for a while and several such heartbeats in a row have shown that
//! their writer is the one that runs. The record then begins a new epoch, so
//! that it takes precedence in every directory.
class HeartbeatGuard {
 public:
  using UnixTime = std::chrono::system_clock::time_point;

  //! `max_clock_skew`: how much later than the own clock says an endpoint may
  //! have started.
  explicit HeartbeatGuard(Duration max_clock_skew);

  //! `known` is the directory's entry of the heartbeat's endpoint, or nullptr.
  //! Returns the record to merge, or nullopt if the heartbeat is held back.
  std::optional<messages::EndpointRecord> Admit(
      Time now,
      UnixTime unix_now,
      const EndpointDirectory::Entry* known,
      messages::EndpointRecord heartbeat);

  //! The same for a deregistration, which may lack a start. Returns the record
  //! of the endpoint that is gone.
  std::optional<messages::EndpointRecord> AdmitDeparture(
      UnixTime unix_now,
      const EndpointDirectory::Entry* known,
      const messages::EndpointRecord& departure) const;

 private:
  // What identifies the process that sent a heartbeat.
  using Writer = std::tuple<std::int64_t, std::string, std::string>;

  // Heartbeats of one writer that were held back.
  struct HeldBack {
    std::int64_t sequence = 0;  // of the newest one
    int count = 0;
    Time first_at;
    Time last_at;
  };

  struct EndpointState {
    std::map<Writer, HeldBack> held_back;
    // Starts that are not admitted at once again, because the process that
    // claimed the latest one fell silent while an earlier one went on.
    std::int64_t displaced_start = 0;
  };

  bool MayHaveStarted(UnixTime unix_now, std::int64_t started_ms) const;
  bool Continues(UnixTime unix_now,
                 const messages::EndpointRecord& known,
                 const messages::EndpointRecord& heartbeat) const;
  bool MayTakeOver(Time now,
                   const EndpointDirectory::Entry& known,
                   const messages::EndpointRecord& heartbeat);

  Duration max_clock_skew_;
  std::map<std::string, EndpointState> endpoints_;
};

}  // namespace goldcrest::routing

#endif  // GOLDCREST_ROUTING_HEARTBEAT_GUARD_H_
