#ifndef GOLDCREST_FLEET_CONTROLLER_H_
#define GOLDCREST_FLEET_CONTROLLER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "goldcrest/consensus/replica.h"
#include "goldcrest/fleet/failover_planner.h"
#include "goldcrest/fleet/fleet_state.h"
#include "goldcrest/fleet/membership_planner.h"
#include "goldcrest/quota/owner.h"
#include "goldcrest/routing/endpoint_directory.h"
#include "goldcrest/routing/heartbeat_guard.h"
#include "goldcrest/routing/routing_table.h"

namespace goldcrest::fleet {

//! Result of a call that reads or writes the configuration or the evacuated
//! availability zones.
struct ConfigurationResult {
  enum class Kind {
    kDone,
    kNotLeader,  //!< Repeat the call at `leader`.
    kUnknown,    //!< No leader is known, or it was replaced during the call.
  };
  Kind kind = Kind::kUnknown;
  std::string leader;
  std::string text;  //!< Newest configuration; empty if there is none.
};

struct ControllerHooks {
  std::function<void(const std::string& to, messages::PeerMessage)> send;
  //! Makes the writes durable. Returns false on failure; the controller then
  //! has failed.
  std::function<bool(const std::vector<consensus::LogWrite>&)> persist;
  std::function<routing::RoutingTablePtr(const std::string& text)> decode;
  //! Called with all known controllers after new ones became known.
  std::function<void(const std::set<std::string>&)> known_controllers;
  //! The time of day, which may be wrong.
  std::function<std::chrono::system_clock::time_point()> unix_time;
  std::function<void(const routing::EndpointDirectory::Entry&, ProbePurpose)>
      probe;
  //! As in FailoverHooks.
  std::function<void(const routing::EndpointDirectory::Entry&,
                     std::int64_t term)>
      fence;
  std::function<void(const messages::PrimaryAssignment&)> promote;
  std::function<void(const std::string& event,
                     const std::string& subject,
                     const std::string& cause)>
      log_decision;
};

//! Timing of the replicated log of a fleet's controllers; names no member.
consensus::ReplicaOptions DefaultReplicaOptions();

struct ControllerOptions {
  consensus::ReplicaOptions replica;
  bool has_disk = true;  //!< A controller without a disk never is a member.
  int tolerated_losses = 1;
  quota::LimitWindow limit_window;
  std::set<std::string> seeds;  //!< Controllers known at the start.
  //! Bytes of commands in the log after which a snapshot replaces it. Documents
  //! have some kB to some 100 kB.
  std::size_t snapshot_log_bytes = std::size_t{4} << 20U;
  //! How much the clocks of endpoints and controllers may differ.
  Duration max_clock_skew = std::chrono::seconds(20);
};

//! One controller of the fleet. Keeps a copy of the replicated log and the
//! directory of endpoints. The leader also divides the rates of customers into
//! shares, orders promotions and changes the membership. Does no I/O and reads
//! no clock; not thread-safe.
class Controller {
 public:
  using Done = std::function<void(ConfigurationResult)>;

  Controller(Time now,
             ControllerOptions options,
             const consensus::RestoredState& restored,
             std::mt19937_64 generator,
             ControllerHooks hooks);

  void Tick(Time now);
  void OnMessage(Time now,
                 const std::string& from,
                 const messages::PeerMessage& message);
  void OnLink(const std::string& peer, bool up);

  //! Handles a heartbeat that an endpoint sent to this controller.
  void OnHeartbeat(Time now, const messages::EndpointRecord& heartbeat);
  //! Handles the deregistration of an endpoint.
  void OnDeparture(Time now, const messages::EndpointRecord& departure);

  //! Writes the configuration `text`, a valid document of `version`. Calls
  //! `done` once this document or one of at least the same version is
  //! committed, or the call has failed.
  void Put(Time now, std::int64_t version, std::string text, Done done);
  ConfigurationResult Get(Time now) const;

  //! Orders that no work goes to the endpoints of the zone, or withdraws that
  //! order if `active` is false. Calls `done` once the order is committed, or
  //! the call has failed. An order that is in force already is acknowledged
  //! again.
  void Evacuate(Time now, const std::string& zone, bool active, Done done);

  void OnProbe(Time now,
               const std::string& group,
               const std::string& endpoint,
               const ProbeResult& result);
  void OnPromotion(Time now,
                   const messages::PrimaryAssignment& assignment,
                   PromotionResult result);

  //! Adds the controllers that changed settings name.
  void AddControllers(const std::set<std::string>& names);

  //! Transfers leadership to another controller before a planned stop.
  void BeginDrain(Time now);

  //! Ends a controller that has failed: hands leadership over if it can, and
  //! answers all calls as unknown. The next one starts from what is on the
  //! disk.
  void Abandon(Time now);

  bool IsLeader() const { return replica_.IsLeader(); }
  //! True after a failed write, or after reading data that can't be decoded.
  bool HasFailed() const { return failed_; }
  const routing::EndpointDirectory& directory() const { return directory_; }
  const FleetState& state() const { return state_; }

 private:
  struct Entry {
    Time reported_at;
    bool linked = false;
    std::int64_t process = 0;
    // The last reports: when each was received, and when it was sent by the
    // entry's clock.
    std::deque<std::pair<Time, std::int64_t>> reports;
    // By group: asked_at of the newest position sent.
    std::map<std::string, Time> positions_sent;
    std::size_t controllers_sent = 0;
    std::optional<messages::RelayInstance> relay;
    std::map<std::string, std::int64_t> held_writes;  // see ProxyReport
  };
  struct PendingPut {
    std::int64_t version = 0;
    std::int64_t index = 0;
    std::int64_t term = 0;
    Done done;
  };
  struct PendingEvacuation {
    std::string zone;
    std::int64_t index = 0;
    std::int64_t term = 0;
    Done done;
  };
  // State that only a leader has, for one term.
  struct Leadership {
    std::int64_t term = 0;
    std::unique_ptr<quota::Owner> owner;
    std::unique_ptr<FailoverPlanner> failover;
    std::int64_t version = -1;  // of the limits and groups in use
    // By instance: the process whose registration is proposed.
    std::map<std::string, std::int64_t> pending_registrations;
    // By group: the newest result that is kLeads.
    // Results with a position.
    std::map<std::string, ProbeResult> confirmed_primaries;
    Time won_at;
    Time last_reserve_grant;               // the takeover if there was none
    bool reserve_change_proposed = false;  // not committed yet
    bool addition_refused = false;         // of a member, the last time
    Time next_bounds_check;                // of standing shares
    Time next_takeover_log;                // kNever once the owner is ready
  };

  void ProcessOutput(Time now, consensus::Output output);
  void ReportTermChange();
  void ApplyCommitted(Time now, const messages::LogEntry& entry);
  void OnDocumentChanged(Time now);
  void AnnounceDocument();
  const routing::RoutingTable* Table();
  void UpdateLeadership(Time now);
  void SetLimits(Time now);
  void LogTakeover(Time now);
  void ProposeReserveUse(Time now, bool used);
  void OnReserveUse(Time now, const messages::ReserveUse& reserve);
  void ProposeReserveReset(Time now);
  void ProposeShareBounds(Time now);
  void OnShareBounds(Time now, const messages::ShareBounds& bounds);
  void LoadEndpoints(Time now);
  void ReleaseSilentHolders(Time now);
  void ReleaseHolder(Time now, const std::string& instance);
  std::string KnownLeader(Time now) const;
  ConfigurationResult RedirectToLeader(Time now) const;
  bool HoldsLeadership(Time now) const;
  std::int64_t Propose(Time now, const messages::FleetCommand& command);
  void OnReport(Time now,
                const std::string& from,
                const messages::ProxyReport& report);
  std::vector<messages::ShareUpdate> AnswerShares(
      Time now,
      const std::string& from,
      const messages::ProxyReport& report);
  void OnNotice(Time now,
                const std::string& from,
                const messages::ControllerNotice& notice);
  std::vector<messages::RelayInstance> KnownRelays(Time now) const;
  const std::string& CompressedDocument();
  void AddPositions(Entry& entry, messages::ProxyUpdate& update) const;
  bool ApplyHeartbeat(Time now, const messages::EndpointRecord& heartbeat);
  void PassOn(Time now, const messages::EndpointRecord& record);
  void MergeEndpoint(Time now, const messages::EndpointRecord& record);
  void OnEndpointChanged(Time now, const messages::EndpointRecord& record);
  messages::ControllerNotice MakeNotice(Time now) const;
  void OfferControllers();
  void RecordEndpoint(Time now, const messages::EndpointRecord& record);
  void SendNotices(Time now);
  void SendToPeers(const messages::ControllerNotice& notice);
  void SendToEntries(const messages::ProxyUpdate& update);
  void PlanMembership(Time now);
  void FailLostPuts();
  void AnswerEvacuations(const messages::LogEntry& entry);
  void FailLostEvacuations();
  void AnnounceEvacuations();
  messages::EvacuatedZones EvacuationsForEntries() const;
  void SendMessages(const std::vector<consensus::Outbound>& messages);

  ControllerOptions options_;
  ControllerHooks hooks_;
  consensus::Replica replica_;
  FleetState state_;
  std::int64_t applied_version_ = -1;     // of the document; -1: none
  std::int64_t announced_version_ = 0;    // to the entries; 0: none
  routing::RoutingTablePtr table_;        // of the version below
  std::int64_t decoded_version_ = -1;     // -1: none
  std::string compressed_document_;       // of the version below
  std::int64_t compressed_version_ = -1;  // -1: none
  std::int64_t applied_index_ = 0;
  std::int64_t reported_term_ = 0;
  std::string reported_leader_;
  std::string announced_leader_;  // by its notices
  Time leader_announced_at_;
  routing::EndpointDirectory directory_;
  routing::HeartbeatGuard heartbeat_guard_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, ControllerPeer> peers_;
  std::set<std::string> known_controllers_;
  // Controllers that entries connect to: those with a disk.
  std::set<std::string> offered_controllers_;
  std::vector<PendingPut> pending_puts_;
  std::vector<PendingEvacuation> pending_evacuations_;
  std::set<std::string> announced_zones_;   // evacuated, as entries were told
  std::int64_t announced_evacuations_ = 0;  // index of the above
  std::unique_ptr<Leadership> leadership_;
  Time next_notice_;
  Time next_membership_check_;
  Time members_changed_at_;
  Time next_expiry_check_;
  std::size_t log_bytes_ = 0;  // of commands since the last snapshot
  bool draining_ = false;
  bool failed_ = false;
};

}  // namespace goldcrest::fleet

#endif  // GOLDCREST_FLEET_CONTROLLER_H_
